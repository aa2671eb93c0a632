package roster

import (
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

const (
	// highCapacityShare is the share of the highest capacity in a zone or region from which a node counts as a
	// high-capacity node.
	highCapacityShare = 0.5
	// minHighCapacityNodes is how many high-capacity nodes callers need, so that another one remains when one fails.
	minHighCapacityNodes = 2
	// minCapacityShare is the share of the total capacity of a zone or region that its high-capacity nodes must have to
	// serve all its callers.
	minCapacityShare = 0.25
	// maxAddresses is the number of addresses in an answer that callers use.
	maxAddresses = 64
)

// Advertised returns the names of all nodes to which the callers of some zone are directed, in ascending order.
func (r *Roster) Advertised() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.members
	if !slices.ContainsFunc(members, r.isSelf) {
		members = append(slices.Clone(members), r.self)
	}
	var names []string
	seenZones := map[string]bool{}
	for _, m := range members {
		if seenZones[m.Zone] {
			continue
		}
		seenZones[m.Zone] = true
		for _, f := range selectNodes(members, m.Region, m.Zone) {
			names = append(names, f.ID)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (r *Roster) isSelf(m registry.Member) bool { return m.ID == r.self.ID }

// Resolve returns the addresses to which a caller in a zone connects, and how long the caller may keep them.
func (r *Roster) Resolve(region, zone string) ([]string, time.Duration) {
	ready := r.Ready()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := slices.DeleteFunc(slices.Clone(r.members), r.isSelf)
	if ready {
		members = append(members, r.self)
	}
	var addresses []string
	for _, m := range selectNodes(members, region, zone) {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses[:min(len(addresses), maxAddresses)], r.config.ResolveTTL
}

// selectNodes returns the nodes for callers in a zone. These are all nodes of the zone if all of them are high-capacity
// nodes. Otherwise they are the high-capacity nodes of the zone, or else those of the region, if there are enough.
// Otherwise they are all nodes of the zone, or else of the region, or else of the tier.
func selectNodes(members []registry.Member, region, zone string) []registry.Member {
	inZone := filter(members, func(m registry.Member) bool { return m.Zone == zone })
	inRegion := filter(members, func(m registry.Member) bool { return m.Region == region })
	highInZone, highInRegion := highCapacity(inZone), highCapacity(inRegion)
	switch {
	case len(inZone) > 0 && (len(highInZone) == len(inZone) || len(highInZone) >= minHighCapacityNodes):
		return highInZone
	case len(highInRegion) >= minHighCapacityNodes:
		return highInRegion
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	}
	return members
}

func filter(members []registry.Member, match func(registry.Member) bool) []registry.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m registry.Member) bool { return !match(m) })
}

// highCapacity returns the high-capacity nodes among nodes, or all nodes if those have too small a share of the
// capacity.
func highCapacity(nodes []registry.Member) []registry.Member {
	highest, total := 0.0, 0.0
	for _, m := range nodes {
		highest, total = max(highest, m.Capacity), total+m.Capacity
	}
	selected := filter(nodes, func(m registry.Member) bool { return m.Capacity >= highCapacityShare*highest })
	sum := 0.0
	for _, m := range selected {
		sum += m.Capacity
	}
	if sum < minCapacityShare*total {
		return nodes
	}
	return selected
}
