package leafset

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
)

// idleEnv fakes the dependencies of a Set whose leaves get no calls.
type idleEnv struct {
	*testEnv
	services, leaves int
}

func (e *idleEnv) Dial(context.Context, string) (backend.Session, error) { return &idleSession{}, nil }
func (e *idleEnv) CheckOwned(string) error                               { return nil }
func (e *idleEnv) Changed() <-chan struct{}                              { return nil }

func (e *idleEnv) Owned() (owned []cluster.OwnedService, changed <-chan struct{}) {
	for i := range e.services {
		owned = append(owned, cluster.OwnedService{Service: fmt.Sprint("svc", i)})
	}
	return owned, nil
}

func (e *idleEnv) Leaves(service string) (vms []platform.VM) {
	for i := range e.leaves {
		id := fmt.Sprint(service, "-", i)
		vms = append(vms, platform.VM{ID: id, Address: id, Service: service})
	}
	return vms
}

func (e *idleEnv) Current() *config.Document {
	d := &config.Document{Services: map[string]config.Service{}}
	for i := range e.services {
		d.Services[fmt.Sprint("svc", i)] = config.Service{Slots: 3, ColdSlots: 1, Connections: 30}
	}
	return d
}

type idleSession struct{ backend.Session }

func (s *idleSession) Done() <-chan struct{} { return nil }
func (s *idleSession) Close() error          { return nil }
func (s *idleSession) Status(context.Context) (backend.Status, error) {
	return backend.Status{BootID: "b", Snapshots: []backend.SnapshotInfo{{ID: "s1", Sequence: 1, ShardCount: 3, Shards: []uint32{0, 1}}}}, nil
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkMemory measures the memory of a Set with connected leaves, without that of the transport's connections. One
// run of each is enough (-benchtime 1x).
func BenchmarkMemory(b *testing.B) {
	for _, size := range [][2]int{{1, 3}, {1, 1003}, {101, 3}} {
		b.Run(fmt.Sprintf("services=%d/leaves=%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				env := &idleEnv{testEnv: &testEnv{}, services: size[0], leaves: size[1]}
				set := New(Deps{Dialer: env, Membership: env, Ownership: env, Config: env, Recorder: event.Discard{}, Scope: tally.NoopScope})
				if err := set.Start(context.Background()); err != nil {
					b.Fatal(err)
				}
				connected := func() (n int) {
					for i := range size[0] {
						if svc := set.find(fmt.Sprint("svc", i)); svc != nil {
							n += svc.slots.Stats().Connected
						}
					}
					return n
				}
				for connected() < size[0]*size[1] {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric(memoryInUse()-before, "B")
				ended, cancel := context.WithCancel(context.Background())
				cancel()
				_ = set.Stop(ended)
			}
		})
	}
}
