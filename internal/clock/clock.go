// Package clock provides the hybrid logical clock that stamps the events of the timeline.
package clock

import (
	"sync"
	"time"

	"cyclamenstream/api/event"
)

// maxAheadMillis bounds how far a peer's stamp may move this clock ahead of the local wall clock, so that one VM with
// a wrong clock does not shift the clocks of the whole tier.
const maxAheadMillis = 60_000

// Hybrid is a hybrid logical clock. It is safe for concurrent use.
type Hybrid struct {
	now func() time.Time

	mu   sync.Mutex
	last event.Stamp
}

// New returns a clock that reads the wall time from now.
func New(now func() time.Time) *Hybrid { return &Hybrid{now: now} }

// Stamp returns a stamp later than every stamp that the clock has returned or observed.
func (h *Hybrid) Stamp() event.Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	return h.last
}

// Observe advances the clock to a peer's stamp, so that later local stamps come after it. A stamp more than a minute
// ahead of the local wall clock is ignored.
func (h *Hybrid) Observe(s event.Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.WallMillis > h.now().UnixMilli()+maxAheadMillis {
		return
	}
	if h.last.Before(s) {
		h.last = s
	}
}

func (h *Hybrid) advance() {
	if wall := h.now().UnixMilli(); wall > h.last.WallMillis {
		h.last = event.Stamp{WallMillis: wall}
		return
	}
	h.last.Counter++
}
