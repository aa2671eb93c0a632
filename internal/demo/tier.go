// Package demo runs a small query tier in one process: a stand-in platform, leaves in three zones and three nodes, over
// TCP on the loopback interface. It shows what a caller sees while a zone is taken out of service and put back.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/fx"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/node"
	"cyclamenstream/internal/settings"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

const (
	service    = "lookup"
	profile    = "gate"
	snapshot   = "index-1"
	shardCount = 3
	anyPort    = "127.0.0.1:0"
	// locateTTL is short so that the demo ends soon. A stopping node continues to serve for that long.
	locateTTL = time.Second
)

var zones = []string{"z1", "z2", "z3"}

// tier holds the servers of the demo.
type tier struct {
	platform *standin.Server
	leaves   []*leaf.Server
	nodes    []*fx.App
	// addresses are the nodes' HTTP addresses.
	addresses []string
}

// startTier starts the platform, and a leaf and a node in each zone. Each shard has replicas on two leaves.
func startTier(ctx context.Context) (*tier, error) {
	t := &tier{}
	p := standin.New()
	server, err := standin.Serve(p, anyPort, anyPort)
	if err != nil {
		return nil, err
	}
	t.platform = server
	for i, zone := range zones {
		if err := t.addLeaf(p, i, zone); err != nil {
			return nil, errors.Join(err, t.stop(ctx))
		}
	}
	for i, zone := range zones {
		if err := t.addNode(ctx, p, i, zone); err != nil {
			return nil, errors.Join(err, t.stop(ctx))
		}
	}
	return t, nil
}

func (t *tier) addLeaf(p *standin.Platform, index int, zone string) error {
	id := fmt.Sprintf("leaf-%d", index+1)
	l := leaf.New(leaf.Config{
		VM: id, Service: service, Slots: 3, ColdSlots: 1, ColdCalls: 10, ColdFactor: 3,
		Connections: 30, ConnectionCost: config.Duration(6 * time.Millisecond),
		Latency: config.Duration(4 * time.Millisecond), Seed: uint64(index),
		StragglerShare: 0.01, StragglerLatency: config.Duration(80 * time.Millisecond),
		Snapshots: []backend.SnapshotInfo{leaf.Snapshot(snapshot, 1, shardCount, leafShards(index)...)},
	})
	server, err := leaf.Serve(l, anyPort, anyPort)
	if err != nil {
		return err
	}
	t.leaves = append(t.leaves, server)
	p.PutVM(platform.VM{ID: id, Zone: zone, Region: "r-" + zone, Kind: platform.KindBackend, State: platform.StateLive,
		Service: service, Address: server.Address})
	return nil
}

// leafShards returns the two shards that a leaf holds, in ascending order.
func leafShards(index int) []uint32 {
	a, b := uint32(index%shardCount), uint32((index+1)%shardCount)
	return []uint32{min(a, b), max(a, b)}
}

func (t *tier) addNode(ctx context.Context, p *standin.Platform, index int, zone string) error {
	s := settings.Defaults()
	s.VM, s.Zone, s.Region, s.Platform = fmt.Sprintf("vm-%d", index+1), zone, "r-"+zone, t.platform.Address
	s.LocateTTL.Duration = locateTTL
	var err error
	if s.PeerListen, err = freeAddress(); err != nil {
		return err
	}
	if s.CallerListen, err = freeAddress(); err != nil {
		return err
	}
	s.PeerAddress, s.CallerAddress = s.PeerListen, s.CallerListen
	p.PutVM(platform.VM{ID: s.VM, Zone: zone, Region: s.Region, Kind: platform.KindNode, State: platform.StateLive,
		Address: s.PeerAddress, CallerAddress: s.CallerAddress})
	app := node.New(s)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("node %s: %w", s.VM, err)
	}
	t.nodes = append(t.nodes, app)
	t.addresses = append(t.addresses, s.CallerAddress)
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// stop stops all nodes gracefully at the same time, then the stand-ins.
func (t *tier) stop(ctx context.Context) error {
	results := make(chan error, len(t.nodes))
	for _, app := range t.nodes {
		go func() { results <- app.Stop(ctx) }()
	}
	for range t.nodes {
		<-results // ignored: the last node reports that it has no member to hand its services over to
	}
	var failures []error
	for _, l := range t.leaves {
		failures = append(failures, l.Close())
	}
	return errors.Join(append(failures, t.platform.Close())...)
}
