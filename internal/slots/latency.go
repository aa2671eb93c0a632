package slots

import "time"

const (
	// meanGain and deviationGain are the shares of a new latency in the moving averages, those of TCP's round-trip
	// estimate (RFC 6298).
	meanGain, deviationGain = 8, 4
	// needDeviations times the mean deviation is added to the mean latency for the time that most calls need.
	needDeviations = 2
)

// latency is a moving estimate of the time that calls to one leaf take, with the way there and back.
type latency struct {
	mean, deviation time.Duration // 0 without any call
}

// record takes in the time of one call.
func (e *latency) record(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	off := took - e.mean
	e.mean += off / meanGain
	e.deviation += (off.Abs() - e.deviation) / deviationGain
}

// need returns the time that most calls to the leaf take. A leaf without any is expected to take as long as still
// counts as normal.
func (e *latency) need(typical time.Duration) time.Duration {
	if e.mean == 0 {
		return normalFactor * typical
	}
	return e.mean + needDeviations*e.deviation
}
