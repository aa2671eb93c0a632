package slots

import "time"

const (
	// meanDivisor and deviationDivisor are the shares of a new latency in the moving averages, those of TCP's round-trip
	// estimate (RFC 6298).
	meanDivisor, deviationDivisor = 8, 4
	// upperDeviations times the mean deviation is added to the mean latency for the time that most calls need.
	upperDeviations = 2
	// settledPercent of the highest mean shows that a leaf is warm. Single stragglers do not cause such a fall; a leaf that
	// is three times slower while it is cold falls to 57% with 16 ms of round trip and 10 ms of service time.
	settledPercent = 65
	// warmPercent of the mean when the leaf was warm still counts as warm.
	warmPercent = 150
)

// latencyEstimate is a moving estimate of the time that calls to one leaf take, with the way there and back.
type latencyEstimate struct {
	mean, deviation time.Duration // 0 without any call since the leaf turned cold
	highestMean     time.Duration // highest mean since then
	warmMean        time.Duration // mean when the leaf was last warm; 0 if unknown
}

// record takes in the time of one call.
func (e *latencyEstimate) record(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation, e.highestMean = took, took/2, took
		return
	}
	off := took - e.mean
	e.mean += off / meanDivisor
	e.deviation += (off.Abs() - e.deviation) / deviationDivisor
	e.highestMean = max(e.highestMean, e.mean)
}

// settled reports whether the mean has come down since the leaf turned cold, or is about that of earlier warm times.
func (e *latencyEstimate) settled() bool {
	return e.mean <= e.highestMean*settledPercent/100 || e.mean <= e.warmMean*warmPercent/100
}

// upperEstimate returns the time that most calls to the leaf take. A leaf without any is expected to take as long as still
// counts as normal.
func (e *latencyEstimate) upperEstimate(typical time.Duration) time.Duration {
	if e.mean == 0 {
		return normalFactor * typical
	}
	return e.mean + upperDeviations*e.deviation
}
