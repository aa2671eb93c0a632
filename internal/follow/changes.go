package follow

import (
	"maps"
	"slices"

	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// logChanges logs each difference between two states.
func (f *Follower) logChanges(old, next registry.State, source string) {
	if configVersion(old) != configVersion(next) {
		f.log.Info("config", "version", configVersion(next), "before", configVersion(old), "routes", len(next.Table.Routes), "revision", next.Revision, "source", source)
	}
	if !slices.Equal(old.Evacuated, next.Evacuated) {
		f.log.Info("evacuation", "zones", next.Evacuated, "revision", next.Revision, "source", source)
	}
	leaves, gone := diff(old.Leaves, next.Leaves, leafID, sameLeaf)
	logEntries(f.log, "leaf", mapSlice(leaves, leafAttributes), next, source)
	logEntries(f.log, "leaf_gone", mapSlice(gone, func(id string) attributes { return attributes{"leaf": id} }), next, source)
	members, gone := diff(old.Members, next.Members, memberID, sameMember)
	logEntries(f.log, "member", mapSlice(members, memberAttributes), next, source)
	logEntries(f.log, "member_gone", mapSlice(gone, func(id string) attributes { return attributes{"member": id} }), next, source)
	quarantines, gone := diff(old.Quarantines, next.Quarantines, quarantineID, sameQuarantine)
	logEntries(f.log, "quarantine", mapSlice(quarantines, quarantineAttributes), next, source)
	logEntries(f.log, "quarantine_gone", mapSlice(gone, func(id string) attributes { return attributes{"entry": id} }), next, source)
	rollouts, gone := diff(old.Rollouts(), next.Rollouts(), rolloutID, sameRollout)
	logEntries(f.log, "rollout_entry", mapSlice(rollouts, rolloutAttributes), next, source)
	logEntries(f.log, "rollout_entry_gone", mapSlice(gone, func(id string) attributes { return attributes{"service": id} }), next, source)
}

// attributes are the attributes of a log line about one entry.
type attributes map[string]any

func leafAttributes(l registry.Leaf) attributes {
	return attributes{"leaf": l.ID, "boot": l.Boot, "service": l.Service, "address": l.Address, "leaf_zone": l.Zone,
		"draining": l.Draining, "warmup_ms": decision.Millis(l.WarmupLeft)}
}

func memberAttributes(m registry.Member) attributes {
	return attributes{"member": m.ID, "boot": m.Boot, "member_zone": m.Zone, "overloaded": m.Overloaded}
}

func quarantineAttributes(q registry.Quarantine) attributes {
	return attributes{"entry": q.ID(), "digest": q.Fingerprint, "probe": q.Probe, "written_by": q.Node}
}

func rolloutAttributes(r registry.Rollout) attributes {
	return attributes{"service": r.Service, "target": r.Request.Target, "duration_ms": decision.Millis(r.Request.Duration),
		"request_revision": r.Request.Revision, "state": r.Status.State.String(), "status_target": r.Status.Target, "status_revision": r.Status.Revision}
}

// entriesPerLine is the number of entries in one line when many change at once. Each line of its own would use up the volume
// of the log.
const entriesPerLine = 50

// logEntries logs one line for each entry, or lines with several entries if there are many.
func logEntries(log *decision.Log, msg string, entries []attributes, next registry.State, source string) {
	shared := []any{"revision", next.Revision, "source", source}
	if len(entries) > entriesPerLine {
		for chunk := range slices.Chunk(entries, entriesPerLine) {
			log.Info(msg, append(shared, "entries", chunk)...)
		}
		return
	}
	for _, entry := range entries {
		line := slices.Clone(shared)
		for _, name := range slices.Sorted(maps.Keys(entry)) {
			line = append(line, name, entry[name])
		}
		log.Info(msg, line...)
	}
}

func mapSlice[E, R any](list []E, f func(E) R) []R {
	mapped := make([]R, len(list))
	for i, e := range list {
		mapped[i] = f(e)
	}
	return mapped
}

// sameLeaf reports whether two entries are equal apart from the remaining warm-up and the revision, which change with
// each write.
func sameLeaf(a, b registry.Leaf) bool {
	a.WarmupLeft, a.Revision = b.WarmupLeft, b.Revision
	return a == b
}
