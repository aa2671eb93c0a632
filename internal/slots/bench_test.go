package slots

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenstream/api/leaf"
)

func benchService() (*Service, Request) {
	s := NewService(Options{
		Limits: Limits{Slots: 3, ColdSlots: 3}, Now: time.Now, Changed: func(string, Change) {},
		Typical: func() time.Duration { return time.Millisecond }, Wake: func(time.Duration) {},
	})
	s.Open(time.Now(), nil)
	var replicas []leaf.Replica
	for i := range 3 {
		vm := fmt.Sprint("leaf", i)
		replicas = append(replicas, leaf.Replica{VM: vm})
		s.Connect(vm, "z", "boot", nil)
	}
	return s, Request{Replicas: func() []leaf.Replica { return replicas }, Deadline: time.Now().Add(time.Hour)}
}

// BenchmarkAcquireRelease reports one Acquire, Send and Finish on a service with nine free slots.
func BenchmarkAcquireRelease(b *testing.B) {
	s, r := benchService()
	b.ReportAllocs()
	for b.Loop() {
		g, _, err := s.Acquire(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		g.Send(time.Second)
		g.Finish(Answered, time.Millisecond, "boot")
	}
}

// BenchmarkWaiters reports one Acquire that waits, and the Finish that serves the first of the waiting requests.
func BenchmarkWaiters(b *testing.B) {
	for _, waiting := range []int{100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s, r := benchService()
			var last *Grant
			deliver := func(g *Grant, _ error) { last = g }
			for range 9 + waiting {
				if g, _, _ := s.Acquire(r, deliver); g != nil {
					last = g
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := s.Acquire(r, deliver); err != nil {
					b.Fatal(err)
				}
				last.Send(time.Second)
				last.Finish(Answered, time.Millisecond, "boot")
			}
		})
	}
}

// BenchmarkManyServices reports BenchmarkAcquireRelease on all cores, spread over 1 and 64 services.
func BenchmarkManyServices(b *testing.B) {
	for _, count := range []int{1, 64} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			services := make([]*Service, count)
			var r Request
			for i := range services {
				services[i], r = benchService()
			}
			var next atomic.Uint64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				s := services[next.Add(1)%uint64(count)]
				for pb.Next() {
					if g, w, _ := s.Acquire(r, func(*Grant, error) {}); g != nil {
						g.Send(time.Second)
						g.Finish(Answered, time.Millisecond, "boot")
					} else {
						s.Cancel(w)
					}
				}
			})
		})
	}
}
