// Package inventorytest checks that an implementation of platform.Inventory satisfies the interface's contract, also
// under faults.
package inventorytest

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	standin "cyclamenstream/internal/standin/platform"
)

// Fixture is an inventory under test and the stand-in platform behind it.
type Fixture struct {
	Inventory platform.Inventory
	Platform  *standin.Platform
}

const (
	callTimeout = 400 * time.Millisecond
	lag         = 200 * time.Millisecond
)

var (
	node = platform.VM{ID: "n1", Zone: "z1", Region: "r1", Kind: platform.KindNode, State: platform.StateLive,
		Address: "10.0.0.1:1", CallerAddress: "10.0.0.1:2"}
	leaf = platform.VM{ID: "l1", Zone: "z2", Region: "r2", Kind: platform.KindBackend, State: platform.StateLive,
		Service: "s", Address: "10.0.0.2:1"}
)

type check struct {
	*qt.C
	Fixture
}

// Run tests the contract. newFixture returns an inventory of an empty platform for each case.
func Run(t *testing.T, newFixture func(t *testing.T) Fixture) {
	cases := []struct {
		name string
		run  func(check)
	}{
		{"an empty list", func(c check) { c.wantFleet(0) }},
		{"changes are listed with growing revisions", changes},
		{"a returned list is not shared", notShared},
		{"the list lags", lags},
		{"a call fails in time while the platform is down or hangs", faults},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.run(check{qt.New(t), newFixture(t)})
		})
	}
}

func (c check) list() (platform.Fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.Inventory.List(ctx)
}

func (c check) wantFleet(revision uint64, vms ...platform.VM) {
	c.Helper()
	fleet, err := c.list()
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.Revision, qt.Equals, revision)
	c.Assert(fleet.VMs, qt.HasLen, len(vms))
	for i, vm := range vms {
		c.Assert(fleet.VMs[i], qt.Equals, vm)
	}
}

func changes(c check) {
	c.Platform.PutVM(node)
	c.wantFleet(1, node)
	c.Platform.PutVM(leaf)
	c.wantFleet(2, leaf, node)
	leaving := leaf
	leaving.State = platform.StateLeaving
	c.Assert(c.Platform.SetState(leaf.ID, platform.StateLeaving), qt.IsTrue)
	c.wantFleet(3, leaving, node)
	c.Platform.RemoveVM(leaf.ID)
	c.wantFleet(4, node)
}

func notShared(c check) {
	c.Platform.PutVM(node)
	fleet, err := c.list()
	c.Assert(err, qt.IsNil)
	fleet.VMs[0].ID = "changed"
	c.wantFleet(1, node)
}

func lags(c check) {
	c.Platform.PutVM(node)
	c.wantFleet(1, node)
	c.Platform.Update(func(f *standin.Faults) { f.ListLag = config.Duration(lag) })
	c.Platform.PutVM(leaf)
	c.wantFleet(1, node)
	time.Sleep(lag)
	c.wantFleet(2, leaf, node)
}

func faults(c check) {
	c.Platform.PutVM(node)
	for _, fault := range []standin.Faults{{Hang: true}, {Down: true}, {LoseAfter: 1}, {LoseBefore: 1}} {
		c.Platform.Update(func(f *standin.Faults) { *f = fault })
		start := time.Now()
		fleet, err := c.list()
		c.Assert(err, qt.IsNotNil, qt.Commentf("%+v", fault))
		c.Assert(fleet.VMs, qt.HasLen, 0)
		c.Assert(time.Since(start) < 2*callTimeout, qt.IsTrue)
		c.Platform.Update(func(f *standin.Faults) { *f = standin.Faults{} })
		for time.Since(start) < 10*callTimeout && err != nil {
			_, err = c.list()
		}
		c.Assert(err, qt.IsNil, qt.Commentf("after %+v", fault))
	}
}
