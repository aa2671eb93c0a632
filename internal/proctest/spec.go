package proctest

import (
	"fmt"
	"slices"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/standin/leaf"
)

// Names in the standard specification.
const (
	// Service is a small service as in the requirements, with 3 leaves that have 3 slots and 30 connections each.
	Service = "lookup"
	// Profile is the profile of Service.
	Profile = "standard"
	// FirstSnapshot is the snapshot that the leaves hold at the start. It has FirstShards shards, and every leaf holds
	// all of them.
	FirstSnapshot = "snap-1"
	FirstShards   = 4
)

// Zones are the availability zones of the standard specification. Each is in its own region.
var Zones = []string{"z1", "z2", "z3"}

// ThreeZones returns the standard specification. It has one service, and a node and a leaf in each of three zones.
func ThreeZones() Spec {
	s := Spec{
		LocateTTL: time.Second, // the minimum that nodes accept
		Profiles:  map[string]config.Profile{Profile: StandardProfile()},
		Services: map[string]config.Service{
			Service: {Profile: Profile, Slots: 3, ColdSlots: 1, Connections: 30}},
	}
	for i, zone := range Zones {
		s.AddNode(fmt.Sprintf("n%d", i+1), i)
		s.Leaves = append(s.Leaves, LeafSpec{
			VM: platform.VM{ID: fmt.Sprintf("l%d", i+1), Zone: zone, Region: region(i), Kind: platform.KindBackend,
				State: platform.StateLive, Service: Service},
			Config: StandardLeaf(uint64(i)),
		})
	}
	return s
}

// AddNode adds a node in the zone with the given index.
func (s *Spec) AddNode(id string, zone int) {
	s.Nodes = append(s.Nodes, platform.VM{ID: id, Zone: Zones[zone], Region: region(zone), Kind: platform.KindNode, State: platform.StateLive})
}

func region(zone int) string { return fmt.Sprintf("r%d", zone+1) }

// StandardProfile returns the profile of the standard specification.
func StandardProfile() config.Profile {
	return config.Profile{Deadline: config.Duration(3 * time.Second), LeafTimeout: config.Duration(500 * time.Millisecond),
		HedgeBudget: 0.05, RetryBudget: 0.1, Priority: 5}
}

// StandardLeaf returns the configuration of a leaf of the standard specification. A new connection takes 6 ms, as it
// does in small services, and cold calls take three times as long as warm ones.
func StandardLeaf(seed uint64) leaf.Config {
	return leaf.Config{Slots: 3, ColdSlots: 1, ColdCalls: 8, ColdTime: config.Duration(300 * time.Millisecond),
		Connections: 30, ConnectionCost: config.Duration(6 * time.Millisecond), Latency: config.Duration(2 * time.Millisecond),
		ColdFactor: 3, Seed: seed, RestartAfter: config.Duration(200 * time.Millisecond),
		Snapshots: []backend.SnapshotInfo{AllShards(FirstSnapshot, 1, FirstShards)}}
}

// AllShards describes a snapshot for a leaf that holds all its shards.
func AllShards(id string, sequence uint64, count uint32) backend.SnapshotInfo {
	s := leaf.Snapshot(id, sequence, count)
	for shard := range count {
		s.Shards = append(s.Shards, shard)
	}
	return s
}

// NodesInZone returns the running nodes in a zone.
func (c *Cluster) NodesInZone(zone string) []*Node {
	return slices.DeleteFunc(c.RunningNodes(), func(n *Node) bool { return n.VM.Zone != zone })
}

// ExecutionsAfter returns the executions that started on a leaf at or after the given time.
func (c *Cluster) ExecutionsAfter(vm string, t time.Time) []leaf.Execution {
	return slices.DeleteFunc(c.Executions()[vm], func(x leaf.Execution) bool { return x.Start.Before(t) })
}
