package member

import (
	"cmp"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"

	"github.com/cespare/xxhash/v2"
)

// view combines the configuration and the list of VMs. It is not changed once built.
type view struct {
	set           memberSet
	members       []platform.VM          // in order of identifier
	nodes         map[string]platform.VM // all nodes in the list, also those out of service
	allowedLeaves map[string]platform.VM // backend servers that may get work
	leaves        map[string][]platform.VM
	services      []string // in order of name
	drains        map[string]drain

	configVersion, fleetRevision uint64
}

// newView combines the two documents at the given instant. Either may be nil. previous is the view that the new one
// replaces, or nil.
func newView(doc *config.Document, fleet *platform.Fleet, previous *view, now instant) *view {
	v := &view{nodes: map[string]platform.VM{}, allowedLeaves: map[string]platform.VM{}, leaves: map[string][]platform.VM{}}
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
	if previous != nil && previous.configVersion == doc.Version {
		v.drains = previous.drains
	} else if previous != nil {
		v.drains = drains(doc, previous.drains, now)
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
			v.allowedLeaves[vm.ID] = vm
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

// drainOf returns how long a new owner that got no handover waits before it uses the service's slots.
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

// rank returns the weight of a VM for a key in rendezvous hashing. The VM with the highest weight ranks first.
func rank(key, vm string) uint64 { return xxhash.Sum64String(key + "\x00" + vm) }

// highestRanked returns the VM that ranks first for the key, or false if there is none.
func highestRanked(key string, vms []platform.VM) (platform.VM, bool) {
	if len(vms) == 0 {
		return platform.VM{}, false
	}
	return slices.MaxFunc(vms, func(a, b platform.VM) int {
		return cmp.Or(cmp.Compare(rank(key, a.ID), rank(key, b.ID)), cmp.Compare(b.ID, a.ID))
	}), true
}
