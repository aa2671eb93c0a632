package fanout

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/quarantine"
)

// instantPool answers every call at once.
type instantPool struct {
	leaf.Pool
	cluster.Ownership
	config.Source
	snapshots []leaf.Snapshot
}

func (p *instantPool) Snapshots(string) []leaf.Snapshot { return p.snapshots }
func (p *instantPool) CheckOwned(string) error          { return nil }
func (p *instantPool) Current() *config.Document        { return nil }

func (p *instantPool) Acquire(_ context.Context, request leaf.SlotRequest) (leaf.Slot, error) {
	return instantSlot{p.snapshots[0].Replicas[request.Shard][0].VM}, nil
}

type instantSlot struct{ vm string }

func (s instantSlot) VM() string               { return s.vm }
func (s instantSlot) BootID() string           { return "" }
func (s instantSlot) Latency95() time.Duration { return 10 * ms }
func (s instantSlot) Release()                 {}

func (s instantSlot) Do(_ context.Context, c backend.Call) (backend.Reply, error) {
	c.Attempt.Begin()
	c.Attempt.Answered()
	return backend.Reply{ID: c.ID, Snapshot: c.Snapshot, Shard: c.Shard, Covered: 1, Data: c.Payload}, nil
}

func newInstantPool(leaves int) *instantPool {
	s := leaf.Snapshot{ID: "s", Sequence: 1, ShardCount: uint32(leaves)}
	for i := range leaves {
		s.Replicas = append(s.Replicas, []leaf.Replica{{VM: fmt.Sprint("a", i)}, {VM: fmt.Sprint("b", i)}})
	}
	return &instantPool{snapshots: []leaf.Snapshot{s}}
}

// BenchmarkQuery measures a query to leaves that answer at once. With -cpu 1 the time is processor time.
func BenchmarkQuery(b *testing.B) {
	for _, leaves := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			pool := newInstantPool(leaves)
			e := New(Deps{Pool: pool, Owners: pool, Guard: quarantine.New(pool, event.Discard{}), Recorder: event.Discard{},
				Hedges: budget.New(0, 10), Retries: budget.New(3, 10)})
			profile := config.Profile{Deadline: config.Duration(time.Second), LeafTimeout: config.Duration(time.Second),
				LeastCoverage: 100, HedgeBudget: 0.05, RetryBudget: 0.1}
			request := query.Request{ID: "r", Service: "svc", Payload: []byte("payload")}
			b.ReportAllocs()
			for b.Loop() {
				if a, err := e.Run(context.Background(), request, profile); err != nil || !a.Coverage.Complete() {
					b.Fatal(a.Coverage, err)
				}
			}
		})
	}
}

// BenchmarkFloor measures the same calls without an Executor, each in its own goroutine and with one channel for the
// answers.
func BenchmarkFloor(b *testing.B) {
	for _, leaves := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			pool := newInstantPool(leaves)
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				replies := make(chan backend.Reply, leaves)
				for i := range leaves {
					go func() {
						slot, _ := pool.Acquire(ctx, leaf.SlotRequest{Shard: uint32(i)})
						r, _ := slot.Do(ctx, backend.Call{ID: "c", Shard: uint32(i), Attempt: &verdict.Attempt{}})
						replies <- r
					}()
				}
				for range leaves {
					<-replies
				}
				cancel()
			}
		})
	}
}
