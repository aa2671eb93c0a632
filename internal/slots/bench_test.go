package slots

import (
	"fmt"
	"testing"
	"time"

	"cyclamenstream/api/leaf"
)

func benchService() (*Service, Request) {
	opt := testOptions(nil, 0)
	opt.Now, opt.ColdSlots = time.Now, testLimits.Slots
	s := NewService(opt)
	s.Open(time.Now(), nil)
	replicas := []leaf.Replica{{VM: "a"}, {VM: "b"}, {VM: "c"}}
	for _, r := range replicas {
		s.Connect(r.VM, "z", "boot", nil)
	}
	return s, Request{Replicas: func() []leaf.Replica { return replicas }, Deadline: time.Now().Add(time.Hour)}
}

func useSlot(g *Grant) {
	_ = g.MarkSent(time.Second)
	g.Finish(Answered, time.Millisecond, "boot")
}

// BenchmarkWaiters measures one Acquire, MarkSent and Finish with nine slots. Without waiting requests, slots are free.
// Otherwise the Acquire waits and the Finish serves the first of the waiting requests.
func BenchmarkWaiters(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s, r := benchService()
			var last *Grant
			deliver := func(g *Grant, _ error) { last = g }
			for range waiting + min(waiting, 9) {
				if g, _, _ := s.Acquire(r, deliver); g != nil {
					last = g
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if g, _, _ := s.Acquire(r, deliver); g != nil {
					last = g
				}
				useSlot(last)
			}
		})
	}
}

// BenchmarkServices measures one Acquire, MarkSent and Finish on all cores, with one service per core.
func BenchmarkServices(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		s, r := benchService()
		for pb.Next() {
			g, _, _ := s.Acquire(r, nil)
			useSlot(g)
		}
	})
}
