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
	// owner makes one node admit all queries of a service. Otherwise every node admits the queries that reach it.
	owner bool
	// hedge keeps the hedge budgets of the profiles. Otherwise there are no hedges.
	hedge bool
	// randomReplica chooses replicas at random, without regard to load.
	randomReplica bool
	// splitSlots divides the slots of each leaf among the nodes, so that a node has at most one slot on a leaf.
	splitSlots bool
}

// The baselines have no hedging. Under "node-limiter" each node limits its calls to a leaf by the ramp of package
// slots. This limit moves between one call and the leaf's slots, depending on the latencies that the node sees.
var policies = []policy{
	{name: "owner", owner: true, hedge: true},
	{name: "owner-no-hedge", owner: true},
	{name: "random-replica", owner: true, randomReplica: true},
	{name: "static-shares", splitSlots: true},
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

// hasSlot reports whether a node has a slot on a leaf. node and leaf are indexes among all nodes and among the leaves
// of the service.
func (p policy) hasSlot(node, nodes, leaf, slots int) bool {
	return !p.splitSlots || ((node-leaf*slots)%nodes+nodes)%nodes < slots
}

// randomPool is a leaf.Pool that asks for a slot on one replica chosen at random.
type randomPool struct{ leaf.Pool }

// Acquire implements leaf.Pool.
func (p randomPool) Acquire(ctx context.Context, request leaf.SlotRequest) (leaf.Slot, error) {
	for _, s := range p.Snapshots(request.Service) {
		if s.ID != request.Snapshot || len(s.Replicas[request.Shard]) == 0 {
			continue
		}
		replicas := s.Replicas[request.Shard]
		chosen := replicas[rand.IntN(len(replicas))]
		exclude := append([]string(nil), request.Exclude...)
		for _, r := range replicas {
			if r != chosen {
				exclude = append(exclude, r.VM)
			}
		}
		request.Exclude = exclude
		break
	}
	return p.Pool.Acquire(ctx, request)
}
