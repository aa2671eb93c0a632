// Package utilization estimates how busy the processor of this process is, from how often a timer fires late. The share of
// late ticks is the probability that the processor is in use at a random moment. It also covers a processor that other
// processes or a quota take away, which the processor time used by this process does not show.
package utilization

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two samples.
	tickInterval = 50 * time.Millisecond
	// lateBy is the delay beyond which a tick counts as late. Timers fire up to some milliseconds late on an idle processor.
	lateBy = 5 * time.Millisecond
	// window is the time over which samples are averaged.
	window = 4 * time.Second
	// maxDelay bounds the delay of one sample, since a single pause of the machine does not make its processor busy.
	maxDelay = 100 * time.Millisecond
	// highShare and lowShare are the shares of late ticks at which the processor becomes overloaded and ceases to be so.
	highShare = 0.6
	lowShare  = 0.25
	// calmTime is how long the share must be low until the processor is no longer overloaded.
	calmTime = 30 * time.Second
)

// Meter estimates the utilization of the processor. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// share is the weighted average share of late ticks.
	share float64
	// delay is the weighted average delay of ticks.
	delay      time.Duration
	overloaded bool
	// lowSince is when share fell below lowShare, or zero while it is above.
	lowSince time.Time
}

// Run takes samples until ctx ends, and calls changed after each change of Overloaded.
func (m *Meter) Run(ctx context.Context, changed func(overloaded bool, share float64)) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	due := time.Now().Add(tickInterval)
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if m.add(now, now.Sub(due)) {
			changed(m.Overloaded(), m.Share())
		}
		due = now.Add(tickInterval)
		timer.Reset(tickInterval)
	}
}

// add records a tick that fired with the given delay, and reports whether Overloaded has changed. The sample represents the
// time since the tick before.
func (m *Meter) add(now time.Time, delay time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sample := 0.0
	if delay > lateBy {
		sample = 1
	}
	delay = max(0, delay)
	m.share += weightOf(delay) * (sample - m.share)
	bounded := min(delay, maxDelay) // also in its weight
	m.delay += time.Duration(weightOf(bounded) * float64(bounded-m.delay))
	switch {
	case m.share >= lowShare:
		m.lowSince = time.Time{}
	case m.lowSince.IsZero():
		m.lowSince = now
	}
	before := m.overloaded
	switch {
	case m.share >= highShare:
		m.overloaded = true
	case !m.lowSince.IsZero() && now.Sub(m.lowSince) >= calmTime:
		m.overloaded = false
	}
	return m.overloaded != before
}

// weightOf returns the weight of a tick with the given delay, by the time that it represents.
func weightOf(delay time.Duration) float64 {
	return 1 - math.Exp(-float64(tickInterval+delay)/float64(window))
}

// Overloaded reports whether the processor has little time left for further requests.
func (m *Meter) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overloaded
}

// Share returns the estimated utilization, from 0 to 1.
func (m *Meter) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share
}

// Delay returns the average time by which timers fire late, which is how long a step of a request waits for the processor.
func (m *Meter) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delay
}
