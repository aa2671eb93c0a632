package follow

import (
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
	for _, l := range leaves {
		f.log.Info("leaf", "leaf", l.ID, "boot", l.Boot, "service", l.Service, "address", l.Address, "leaf_zone", l.Zone,
			"draining", l.Draining, "warmup_ms", decision.Millis(l.WarmupLeft), "revision", next.Revision, "source", source)
	}
	for _, id := range gone {
		f.log.Info("leaf_gone", "leaf", id, "revision", next.Revision, "source", source)
	}
	members, gone := diff(old.Members, next.Members, memberID, sameMember)
	for _, m := range members {
		f.log.Info("member", "member", m.ID, "boot", m.Boot, "member_zone", m.Zone, "revision", next.Revision, "source", source)
	}
	for _, id := range gone {
		f.log.Info("member_gone", "member", id, "revision", next.Revision, "source", source)
	}
}

// sameLeaf reports whether two entries are equal apart from the remaining warm-up and the revision, which change with
// each write.
func sameLeaf(a, b registry.Leaf) bool {
	a.WarmupLeft, a.Revision = b.WarmupLeft, b.Revision
	return a == b
}
