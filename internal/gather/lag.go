package gather

import (
	"sync"
	"time"
)

const (
	// lagInertia is the number of answers over which the lag follows what is measured.
	lagInertia = 8
	// maxLag bounds one measurement: a process that stood still says nothing of the next answer.
	maxLag = 20 * time.Millisecond
	// lagFactor covers what the lag does not show: the request has waited before it was read, and the answer waits to be written.
	lagFactor = 4
)

// lag follows how much later than planned a gathered answer is ready, since the processor has other work: timers, replies that
// arrive at the same time, and the merge of the answer itself. It is safe for concurrent use.
type lag struct {
	mu    sync.Mutex
	value time.Duration
}

// note takes the delay of one answer.
func (l *lag) note(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value += (min(max(0, d), maxLag) - l.value) / lagInertia
}

// margin is how much sooner an answer is planned for that.
func (l *lag) margin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lagFactor * l.value
}
