package leafset

import (
	"cmp"
	"reflect"
	"slices"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/platform"
)

// maxShards bounds the number of shards of a snapshot, so that a wrong report cannot exhaust memory. A query of the
// design size goes to 100 leaves, and the whole fleet has 93,000.
const maxShards = 1 << 17

// leafReport is the last status of a connected leaf.
type leafReport struct {
	vm     platform.VM
	status backend.Status
}

// without returns a copy of the status that lacks one shard of a snapshot.
func (r leafReport) without(snapshot string, shard uint32) *backend.Status {
	status := r.status
	status.Snapshots = nil
	for _, info := range r.status.Snapshots {
		if info.ID == snapshot {
			info.Shards = slices.DeleteFunc(slices.Clone(info.Shards), func(s uint32) bool { return s == shard })
		}
		if len(info.Shards) > 0 {
			status.Snapshots = append(status.Snapshots, info)
		}
	}
	return &status
}

// view holds the snapshots that the connected leaves of a service have reported. A published view is never changed.
type view struct {
	snapshots []leaf.Snapshot // newest first
}

func (v *view) find(snapshot string) *leaf.Snapshot {
	for i := range v.snapshots { // a service has only a few snapshots
		if v.snapshots[i].ID == snapshot {
			return &v.snapshots[i]
		}
	}
	return nil
}

func (v *view) has(snapshot string) bool { return v.find(snapshot) != nil }

func (v *view) replicas(snapshot string, shard uint32) []leaf.Replica {
	s := v.find(snapshot)
	if s == nil || shard >= s.ShardCount {
		return nil
	}
	return s.Replicas[shard]
}

// removeReplica removes a shard of a snapshot from a leaf's report, so that no call is sent for it again before the
// leaf reports it again.
func (svc *service) removeReplica(vm, snapshot string, shard uint32) {
	svc.mu.Lock()
	r, ok := svc.reports[vm]
	changed := ok && svc.storeReportLocked(r.vm, r.without(snapshot, shard))
	svc.mu.Unlock()
	if changed {
		svc.slots.ReplicasChanged()
	}
}

// updateReport replaces a leaf's report; a nil status removes it.
func (svc *service) updateReport(vm platform.VM, status *backend.Status) {
	if !svc.storeReport(vm, status) {
		return
	}
	if status != nil {
		svc.slots.SetDraining(vm.ID, status.Draining)
	}
	svc.slots.ReplicasChanged()
}

// storeReport replaces a leaf's report and reports whether the view has changed. A nil status removes the report.
func (svc *service) storeReport(vm platform.VM, status *backend.Status) bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.storeReportLocked(vm, status)
}

func (svc *service) storeReportLocked(vm platform.VM, status *backend.Status) bool {
	previous, known := svc.reports[vm.ID]
	if status == nil {
		delete(svc.reports, vm.ID)
	} else {
		svc.reports[vm.ID] = leafReport{vm, *status}
	}
	if known == (status != nil) && (!known ||
		previous.status.Draining == status.Draining && reflect.DeepEqual(previous.status.Snapshots, status.Snapshots)) {
		return false
	}
	before := svc.view.Load()
	after := &view{snapshots: merge(svc.reports)}
	svc.view.Store(after)
	for _, s := range after.snapshots {
		if !before.has(s.ID) {
			svc.record(event.SnapshotSeen, vm.ID, s.ID)
		}
	}
	return true
}

// merge combines the reports of all leaves that take new work, in the order of their VMs. A leaf that contradicts an
// earlier one about a snapshot is left out of that snapshot.
func merge(reports map[string]leafReport) []leaf.Snapshot {
	ids := make([]string, 0, len(reports))
	for id := range reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var merged []leaf.Snapshot
	index := map[string]int{}
	for _, id := range ids {
		r := reports[id]
		if r.status.Draining {
			continue
		}
		for _, info := range r.status.Snapshots {
			if info.ShardCount == 0 || info.ShardCount > maxShards {
				continue
			}
			i, ok := index[info.ID]
			if !ok {
				i = len(merged)
				index[info.ID] = i
				merged = append(merged, leaf.Snapshot{
					ID: info.ID, Sequence: info.Sequence, ShardCount: info.ShardCount,
					Replicas: make([][]leaf.Replica, info.ShardCount),
				})
			}
			addReplica(&merged[i], info, leaf.Replica{VM: id, Zone: r.vm.Zone})
		}
	}
	slices.SortFunc(merged, func(a, b leaf.Snapshot) int {
		return cmp.Or(cmp.Compare(b.Sequence, a.Sequence), cmp.Compare(a.ID, b.ID))
	})
	return merged
}

func addReplica(s *leaf.Snapshot, info backend.SnapshotInfo, r leaf.Replica) {
	if s.Sequence != info.Sequence || s.ShardCount != info.ShardCount {
		return
	}
	for _, shard := range info.Shards {
		if shard < s.ShardCount && !slices.Contains(s.Replicas[shard], r) {
			s.Replicas[shard] = append(s.Replicas[shard], r)
		}
	}
}
