package direct

import (
	"cmp"
	"math"
	"time"

	"cyclamenstream/api/exchange"
)

const (
	// statementHalfLife is the time in which the weight of a stated figure halves. Leaves change their speed and their
	// load many times a second, so that a figure of some tens of milliseconds ago says little.
	statementHalfLife = 25 * time.Millisecond
	// meanHalfLife is the time in which the weight of earlier figures in a mean halves.
	meanHalfLife = time.Second
	// idleHalfLife is the time in which a mean halves its distance from the usual value while the leaf states nothing, so
	// that a leaf that was slow is tried again.
	idleHalfLife = 2 * time.Second
	// otherRegionIdleHalfLife applies to the speed of a leaf of another region, since trying it costs bytes between regions.
	otherRegionIdleHalfLife = 10 * time.Second
)

// statement is the load that a leaf has stated last.
type statement struct {
	exchange.Load
	// at is when the answer with the statement arrived. It is the zero time before the first one.
	at time.Time
}

// age returns the time since the statement arrived.
func (s *statement) age(now time.Time) time.Duration { return now.Sub(s.at) }

// agedFigure is a figure that a leaf states again and again. Without news it tends from the latest value to the mean, and
// the mean to the usual value.
type agedFigure struct {
	usual, value, mean float64
	at                 time.Time
	// idle replaces idleHalfLife if it is not 0.
	idle time.Duration
}

// set records a stated value.
func (f *agedFigure) set(value float64, now time.Time) {
	f.mean = value + (f.meanAt(now)-value)*weightAfter(now.Sub(f.at), meanHalfLife)
	f.value, f.at = value, now
}

func (f *agedFigure) meanAt(now time.Time) float64 {
	return f.usual + (f.mean-f.usual)*weightAfter(now.Sub(f.at), cmp.Or(f.idle, idleHalfLife))
}

// estimate returns the expected figure at present. delay is the time for which the latest value was on its way.
func (f *agedFigure) estimate(now time.Time, delay time.Duration) float64 {
	mean := f.meanAt(now)
	return mean + (f.value-mean)*weightAfter(now.Sub(f.at)+delay, statementHalfLife)
}

// weightAfter returns the weight, 1 at first, that halves in each halfLife.
func weightAfter(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, d)) / float64(halfLife))
}
