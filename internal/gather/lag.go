package gather

import (
	"sync"
	"time"
)

const (
	// lagSmoothing is the number of answers over which the lag is averaged.
	lagSmoothing = 8
	// maxLag bounds one measurement, since a pause of the whole process does not predict the lag of the next answer.
	maxLag = 20 * time.Millisecond
	// lagFactor covers the delays that are not measured: the request waits before it is read, and the answer waits
	// before it is written.
	lagFactor = 4
)

// lag tracks how much later than planned a gathered answer is ready because the processor is busy: timers fire late,
// replies arrive at the same time, and the answer has to be merged. It is safe for concurrent use.
type lag struct {
	mu      sync.Mutex
	average time.Duration
}

// record adds the delay of one answer.
func (l *lag) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average += (min(max(0, d), maxLag) - l.average) / lagSmoothing
}

// margin returns how much earlier an answer is planned because of the lag.
func (l *lag) margin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lagFactor * l.average
}
