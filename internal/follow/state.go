package follow

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

// digest returns a hash of a state's content. It includes the epoch, since entries count by their revisions. It leaves out
// the state's revision, which also grows with irrelevant changes.
func digest(s registry.State) uint64 {
	h := xxhash.New()
	writeUint64 := func(v uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = h.Write(b[:]) // Write of a hash returns no error
	}
	writeString := func(v string) {
		writeUint64(uint64(len(v)))
		_, _ = h.WriteString(v)
	}
	writeUint64(s.Epoch)
	writeUint64(configVersion(s))
	for _, zone := range s.Evacuated {
		writeString(zone)
	}
	for _, l := range s.Leaves {
		writeString(l.ID)
		writeUint64(l.Revision)
		if l.Draining { // the entry may say otherwise after a restore
			writeString("draining")
		}
	}
	for _, m := range s.Members {
		writeString(m.ID)
		writeUint64(uint64(m.Boot))
		if m.Overloaded {
			writeString("overloaded")
		}
	}
	for _, q := range s.Quarantines {
		writeString(q.ID())
	}
	for _, r := range s.Rollouts() {
		writeString(r.Service)
		writeUint64(r.Request.Revision)
		writeUint64(r.Status.Revision)
	}
	return h.Sum64()
}

// configVersion returns the version of the routing configuration, or 0 without one.
func configVersion(s registry.State) uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// older reports whether the point of the registry's history at epoch and revision is before that of the state.
func older(epoch, revision uint64, s registry.State) bool {
	if epoch != s.Epoch {
		return epoch < s.Epoch
	}
	return revision < s.Revision
}

// atNewest returns a state at its newest revision. What is older than that must not replace the state, since it may lack
// changes that the state includes.
func atNewest(s registry.State) registry.State {
	s.Revision = max(s.Revision, s.NewestRevision)
	return s
}

// keepNewest returns next, but with the configuration of old if that is newer.
func keepNewest(old, next registry.State) registry.State {
	if configVersion(next) < configVersion(old) {
		next.Table = old.Table
	}
	return next
}

// keepMissing returns next with the entries of old that it lacks.
func keepMissing(old, next registry.State) registry.State {
	next.Leaves = union(next.Leaves, old.Leaves, leafID)
	next.Members = union(next.Members, old.Members, memberID)
	next.Quarantines = union(next.Quarantines, old.Quarantines, quarantineID)
	return next
}

func leafID(l registry.Leaf) string             { return l.ID }
func memberID(m registry.Member) string         { return m.ID }
func quarantineID(q registry.Quarantine) string { return q.ID() }
func rolloutID(r registry.Rollout) string       { return r.Service }

// union returns the entries of list and those of extra whose identifiers list lacks, in ascending order of identifiers.
func union[E any](list, extra []E, id func(E) string) []E {
	all := slices.Clone(list)
	for _, e := range extra {
		if !slices.ContainsFunc(list, func(o E) bool { return id(o) == id(e) }) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b E) int { return strings.Compare(id(a), id(b)) })
	return all
}

// diff returns the entries of next that are new or changed, and the identifiers of old that next lacks.
func diff[E any](old, next []E, id func(E) string, same func(a, b E) bool) (changed []E, gone []string) {
	before := make(map[string]E, len(old))
	for _, e := range old {
		before[id(e)] = e
	}
	for _, e := range next {
		previous, known := before[id(e)]
		if !known || !same(previous, e) {
			changed = append(changed, e)
		}
		delete(before, id(e))
	}
	for name := range before {
		gone = append(gone, name)
	}
	slices.Sort(gone)
	return changed, gone
}

// sameEntry compares more than revisions, since these are given out again after the registry was restored from a copy. It
// leaves out the remaining warm-up, which notices round.
func sameEntry(a, b registry.Leaf) bool {
	a.WarmupLeft = b.WarmupLeft
	return a == b
}

func sameMember(a, b registry.Member) bool { return a == b }

func sameQuarantine(a, b registry.Quarantine) bool { return a == b }

func sameRollout(a, b registry.Rollout) bool {
	return a.Request == b.Request && a.Status.Equal(b.Status)
}

const (
	// maxChanges bounds the changes in one notice. A leaf or node takes about 100 bytes of a datagram.
	maxChanges = 10
	// noticeBytes is the usual size of a notice with that many changes.
	noticeBytes = 1200
)

// summary returns a notice of the state next without the changes that lead to it from old.
func summary(sender string, old, next registry.State) cluster.Notice {
	return cluster.Notice{Sender: sender, Epoch: next.Epoch, Revision: next.Revision, Digest: digest(next), Base: digest(old),
		ConfigVersion: configVersion(next), Partial: true}
}

// newNotices returns the notices whose changes lead from old to next.
func newNotices(sender string, old, next registry.State) []cluster.Notice {
	remaining := cluster.Notice{Sender: sender, Epoch: next.Epoch, Revision: next.Revision, Evacuated: next.Evacuated}
	remaining.Leaves, remaining.LeavesGone = diff(old.Leaves, next.Leaves, leafID, sameEntry)
	remaining.Members, remaining.MembersGone = diff(old.Members, next.Members, memberID, sameMember)
	remaining.Quarantines, remaining.QuarantinesGone = diff(old.Quarantines, next.Quarantines, quarantineID, sameQuarantine)
	remaining.Rollouts, remaining.RolloutsGone = diff(old.Rollouts(), next.Rollouts(), rolloutID, sameRollout)
	var notices []cluster.Notice
	base := old
	for {
		n := takeChanges(&remaining, maxChanges)
		n.Base, n.ConfigVersion, n.More = digest(base), configVersion(old), countChanges(remaining) > 0
		if !n.More {
			n.Digest, n.ConfigVersion = digest(next), configVersion(next)
			return append(notices, n)
		}
		base = applyNotice(base, n)
		n.Digest = digest(base)
		notices = append(notices, n)
	}
}

func countChanges(n cluster.Notice) int {
	return len(n.Leaves) + len(n.LeavesGone) + len(n.Members) + len(n.MembersGone) + len(n.Quarantines) + len(n.QuarantinesGone) + len(n.Rollouts) + len(n.RolloutsGone)
}

// takeChanges removes at most limit changes from a notice and returns them in a new one.
func takeChanges(from *cluster.Notice, limit int) cluster.Notice {
	n := *from
	n.Leaves, from.Leaves = take(from.Leaves, &limit)
	n.LeavesGone, from.LeavesGone = take(from.LeavesGone, &limit)
	n.Members, from.Members = take(from.Members, &limit)
	n.MembersGone, from.MembersGone = take(from.MembersGone, &limit)
	n.Quarantines, from.Quarantines = take(from.Quarantines, &limit)
	n.QuarantinesGone, from.QuarantinesGone = take(from.QuarantinesGone, &limit)
	n.Rollouts, from.Rollouts = take(from.Rollouts, &limit)
	n.RolloutsGone, from.RolloutsGone = take(from.RolloutsGone, &limit)
	return n
}

// take splits a list after at most limit entries, which it subtracts from limit.
func take[E any](list []E, limit *int) (head, rest []E) {
	n := min(*limit, len(list))
	*limit -= n
	return list[:n:n], list[n:]
}

// applyNotice returns the state after a notice's changes. It leaves the routing configuration unchanged.
func applyNotice(state registry.State, n cluster.Notice) registry.State {
	state.Leaves = union(n.Leaves, without(state.Leaves, n.LeavesGone, leafID), leafID)
	state.Members = union(n.Members, without(state.Members, n.MembersGone, memberID), memberID)
	state.Quarantines = union(n.Quarantines, without(state.Quarantines, n.QuarantinesGone, quarantineID), quarantineID)
	state.SetRollouts(union(n.Rollouts, without(state.Rollouts(), n.RolloutsGone, rolloutID), rolloutID))
	if n.Epoch != state.Epoch {
		state.NewestRevision = 0 // it counts within one epoch only
	}
	state.Evacuated, state.Epoch, state.Revision = n.Evacuated, n.Epoch, n.Revision
	return state
}

func without[E any](list []E, gone []string, id func(E) string) []E {
	return slices.DeleteFunc(slices.Clone(list), func(e E) bool { return slices.Contains(gone, id(e)) })
}
