package intent

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	standin "cyclamenstream/internal/standin/platform"
)

// countingStore delays each write by 10 ms and counts the writes and their bytes.
type countingStore struct {
	platform.Store
	writes, bytes atomic.Int64
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	time.Sleep(10 * time.Millisecond)
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.CompareAndSwap(ctx, key, expected, value)
}

// BenchmarkGroupCommit reports the intents of one service per write, and the bytes written for each intent. A fixed
// number of requests waits at any time, and a write takes 10 ms.
func BenchmarkGroupCommit(b *testing.B) {
	for _, waiting := range []int{16, 160, 1600} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s := &countingStore{Store: standin.New()}
			m := New(s, event.Discard{}, nil)
			defer m.Close()
			var id atomic.Int64
			b.SetParallelism(waiting) // is multiplied by GOMAXPROCS, which must be 1
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					i, err := m.Begin(context.Background(), "caller", fmt.Sprint(id.Add(1)), "svc")
					if err != nil {
						b.Error(err)
						return
					}
					i.Done(context.Background())
				}
			})
			b.ReportMetric(float64(b.N)/float64(s.writes.Load()), "intents/write")
			b.ReportMetric(float64(s.bytes.Load())/float64(b.N), "written-B/intent")
			b.ReportMetric(float64(s.writes.Load())/b.Elapsed().Seconds(), "writes/s")
		})
	}
}
