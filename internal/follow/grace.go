package follow

import (
	"maps"
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

// departedMemory is how long removed entries are remembered. It is longer than the age of a copy from which the registry
// is restored.
const departedMemory = time.Minute

// entryKey identifies an entry of one boot of a leaf or node.
type entryKey struct {
	id   string
	boot int64
}

func leafKey(l registry.Leaf) entryKey     { return entryKey{"leaf " + l.ID, l.Boot} }
func memberKey(m registry.Member) entryKey { return entryKey{"member " + m.ID, m.Boot} }

// recordRestore begins the grace after a restore if next is of a later epoch than the current state.
func (f *Follower) recordRestore(next registry.State, now time.Time, source string) {
	old := f.state
	if !f.hasState || next.Epoch <= old.Epoch {
		return
	}
	f.restoredAt = now
	f.log.Warn("registry_restored", "epoch", next.Epoch, "before", old.Epoch, "revision", next.Revision, "known", old.Revision,
		"config_version", configVersion(next), "config_known", configVersion(old), "zones", next.Evacuated, "zones_known", old.Evacuated, "source", source)
}

// reconcile returns what this node takes for the state when the registry contains next. It differs from next for a while
// after an outage, when entries may be missing, and after a restore, when the registry shows an older state until operators
// and leaves have written again.
func (f *Follower) reconcile(old, next registry.State, now time.Time) registry.State {
	received := digest(next)
	outageGraceEnd := later(f.outageEnd, f.restoredAt).Add(f.config.OutageGrace)
	restoreGraceEnd := f.restoredAt.Add(f.config.RestoreGrace)
	f.rereadAt = time.Time{}
	if now.Before(restoreGraceEnd) {
		next = f.keepDepartures(old, next)
		if digest(next) != received {
			f.rereadAt = restoreGraceEnd
		}
	}
	if now.Before(outageGraceEnd) {
		restored := digest(next)
		next = keepMissing(old, next)
		if digest(next) != restored && (f.rereadAt.IsZero() || outageGraceEnd.Before(f.rereadAt)) {
			f.rereadAt = outageGraceEnd
		}
	}
	return next
}

// keepDepartures returns next without what old excludes already: the leaves of evacuated zones, leaves that are draining,
// and leaves and nodes that have left.
func (f *Follower) keepDepartures(old, next registry.State) registry.State {
	zones := append(slices.Clone(next.Evacuated), old.Evacuated...)
	slices.Sort(zones)
	next.Evacuated = slices.Compact(zones)
	next.Leaves = slices.DeleteFunc(slices.Clone(next.Leaves), func(l registry.Leaf) bool { return f.hasDeparted(leafKey(l)) })
	next.Members = slices.DeleteFunc(slices.Clone(next.Members), func(m registry.Member) bool { return f.hasDeparted(memberKey(m)) })
	draining := map[entryKey]bool{}
	for _, l := range old.Leaves {
		draining[leafKey(l)] = l.Draining
	}
	for i, l := range next.Leaves {
		next.Leaves[i].Draining = l.Draining || draining[leafKey(l)]
	}
	return next
}

func (f *Follower) hasDeparted(key entryKey) bool {
	_, departed := f.departed[key]
	return departed
}

// recordDeparted records which entries of old next lacks.
func (f *Follower) recordDeparted(old, next registry.State, now time.Time) {
	for _, l := range old.Leaves {
		f.departed[leafKey(l)] = now
	}
	for _, m := range old.Members {
		f.departed[memberKey(m)] = now
	}
	for _, l := range next.Leaves {
		delete(f.departed, leafKey(l))
	}
	for _, m := range next.Members {
		delete(f.departed, memberKey(m))
	}
	maps.DeleteFunc(f.departed, func(_ entryKey, at time.Time) bool { return now.Sub(at) > departedMemory })
}
