package crashes

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cyclamenstream/api/registry"
)

// probeDelays are the times from the latest entry of a refused request to each of its probes. All nodes together send one
// probe for each. The first one comes soon, for harmless requests whose leaves were lost together.
var probeDelays = []time.Duration{2 * time.Second, 20 * time.Second, 3 * time.Minute}

const (
	// claimTimeout bounds the wait of a request for its claim of a probe, and claimShare bounds it as a share of its
	// remaining time.
	claimTimeout = 500 * time.Millisecond
	claimShare   = 0.25
	// claimRetryDelay is the delay after a claim that has failed.
	claimRetryDelay = time.Second
	// noLeafDelay tells callers when to retry while there is no leaf to probe.
	noLeafDelay = time.Second
	// returnSpread is the share of a delay by which the returns of callers are spread.
	returnSpread = 0.25
)

// Admission is the decision on a request.
type Admission struct {
	// Probe is set if the request is sent to one leaf only, to find out whether it still crashes leaves.
	Probe bool
	// RetryAfter tells the caller of a refused request when to retry.
	RetryAfter time.Duration
}

// claim is a node's claim of the next probe of a request.
type claim struct {
	// running is set while the registry has not answered. unanswered is the number of a probe whose claim failed without a
	// usable answer, or 0. It may still take effect.
	running    bool
	unanswered int
	// granted is set if this node may send a probe that it has claimed.
	granted bool
	// retryAt is the time of the next claim after one that has failed.
	retryAt time.Time
}

// recordEntry records the latest entry of the registry, which may be the effect of an unanswered claim.
func (c *claim) recordEntry(latest registry.Quarantine, self string) {
	if c.unanswered == 0 || latest.Probe < c.unanswered {
		return
	}
	c.granted = latest.Probe == c.unanswered && latest.Node == self
	c.unanswered = 0
}

// Admit decides whether a request is served. It returns an error with verdict "not run" for a request that is refused. If a
// probe is due, the caller's request becomes the probe, once the registry has granted it to this node alone. hasLeaf reports
// whether there is a leaf to send the probe to.
func (d *Detector) Admit(ctx context.Context, fingerprint uint64, deadline time.Time, hasLeaf func() bool) (Admission, error) {
	if d.tracked.Load() == 0 {
		return Admission{}, nil
	}
	d.mu.Lock()
	s := d.refusedSuspect(fingerprint)
	if s == nil {
		d.mu.Unlock()
		return Admission{}, nil
	}
	refusal, delay := s.refusal(), d.probeDelay(s)
	if delay == 0 && !hasLeaf() {
		delay = noLeafDelay
	}
	if delay > 0 {
		d.mu.Unlock()
		return d.refuse(delay), refusal
	}
	probe := registry.Quarantine{Fingerprint: fingerprint, Probe: s.probes, Node: d.config.Self, Written: d.config.Now().UnixMilli()}
	granted := s.claim.granted
	s.claim.granted, s.claim.running = false, !granted
	if !granted {
		probe.Probe++
	}
	d.mu.Unlock()
	if !granted && !d.claimProbe(ctx, probe, deadline) {
		return d.refuse(claimRetryDelay), refusal
	}
	d.counters.probes.Inc(1)
	d.config.Log.Warn("crash", "digest", fingerprint, "probe", probe.Probe, "outcome", "probe granted")
	return Admission{Probe: true}, nil
}

func (d *Detector) refuse(delay time.Duration) Admission {
	d.counters.refused.Inc(1)
	return Admission{RetryAfter: delay + time.Duration(returnSpread*rand.Float64()*float64(delay))}
}

// probeDelay returns the time until this node may claim a probe of a refused request. It is 0 if that time has come.
func (d *Detector) probeDelay(s *suspect) time.Duration {
	now := d.config.Now()
	switch {
	case s.claim.granted:
		return 0
	case d.config.Registry == nil || s.probes >= len(probeDelays):
		return max(s.until.Sub(now), noLeafDelay)
	case !s.listed || s.claim.running:
		return probeDelays[0]
	}
	due := s.changed.Add(probeDelays[s.probes])
	if s.claim.retryAt.After(due) {
		due = s.claim.retryAt
	}
	return max(0, due.Sub(now))
}

// claimProbe asks the registry to grant a probe to this node alone, and reports whether it has. A claim goes on when ctx ends,
// and then counts for a later request.
func (d *Detector) claimProbe(ctx context.Context, probe registry.Quarantine, deadline time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Duration(claimShare*float64(time.Until(deadline)))))
	defer cancel()
	result := make(chan error)
	go func() {
		err := d.requestProbe(context.WithoutCancel(ctx), probe)
		d.recordClaim(probe, err)
		select {
		case result <- err:
		case <-ctx.Done():
			if err == nil {
				d.ProbeNotRun(probe.Fingerprint)
			}
		}
	}()
	select {
	case err := <-result:
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// requestProbe asks the registry for a probe.
func (d *Detector) requestProbe(ctx context.Context, probe registry.Quarantine) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	id, err := d.lease.get(ctx, d.config.Registry)
	if err != nil {
		return err
	}
	err = d.config.Registry.ClaimProbe(ctx, id, probe)
	d.lease.recordUse(err)
	return err
}

// recordClaim records the result of a claim.
func (d *Detector) recordClaim(probe registry.Quarantine, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.suspects[probe.Fingerprint]
	if s == nil {
		return // answered meanwhile
	}
	now := d.config.Now()
	s.claim.running = false
	switch {
	case err == nil, errors.Is(err, registry.ErrChanged):
		s.probes, s.changed, s.until = max(s.probes, probe.Probe), now, now.Add(QuarantinePeriod)
	default:
		s.claim.unanswered, s.claim.retryAt = probe.Probe, now.Add(claimRetryDelay)
		d.config.Log.Warn("crash", "digest", probe.Fingerprint, "probe", probe.Probe, "outcome", "probe not granted", "error", err.Error())
	}
}

// ProbeNotRun records that a probe has ended without having run at a leaf, so that this node may send it again.
func (d *Detector) ProbeNotRun(fingerprint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.refusedSuspect(fingerprint); s != nil {
		s.claim.granted, s.changed = true, d.config.Now()
	}
}
