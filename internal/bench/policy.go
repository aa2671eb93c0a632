package bench

import (
	"context"
	"fmt"
	"math/rand/v2"

	"cyclamenstream/api/leaf"
)

// policy is a way to share the leaves of a service among the nodes.
type policy struct {
	name string
	// owner says that one node admits all queries of a service. Otherwise every node admits those that reach it.
	owner bool
	// hedge leaves the profiles' hedge budgets as they are; otherwise there are no hedges.
	hedge bool
	// random chooses the replica without regard to load.
	random bool
	// split deals out the slots of each leaf to the nodes, one to each, so that a node has at most one on a leaf.
	split bool
}

// The baselines have no hedging. The limit of a node under "node-limiter" is the ramp of package slots, which moves
// between one call and the leaf's slots with the latencies that the node sees.
var policies = []policy{
	{name: "owner", owner: true, hedge: true},
	{name: "owner-no-hedge", owner: true},
	{name: "random-replica", owner: true, random: true},
	{name: "static-shares", split: true},
	{name: "node-limiter"},
}

func findPolicy(name string) (policy, error) {
	var names []string
	for _, p := range policies {
		if p.name == name {
			return p, nil
		}
		names = append(names, p.name)
	}
	return policy{}, fmt.Errorf("no policy %q; there are %q", name, names)
}

// hasSlot reports whether a node has a slot on a leaf of a service, of which it is the given one in order.
func (p policy) hasSlot(node, nodes, leaf, slots int) bool {
	return !p.split || ((node-leaf*slots)%nodes+nodes)%nodes < slots
}

// randomPool asks for a slot on one replica chosen at random.
type randomPool struct{ leaf.Pool }

// Acquire implements leaf.Pool.
func (p randomPool) Acquire(ctx context.Context, need leaf.SlotRequest) (leaf.Slot, error) {
	for _, s := range p.Snapshots(need.Service) {
		if s.ID != need.Snapshot || len(s.Replicas[need.Shard]) == 0 {
			continue
		}
		replicas := s.Replicas[need.Shard]
		chosen := replicas[rand.IntN(len(replicas))]
		exclude := append([]string(nil), need.Exclude...)
		for _, r := range replicas {
			if r != chosen {
				exclude = append(exclude, r.VM)
			}
		}
		need.Exclude = exclude
		break
	}
	return p.Pool.Acquire(ctx, need)
}
