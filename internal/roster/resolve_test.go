package roster

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/registry"
)

func member(id, zone, region string, capacity float64) registry.Member {
	return registry.Member{ID: id, Zone: zone, Region: region, CallerAddress: id, Capacity: capacity}
}

func ids(members []registry.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// Guards against callers that are sent to a slow node although there are fast ones, to a single node, or to fast nodes
// that are too few for all callers.
func TestHighCapacityNodesAreChosen(t *testing.T) {
	big := func(id, zone string) registry.Member { return member(id, zone, "r", 0.8) }
	small := func(id, zone string) registry.Member { return member(id, zone, "r", 0.2) }
	var many []registry.Member
	for i := range 100 {
		many = append(many, small(fmt.Sprintf("s%02d", i), "z1"))
	}
	overloaded := func(m registry.Member) registry.Member { m.Overloaded = true; return m }
	cases := []struct {
		name    string
		members []registry.Member
		want    []string
	}{
		{"equal nodes", []registry.Member{small("a", "z1"), small("b", "z1"), small("c", "z1")}, []string{"a", "b", "c"}},
		{"unknown capacity", []registry.Member{member("a", "z1", "r", 0), member("b", "z1", "r", 0)}, []string{"a", "b"}},
		{"high-capacity nodes of the zone", []registry.Member{big("a", "z1"), small("b", "z1"), big("c", "z1"), big("d", "z2")}, []string{"a", "c"}},
		{"high-capacity nodes of the region", []registry.Member{big("a", "z1"), small("b", "z1"), big("c", "z2"), small("d", "z2")}, []string{"a", "c"}},
		{"one high-capacity node", []registry.Member{big("a", "z1"), small("b", "z1"), member("c", "z2", "r2", 0.8)}, []string{"a", "b"}},
		{"one node in the zone, two in another", []registry.Member{small("a", "z1"), small("b", "z2"), small("c", "z2")}, []string{"a"}},
		{"one node", []registry.Member{small("a", "z1"), member("c", "z2", "r2", 0.8)}, []string{"a"}},
		{"none in the region", []registry.Member{member("a", "z2", "r2", 1), member("b", "z3", "r3", 0.1)}, []string{"a", "b"}},
		{"too few high-capacity nodes", append([]registry.Member{big("a", "z1"), big("b", "z1")}, many...), append([]string{"a", "b"}, ids(many)...)},
		{"few high-capacity nodes", append([]registry.Member{big("a", "z1"), big("b", "z1")}, many[:40]...), []string{"a", "b"}},
		{"overloaded high-capacity nodes", append([]registry.Member{overloaded(big("a", "z1")), big("b", "z1")}, many[:40]...), append([]string{"a", "b"}, ids(many[:40])...)},
		{"one of three is overloaded", []registry.Member{overloaded(big("a", "z1")), big("b", "z1"), big("c", "z1"), small("d", "z1")}, []string{"a", "b", "c"}},
		{"overloaded nodes of the region", []registry.Member{small("a", "z1"), overloaded(big("b", "z2")), overloaded(big("c", "z2"))}, []string{"a"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, ids(placement{members: test.members}.selectNodes("r", "z1")), qt.DeepEquals, test.want)
		})
	}
}

// Guards against limits that are divided among other nodes than those to which callers are sent.
func TestAdvertisedIsTheUnionOfAllAnswers(t *testing.T) {
	r := New(nil, nil, Config{}, member("n0", "z1", "r1", 0.8), func() bool { return true }, nil)
	r.Update([]registry.Member{member("n1", "z1", "r1", 0.8), member("n2", "z1", "r1", 0.2), member("n3", "z2", "r2", 0.2), member("n4", "z2", "r2", 0.2)}, 0)
	resolved := map[string]bool{}
	for zone, region := range map[string]string{"z1": "r1", "z2": "r2"} {
		addresses, _ := r.Resolve(region, zone)
		for _, a := range addresses {
			resolved[a] = true
		}
	}
	advertised := r.Advertised()
	qt.Assert(t, advertised, qt.DeepEquals, []string{"n0", "n1", "n3", "n4"})
	qt.Assert(t, resolved, qt.HasLen, len(advertised))
	for _, name := range advertised {
		qt.Assert(t, resolved[name], qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against more nodes than the leaves accept connections from, against few nodes that stay overloaded, and against
// callers that all move when one node comes or goes.
func TestNodesAreLimitedByConnections(t *testing.T) {
	const zones, perZone, connections = 6, 50, 195
	tier := func(overloaded int) (members []registry.Member) {
		for i := range zones * perZone {
			m := member(fmt.Sprintf("n%03d", i), fmt.Sprintf("z%d", i%zones), "r", 0.2)
			m.Overloaded = i < overloaded
			members = append(members, m)
		}
		return members
	}
	c := qt.New(t)
	calm := placement{tier(0), connections}.advertised()
	c.Check(len(calm)*connectionsPerNode <= connections, qt.IsTrue, qt.Commentf("%d nodes", len(calm)))
	c.Check(len(calm) > connections/connectionsPerNode/2, qt.IsTrue, qt.Commentf("%d nodes", len(calm)))
	busy := placement{tier(zones * perZone), connections}.advertised()
	c.Check(len(busy) > 2*len(calm)-zones && len(busy) <= connections, qt.IsTrue, qt.Commentf("%d nodes", len(busy)))
	c.Check(placement{tier(0), 0}.advertised(), qt.HasLen, zones*perZone)
	c.Check(placement{tier(0), 2}.advertised(), qt.HasLen, zones*minNodes)

	without := filter(tier(0), func(m registry.Member) bool { return m.ID != calm[0] })
	changed := placement{without, connections}.advertised()
	c.Check(len(filterNames(changed, calm)) <= 1, qt.IsTrue, qt.Commentf("%v", filterNames(changed, calm)))
}

// filterNames returns the names in list that known lacks.
func filterNames(list, known []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(known, name) })
}
