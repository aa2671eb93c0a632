package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
)

// View is what a node knows of the other nodes and of the organisations.
type View struct {
	Members []registry.Member
	// Advertised holds the names of the nodes that callers are sent to.
	Advertised    []string
	Organisations []route.Organisation
}

// candidates returns the nodes that may be allocators: the advertised ones, or all if there are too few.
func (v View) candidates() []registry.Member {
	advertised := slices.DeleteFunc(slices.Clone(v.Members), func(m registry.Member) bool { return !slices.Contains(v.Advertised, m.ID) })
	if len(advertised) < allocators {
		return v.Members
	}
	return advertised
}

// limits returns the quotas of the organisations that have one.
func (v View) limits() map[string]Limit {
	limits := map[string]Limit{}
	for _, o := range v.Organisations {
		if o.Rate > 0 {
			limits[o.Name] = Limit{o.Rate, o.Burst}
		}
	}
	return limits
}

// ranked returns the nodes in descending order of their hashes for the organisation (rendezvous hashing).
func ranked(organisation string, nodes []registry.Member) []registry.Member {
	type entry struct {
		hash uint64
		node registry.Member
	}
	entries := make([]entry, len(nodes))
	for i, m := range nodes {
		entries[i] = entry{xxhash.Sum64String(organisation + "\x00" + m.ID), m}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.hash, a.hash) })
	sorted := make([]registry.Member, len(nodes))
	for i, e := range entries {
		sorted[i] = e.node
	}
	return sorted
}

// byDistance sorts nodes by their distance from this one: itself, its zone, its region, others.
func (c Config) byDistance(nodes []registry.Member) {
	distance := func(m registry.Member) int {
		switch {
		case m.ID == c.Self:
			return 0
		case m.Zone == c.Zone:
			return 1
		case m.Region == c.Region:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(nodes, func(a, b registry.Member) int { return cmp.Compare(distance(a), distance(b)) })
}
