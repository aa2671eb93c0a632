package crashes

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

const (
	// writeInterval is the time between two checks for entries that have to be written or removed.
	writeInterval = 500 * time.Millisecond
	// batchDelay gathers the entries of requests that are refused at the same time, so that one call writes them.
	batchDelay = 50 * time.Millisecond
	// writeTimeout bounds a call to the registry.
	writeTimeout = time.Second
	// rewriteDelay is the time after which an entry that has been written or removed without an effect is tried again. It
	// is longer than the registry's changes take to reach this node.
	rewriteDelay = 5 * time.Second
	// otherDelay, plus up to as much, is the time that a node leaves to those that have detected a crash or got an answer.
	// secondDelay is that which these leave to the first of them.
	otherDelay  = 5 * time.Second
	secondDelay = 1500 * time.Millisecond
	// restoreTime is the time after a restore of the registry within which entries that disappear are taken for lost.
	restoreTime = 15 * time.Second
	// leaseReuse is how long the same lease is used for further entries. These then end up to that much earlier.
	leaseReuse = time.Minute
)

// quarantine is what this node knows of a suspect's entries in the registry.
type quarantine struct {
	// listed is set while the registry holds an entry. lost is set if the entries have disappeared in a restore.
	listed, lost bool
	// ended is set if a leaf has answered the request, so that the entries do not count any more.
	ended bool
	// probes is the number of probes that nodes have claimed. changed is when this node learned of the latest entry.
	probes  int
	changed time.Time
	// writeAt is when this node writes or removes entries; zero means never.
	writeAt time.Time
	claim   claim
}

// SetQuarantines sets the entries that the registry holds, and its epoch.
func (d *Detector) SetQuarantines(entries []registry.Quarantine, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	if epoch != d.epoch {
		d.epoch, d.restoredAt = epoch, now
	}
	latest := map[uint64]registry.Quarantine{}
	for _, e := range entries {
		if known, ok := latest[e.Fingerprint]; !ok || e.Probe > known.Probe {
			latest[e.Fingerprint] = e
		}
	}
	for fingerprint, s := range d.suspects {
		if _, ok := latest[fingerprint]; s.listed && !ok {
			d.recordUnlisted(fingerprint, s, now)
		}
	}
	for _, e := range latest {
		d.recordListed(e, now)
	}
	d.counters.listed.Update(float64(len(latest)))
	d.updateTracked()
}

// recordListed records the latest entry of a request.
func (d *Detector) recordListed(latest registry.Quarantine, now time.Time) {
	s, known := d.suspects[latest.Fingerprint]
	if !known {
		s = newSuspect()
		d.suspects[latest.Fingerprint] = s
	}
	if !s.listed || latest.Probe > s.probes {
		s.changed, s.until = now, now.Add(QuarantinePeriod)
	}
	if !known {
		// This node may have started long after the entry was written. Its clock may be wrong, so the number of probes does
		// not depend on it.
		s.changed = now.Add(-min(max(0, now.Sub(time.UnixMilli(latest.Written))), QuarantinePeriod))
	}
	if !s.listed {
		s.listed, s.lost, s.writeAt = true, false, time.Time{}
		if a, ok := d.answered[latest.Fingerprint]; ok {
			d.endListed(s, a.own)
		}
	}
	s.probes = max(s.probes, latest.Probe)
	s.claim.recordEntry(latest, d.config.Self)
}

// recordUnlisted records that the entries of a request have been removed, or have been lost in a restore.
func (d *Detector) recordUnlisted(fingerprint uint64, s *suspect, now time.Time) {
	s.listed = false
	if !s.ended && !d.restoredAt.IsZero() && now.Sub(d.restoredAt) < restoreTime {
		s.lost, s.until, s.writeAt = true, now.Add(QuarantinePeriod), now.Add(rand.N(rewriteDelay))
		return
	}
	d.config.Log.Info("crash", "digest", fingerprint, "outcome", "no longer refused: the registry does not list it any more")
	d.forget(fingerprint)
}

// endListed ends the suspicion of a request that the registry lists. own is set if the leaf's answer was sent to this node.
func (d *Detector) endListed(s *suspect, own bool) {
	s.ended = true
	s.attempts, s.leaves, s.ownCrashes = map[string]bool{}, map[leafBoot]bool{}, nil
	d.counters.cleared.Inc(1)
	delay := otherDelay
	if own {
		delay = 0
	}
	d.planWrite(s, delay)
}

// planEntry makes this node write the entry of a convicted suspect if the registry does not list it. Of the nodes that have
// detected its crashes, the one with the first attempt writes first.
func (d *Detector) planEntry(s *suspect) {
	if s.listed {
		return
	}
	delay := otherDelay
	if len(s.ownCrashes) > 0 {
		delay = secondDelay
	}
	first := slices.Min(slices.Collect(maps.Keys(s.attempts)))
	if slices.ContainsFunc(s.ownCrashes, func(c cluster.Crash) bool { return c.Attempt == first }) {
		delay = 0
	}
	d.planWrite(s, delay)
}

// planWrite plans the next write after the delay, which is prolonged at random for nodes that write only if others do not.
func (d *Detector) planWrite(s *suspect, delay time.Duration) {
	at := d.config.Now().Add(batchDelay)
	if delay > 0 {
		at = at.Add(delay + rand.N(delay))
	}
	if s.writeAt.IsZero() || at.Before(s.writeAt) {
		s.writeAt = at
	}
	select {
	case d.writes <- struct{}{}:
	default: // the signal before has not been handled yet
	}
}

// writeEntries writes and removes entries of the registry when they are due, until ctx ends.
func (d *Detector) writeEntries(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-d.writes:
			time.Sleep(batchDelay)
		case <-ctx.Done():
			return
		}
		written, removed := d.dueWrites()
		for batch := range slices.Chunk(written, registry.MaxEntries) {
			d.logWrite(d.write(ctx, batch), "written", batch)
		}
		for batch := range slices.Chunk(removed, registry.MaxEntries) {
			callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			d.logWrite(d.config.Registry.EndQuarantine(callCtx, batch...), "removed", batch)
			cancel()
		}
	}
}

// dueWrites returns the entries that are to be written and removed now. They are due again after rewriteDelay.
func (d *Detector) dueWrites() (written, removed []registry.Quarantine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	for fingerprint, s := range d.suspects {
		if s.writeAt.IsZero() || now.Before(s.writeAt) {
			continue
		}
		s.writeAt = now.Add(rewriteDelay)
		entries := registry.Quarantine{Fingerprint: fingerprint, Probe: s.probes, Node: d.config.Self, Written: now.UnixMilli()}.Until()
		switch {
		case s.listed && s.ended:
			removed = append(removed, entries...)
		case !s.listed && s.refused():
			written = append(written, entries...)
		default:
			s.writeAt = time.Time{}
		}
	}
	return written, removed
}

func (d *Detector) write(ctx context.Context, entries []registry.Quarantine) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	id, err := d.lease.get(ctx, d.config.Registry)
	if err != nil {
		return err
	}
	err = d.config.Registry.Quarantine(ctx, id, entries...)
	d.lease.recordUse(err)
	return err
}

func (d *Detector) logWrite(err error, outcome string, entries []registry.Quarantine) {
	if err == nil {
		d.config.Log.Info("quarantine_write", "entries", len(entries), "first", entries[0].ID(), "outcome", outcome)
		return
	}
	d.counters.failedWrites.Inc(1)
	d.config.Log.Warn("quarantine_write", "entries", len(entries), "first", entries[0].ID(), "outcome", "not "+outcome, "error", err.Error())
}

// lease is the lease under which this node writes entries. It is replaced every leaseReuse and never ended, so that the
// entries outlive this process.
type lease struct {
	mu      sync.Mutex
	id      uint64
	granted time.Time
}

// get returns a lease that lasts for at least QuarantinePeriod less leaseReuse.
func (l *lease) get(ctx context.Context, r registry.Quarantines) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.id == 0 || now.Sub(l.granted) > leaseReuse {
		id, err := r.Grant(ctx, QuarantinePeriod)
		if err != nil {
			return 0, err
		}
		l.id, l.granted = id, now
	}
	return l.id, nil
}

// recordUse forgets the lease if err says that it has ended.
func (l *lease) recordUse(err error) {
	if errors.Is(err, registry.ErrNoLease) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.id = 0
	}
}
