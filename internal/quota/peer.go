package quota

import "time"

const (
	// An allocator that has not answered within two round trips plus answerSlack is passed over. maxAnswerTime applies while its
	// round trip is not known.
	answerSlack   = 5 * time.Millisecond
	minAnswerTime = 8 * time.Millisecond
	maxAnswerTime = 45 * time.Millisecond
	// minSilence is how long an allocator is passed over after the first missing answer. It doubles with each further one, up to
	// maxSilence.
	minSilence = 60 * time.Millisecond
	maxSilence = 960 * time.Millisecond
	// lostSilence is the silence from which an allocator counts as lost. Shorter ones may be due to lost datagrams.
	lostSilence = 4 * minSilence
	// roundTripWeight is the weight of the newest round trip in the average.
	roundTripWeight = 0.2
)

// peer is what a node knows of another node as an allocator, over all organisations.
type peer struct {
	name, address string
	roundTrip     time.Duration
	// silentUntil is the end of the time for which the allocator is passed over, and silence the length of that time.
	silentUntil, silence time.Duration
	// confirmedAt is when the node last confirmed that it lists this one, or negative if it has not.
	confirmedAt time.Duration
}

// answerTime is the time within which the allocator usually answers.
func (p *peer) answerTime() time.Duration {
	if p.roundTrip == 0 {
		return maxAnswerTime
	}
	return max(minAnswerTime, min(maxAnswerTime, 2*p.roundTrip+answerSlack))
}

// usualTrip is the usual time until the allocator's answer.
func (p *peer) usualTrip() time.Duration {
	if p.roundTrip == 0 {
		return maxAnswerTime / 2
	}
	return p.roundTrip
}

// missed records that an answer has not come in time.
func (p *peer) missed(now time.Duration) {
	if now < p.silentUntil {
		return
	}
	p.silence = max(minSilence, min(maxSilence, 2*p.silence))
	p.silentUntil = now + p.silence
}

// lost reports whether the allocator has not answered several times in a row.
func (p *peer) lost(now time.Duration) bool { return p.silence >= lostSilence && now < p.silentUntil }

// heard records an answer to what was sent at the given time.
func (p *peer) heard(sent, now time.Duration) {
	p.silentUntil, p.silence = 0, 0
	trip := min(max(now-sent, 0), maxAnswerTime)
	if p.roundTrip == 0 {
		p.roundTrip = trip
	}
	p.roundTrip += time.Duration(roundTripWeight * float64(trip-p.roundTrip))
}
