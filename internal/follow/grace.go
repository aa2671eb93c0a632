package follow

import (
	"time"

	"cyclamenstream/api/registry"
)

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
// after an outage or a restore, when entries may be missing.
func (f *Follower) reconcile(old, next registry.State, now time.Time) registry.State {
	received := digest(next)
	outageGraceEnd := later(f.outageEnd, f.restoredAt).Add(f.config.OutageGrace)
	f.rereadAt = time.Time{}
	if now.Before(outageGraceEnd) {
		next = keepMissing(old, next)
		if digest(next) != received {
			f.rereadAt = outageGraceEnd
		}
	}
	return next
}
