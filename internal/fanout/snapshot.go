package fanout

import "cyclamenstream/api/leaf"

// chooseSnapshot returns the newest snapshot above a sequence whose shards all have a replica. If there is none, it
// returns the newest of those with the largest share of shards that have a replica.
func chooseSnapshot(snapshots []leaf.Snapshot, above uint64) (leaf.Snapshot, bool) {
	var best leaf.Snapshot
	bestShare := 0.0
	for _, s := range snapshots {
		share := heldShare(s)
		if share == 0 || s.Sequence <= above {
			continue
		}
		if share > bestShare || (share == bestShare && s.Sequence > best.Sequence) {
			best, bestShare = s, share
		}
	}
	return best, bestShare > 0
}

// heldShare returns the share of the snapshot's shards that have a replica. It is 1 only if all have one.
func heldShare(s leaf.Snapshot) float64 {
	held := 0
	for shard := range min(len(s.Replicas), int(s.ShardCount)) {
		if len(s.Replicas[shard]) > 0 {
			held++
		}
	}
	if held == 0 {
		return 0
	}
	return float64(held) / float64(s.ShardCount)
}

// successorOf returns the snapshot on which a query restarts after a leaf has dropped the pinned one. It is a newer one
// whose share of shards with a replica is at least that of the pinned one.
func successorOf(snapshots []leaf.Snapshot, pinned leaf.Snapshot) (leaf.Snapshot, bool) {
	next, ok := chooseSnapshot(snapshots, pinned.Sequence)
	if !ok {
		return leaf.Snapshot{}, false
	}
	for _, s := range snapshots {
		if s.ID == pinned.ID && heldShare(s) > heldShare(next) {
			return leaf.Snapshot{}, false
		}
	}
	return next, true
}
