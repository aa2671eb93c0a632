package member

import (
	"cmp"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"

	"github.com/cespare/xxhash/v2"
)

// view is what the configuration and the list of VMs say together. It is not changed once built.
type view struct {
	set      memberSet
	members  []platform.VM          // in order of identifier
	nodes    map[string]platform.VM // all nodes in the list, also those out of service
	allowed  map[string]platform.VM // backend servers that may get work
	leaves   map[string][]platform.VM
	services []string // in order of name
	drains   map[string]drain

	configVersion, fleetRevision uint64
}

// newView combines the two documents at the given instant; either may be nil. replaced is the view before it, or nil.
func newView(doc *config.Document, fleet *platform.Fleet, replaced *view, now instant) *view {
	v := &view{nodes: map[string]platform.VM{}, allowed: map[string]platform.VM{}, leaves: map[string][]platform.VM{}}
	if doc == nil {
		doc = &config.Document{}
	}
	if fleet == nil {
		fleet = &platform.Fleet{}
	}
	v.configVersion, v.fleetRevision = doc.Version, fleet.Revision
	for name := range doc.Services {
		v.services = append(v.services, name)
	}
	slices.Sort(v.services)
	if replaced != nil && replaced.configVersion == doc.Version {
		v.drains = replaced.drains
	} else if replaced != nil {
		v.drains = drains(doc, replaced.drains, now)
	}
	for _, vm := range fleet.VMs {
		out := doc.ZoneOut(vm.Zone) || doc.VMOut(vm.ID)
		switch {
		case vm.Kind == platform.KindNode:
			v.nodes[vm.ID] = vm
			if !out {
				v.members = append(v.members, vm)
			}
		case vm.Kind == platform.KindBackend && !out && vm.State == platform.StateLive:
			v.allowed[vm.ID] = vm
			v.leaves[vm.Service] = append(v.leaves[vm.Service], vm)
		}
	}
	slices.SortFunc(v.members, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	ids := make([]string, len(v.members))
	for i, vm := range v.members {
		ids[i] = vm.ID
	}
	v.set = newMemberSet(ids)
	return v
}

// drainOf returns how long an owner without a handover waits before it uses the service's slots.
func (v *view) drainOf(service string, now instant) time.Duration {
	if d, known := v.drains[service]; known {
		return d.at(now)
	}
	return maxDrain
}

func (v *view) isMember(vm string) bool {
	_, found := slices.BinarySearch(v.set.vms, vm)
	return found
}

// rank returns the rendezvous weight of a VM for a key; the highest comes first.
func rank(key, vm string) uint64 { return xxhash.Sum64String(key + "\x00" + vm) }

// best returns the first VM by rendezvous rank.
func best(key string, vms []platform.VM) (platform.VM, bool) {
	if len(vms) == 0 {
		return platform.VM{}, false
	}
	return slices.MaxFunc(vms, func(a, b platform.VM) int {
		return cmp.Or(cmp.Compare(rank(key, a.ID), rank(key, b.ID)), cmp.Compare(b.ID, a.ID))
	}), true
}
