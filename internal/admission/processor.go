package admission

import (
	"math"
	"time"
)

const (
	// ownShare is the part of the processor's time that is kept for this node's own duties while it is saturated: following the
	// registry, leases, notices and a stop.
	ownShare = 0.1
	// processorInterval is the time between two looks at the delay.
	processorInterval = 100 * time.Millisecond
	// peakMemory is the time over which the highest rate of completions counts as what the processor can do.
	peakMemory = time.Minute
	// processorBurst is the time over which unused room adds up. A gathered request takes that of many sends, so that with less of
	// it few requests that arrive at random would be held back much more often than the share that is to be kept.
	processorBurst = time.Second
	// delayShare is the acceptable delay of a step as a share of the shortest target latency. A request waits for the processor
	// about four times in a row: to be read, sent, received and answered.
	delayShare = 0.25
	// defaultTarget applies while no service has a target latency.
	defaultTarget = 100 * time.Millisecond
)

// processor is the gate of this node's processor. Its unit is one send to a leaf. It holds back at most the node's own share of
// what the processor has done lately, since other processes may be the cause of the delay, which refusals would not end.
type processor struct {
	gate
	readAt time.Time
	peak   float64
}

// read adopts the average delay of a step and returns the pressure.
func (p *processor) read(delay, target time.Duration, now time.Time) float64 {
	if now.Sub(p.heldBackAt) >= calmTime { // else fewer completions are the effect of this gate
		p.peak *= math.Exp(-max(0, now.Sub(p.readAt).Seconds()) / peakMemory.Seconds())
	}
	p.peak = max(p.peak, p.completed.perSecond(now))
	p.floor = (1 - ownShare) * p.peak
	p.burst = max(p.burst, p.floor*processorBurst.Seconds())
	p.readAt = now
	if target <= 0 {
		target = defaultTarget
	}
	return float64(delay) / (delayShare * float64(target))
}

// updateProcessor reads the delay of the processor from time to time.
func (c *Controller) updateProcessor(now time.Time) {
	p := &c.processor
	if c.config.Delay == nil || now.Sub(p.readAt) < processorInterval {
		return
	}
	target := time.Duration(0)
	for _, s := range c.services {
		if s.target > 0 && (target == 0 || s.target < target) {
			target = s.target
		}
	}
	c.update(&p.gate, p.read(c.config.Delay(), target, now), now)
}
