package proctest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

// chaos injects a series of random faults.
type chaos struct {
	*Cluster
	random *rand.Rand
	// nodeFaultActive is set while a fault makes a node unusable. A second such fault at the same time would leave no
	// majority.
	nodeFaultActive bool
	count           int
}

// fault is a kind of fault. begin starts it and returns the function that ends it.
type fault struct {
	name  string
	begin func(*chaos) (end func())
}

func noop() {}

var faults = []fault{
	{"node killed", func(c *chaos) func() { return c.onNode((*Node).Kill, (*Node).Restart) }},
	{"node paused", func(c *chaos) func() {
		return c.onNode(func(n *Node) { n.Pause() }, func(n *Node) { n.Resume() })
	}},
	{"node partitioned", func(c *chaos) func() {
		return c.onNode(func(n *Node) {
			c.Network.Partition([]string{n.VM.ID}, append(slices.Collect(maps.Keys(c.Nodes)), c.Platform.Name))
		}, func(*Node) { c.Network.Heal() })
	}},
	{"leaf restarted", func(c *chaos) func() { c.randomLeaf().Restart(); return noop }},
	{"leaf crashed", func(c *chaos) func() { c.randomLeaf().Crash(); return noop }},
	{"connections to a leaf cut", func(c *chaos) func() { return c.onLeafConnections(Rule{Cut: true}) }},
	{"connections to a leaf end early", func(c *chaos) func() { return c.onLeafConnections(Rule{CloseAfter: 2000}) }},
	{"answers of a leaf held back", func(c *chaos) func() { return c.onLeafConnections(Rule{HoldBack: true}) }},
	{"leaf refuses", func(c *chaos) func() { return c.onLeaf(func(f *leaf.Faults) { f.Refuse = true }) }},
	{"leaf answers late", func(c *chaos) func() {
		return c.onLeaf(func(f *leaf.Faults) { f.AnswerDelay = config.Duration(700 * time.Millisecond) })
	}},
	{"leaf swaps answers", func(c *chaos) func() { return c.onLeaf(func(f *leaf.Faults) { f.Swap = 6 }) }},
	{"leaf answers partly", func(c *chaos) func() {
		return c.onLeaf(func(f *leaf.Faults) { f.Partial = map[uint32]float64{0: 0.5} })
	}},
	{"store down", func(c *chaos) func() { return c.onStore(func(f *standin.Faults) { f.Down = true }) }},
	{"store hangs", func(c *chaos) func() { return c.onStore(func(f *standin.Faults) { f.Hang, f.LateWrites = true, true }) }},
	{"store loses answers", func(c *chaos) func() { return c.onStore(func(f *standin.Faults) { f.LoseAfter = 5 }) }},
	{"store conflicts", func(c *chaos) func() { return c.onStore(func(f *standin.Faults) { f.Conflicts = 5 }) }},
	{"store reads stale", func(c *chaos) func() {
		return c.onStore(func(f *standin.Faults) { f.StaleBy = config.Duration(time.Second) })
	}},
	{"zone out and in", func(c *chaos) func() {
		zone := Zones[c.random.IntN(len(Zones))]
		c.change(config.OpZoneOut, zone)
		return func() { c.change(config.OpZoneIn, zone) }
	}},
	{"snapshot switched", func(c *chaos) func() {
		c.count++
		next := AllShards(fmt.Sprintf("chaos-%d", c.count), uint64(c.count+1), FirstShards+uint32(c.random.IntN(3)))
		for _, vm := range slices.Sorted(maps.Keys(c.Leaves)) {
			c.Leaves[vm].SetSnapshots(next)
		}
		return noop
	}},
}

// maxActiveFaults bounds the number of concurrent faults.
const maxActiveFaults = 3

// Chaos injects random faults for the given duration, up to maxActiveFaults at a time, and then ends them all. The seed
// determines the faults, their order and how long each lasts.
func (c *Cluster) Chaos(seed uint64, duration time.Duration) {
	c.t.Helper()
	run := &chaos{Cluster: c, random: rand.New(rand.NewPCG(seed, 2))}
	var active []func()
	for start := time.Now(); time.Since(start) < duration; {
		f := faults[run.random.IntN(len(faults))]
		c.t.Logf("seed %d, after %v: %s", seed, time.Since(start).Round(time.Millisecond), f.name)
		active = append(active, f.begin(run))
		time.Sleep(time.Duration(100+run.random.IntN(700)) * time.Millisecond)
		if len(active) == maxActiveFaults {
			active[0]()
			active = active[1:]
		}
	}
	for _, end := range active {
		end()
	}
	c.Network.Heal()
	for _, zone := range Zones {
		c.Apply(config.Change{Op: config.OpZoneIn, Name: zone})
	}
}

// onNode causes a fault on a random node unless a node already has one.
func (c *chaos) onNode(begin, end func(*Node)) func() {
	vms := slices.Sorted(maps.Keys(c.Nodes))
	n := c.Nodes[vms[c.random.IntN(len(vms))]]
	if c.nodeFaultActive {
		return noop
	}
	c.nodeFaultActive = true
	begin(n)
	return func() {
		end(n)
		c.nodeFaultActive = false
	}
}

func (c *chaos) randomLeaf() *Leaf {
	vms := slices.Sorted(maps.Keys(c.Leaves))
	return c.Leaves[vms[c.random.IntN(len(vms))]]
}

func (c *chaos) onLeaf(change func(*leaf.Faults)) func() {
	l := c.randomLeaf()
	l.UpdateFaults(change)
	return func() { l.UpdateFaults(func(f *leaf.Faults) { *f = leaf.Faults{} }) }
}

func (c *chaos) onLeafConnections(r Rule) func() {
	l := c.randomLeaf()
	c.Network.Set(Any, l.VM.ID, r)
	return func() { c.Network.Set(Any, l.VM.ID, Rule{}) }
}

func (c *chaos) onStore(change func(*standin.Faults)) func() {
	c.Platform.UpdateFaults(change)
	return func() { c.Platform.UpdateFaults(func(f *standin.Faults) { *f = standin.Faults{} }) }
}

// change sends an operator's change once. Under faults it may fail.
func (c *chaos) change(op config.Op, name string) {
	c.count++
	running := c.RunningNodes()
	_, _ = running[c.random.IntN(len(running))].Change(config.Change{ID: fmt.Sprintf("chaos-%d", c.count), Op: op, Name: name})
}
