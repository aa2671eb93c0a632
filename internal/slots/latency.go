package slots

import "time"

const (
	// A new latency changes the moving averages by a fraction of its difference: 1/meanDivisor for the mean and
	// 1/deviationDivisor for the deviation, as in TCP's round-trip estimate (RFC 6298).
	meanDivisor, deviationDivisor = 8, 4
	// upperDeviations times the mean deviation is added to the mean latency to estimate the time that most calls take.
	upperDeviations = 2
	// A mean of at most settledPercent of the highest mean shows that a leaf is warm. Single stragglers do not cause
	// such a fall. A leaf that is three times slower while it is cold falls to 57% with a round trip of 16 ms and a
	// service time of 10 ms.
	settledPercent = 65
	// A mean of at most warmPercent of the mean when the leaf was last warm also counts as warm.
	warmPercent = 150
)

// latencyEstimate is a moving estimate of the time that calls to one leaf take, including the round trip.
type latencyEstimate struct {
	mean, deviation time.Duration // 0 before the first call since the leaf turned cold
	highestMean     time.Duration // since the leaf turned cold
	warmMean        time.Duration // mean when the leaf was last warm; 0 if unknown
}

// record adds the time of one call.
func (e *latencyEstimate) record(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation, e.highestMean = took, took/2, took
		return
	}
	difference := took - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
	e.highestMean = max(e.highestMean, e.mean)
}

// settled reports whether the mean has come down since the leaf turned cold, or is close to the mean when it was last
// warm.
func (e *latencyEstimate) settled() bool {
	return e.mean <= e.highestMean*settledPercent/100 || e.mean <= e.warmMean*warmPercent/100
}

// upperEstimate returns the time within which most calls to the leaf end. For a leaf without calls, it is the longest
// time that counts as normal.
func (e *latencyEstimate) upperEstimate(typical time.Duration) time.Duration {
	if e.mean == 0 {
		return normalFactor * typical
	}
	return e.mean + upperDeviations*e.deviation
}
