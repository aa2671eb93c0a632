package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/registry"
)

const (
	// highCapacityShare is the share of the highest capacity in a zone or region from which a node counts as a
	// high-capacity node.
	highCapacityShare = 0.5
	// minCapacityShare is the share of the total capacity of a zone or region below which its high-capacity nodes are too
	// few to begin with. Above it, their load shows whether they are.
	minCapacityShare = 0.1
	// minNodes is how many nodes callers need, so that another one remains when one fails.
	minNodes = 2
	// connectionsPerNode is the number of connections to one leaf that a node should be able to hold, so that a request does
	// not wait for the one before it.
	connectionsPerNode = 2
	// overloadedShare is the share of overloaded nodes from which callers are sent to more nodes.
	overloadedShare = 0.5
)

// placement selects the nodes that callers use. All nodes compute the same selection from the same view of the registry.
//
// A query to many leaves takes several times as long on a node of low capacity, and few nodes use each of their
// connections often. Callers are therefore sent to the high-capacity nodes, and to no more nodes than the leaves accept
// connections from. Both ends when the nodes are overloaded.
type placement struct {
	members []registry.Member
	// leafConnections is the number of connections that each leaf accepts from all nodes together. 0 means no limit.
	leafConnections int
}

// select returns the nodes for callers in a zone: the high-capacity nodes of the zone, or else those of the region if
// there are enough, or else all nodes of the zone, of the region, or of the tier.
func (p placement) selectNodes(region, zone string) []registry.Member {
	inZone := filter(p.members, func(m registry.Member) bool { return m.Zone == zone })
	inRegion := filter(p.members, func(m registry.Member) bool { return m.Region == region })
	highInZone, highInRegion := highCapacity(inZone), highCapacity(inRegion)
	switch {
	case len(inZone) > 0 && (len(highInZone) == len(inZone) || len(highInZone) >= minNodes && !mostlyOverloaded(highInZone)):
		return p.limit(highInZone)
	case len(highInRegion) >= minNodes && !mostlyOverloaded(highInRegion):
		return p.limit(highInRegion)
	case len(inZone) > 0:
		return p.limit(inZone)
	case len(inRegion) > 0:
		return p.limit(inRegion)
	}
	return p.limit(p.members)
}

// limit returns the first nodes that may use connections to the same leaf at the same time, by capacity. It doubles their
// number while they are overloaded, up to one connection to each leaf for each node.
func (p placement) limit(nodes []registry.Member) []registry.Member {
	if p.leafConnections <= 0 {
		return nodes
	}
	perZone := p.leafConnections / max(1, p.zones())
	limit, most := max(minNodes, perZone/connectionsPerNode), max(minNodes, perZone)
	if len(nodes) <= limit {
		return nodes
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b registry.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID)))
	})
	for limit < min(most, len(sorted)) && mostlyOverloaded(sorted[:limit]) {
		limit = min(2*limit, most)
	}
	selected := sorted[:min(limit, len(sorted))]
	slices.SortFunc(selected, func(a, b registry.Member) int { return cmp.Compare(a.ID, b.ID) })
	return selected
}

// zones returns the number of zones that have nodes.
func (p placement) zones() int {
	seen := map[string]bool{}
	for _, m := range p.members {
		seen[m.Zone] = true
	}
	return len(seen)
}

// advertised returns the names of all nodes to which the callers of some zone are directed, in ascending order.
func (p placement) advertised() []string {
	var names []string
	seenZones := map[string]bool{}
	for _, m := range p.members {
		if seenZones[m.Zone] {
			continue
		}
		seenZones[m.Zone] = true
		for _, f := range p.selectNodes(m.Region, m.Zone) {
			names = append(names, f.ID)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
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

// mostlyOverloaded reports whether many of the nodes are overloaded.
func mostlyOverloaded(nodes []registry.Member) bool {
	overloaded := filter(nodes, func(m registry.Member) bool { return m.Overloaded })
	return float64(len(overloaded)) >= overloadedShare*float64(len(nodes))
}
