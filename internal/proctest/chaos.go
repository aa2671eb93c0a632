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

// chaos is a series of random faults.
type chaos struct {
	*Cluster
	random *rand.Rand
	// nodeFault is set while a fault makes a node useless: a second one at the same time would leave no majority.
	nodeFault bool
	count     int
}

// fault starts a fault and returns how to end it.
type fault struct {
	name  string
	begin func(*chaos) (end func())
}

func nothing() {}

var faults = []fault{
	{"node killed", func(c *chaos) func() { return c.onNode((*Node).Kill, (*Node).Restart) }},
	{"node paused", func(c *chaos) func() {
		return c.onNode(func(n *Node) { n.Pause() }, func(n *Node) { n.Resume() })
	}},
	{"node cut off", func(c *chaos) func() {
		return c.onNode(func(n *Node) {
			c.Network.Partition([]string{n.VM.ID}, append(slices.Collect(maps.Keys(c.Nodes)), c.Platform.Name))
		}, func(*Node) { c.Network.Heal() })
	}},
	{"leaf restarted", func(c *chaos) func() { c.leaf().Restart(); return nothing }},
	{"leaf crashed", func(c *chaos) func() { c.leaf().Crash(); return nothing }},
	{"connections to a leaf cut", func(c *chaos) func() { return c.onLink(Rule{Cut: true}) }},
	{"connections to a leaf end early", func(c *chaos) func() { return c.onLink(Rule{CloseAfter: 2000}) }},
	{"answers of a leaf held", func(c *chaos) func() { return c.onLink(Rule{HoldBack: true}) }},
	{"leaf refuses", func(c *chaos) func() { return c.onLeaf(func(f *leaf.Faults) { f.Refuse = true }) }},
	{"leaf answers late", func(c *chaos) func() {
		return c.onLeaf(func(f *leaf.Faults) { f.AnswerDelay = config.Duration(700 * time.Millisecond) })
	}},
	{"leaf exchanges answers", func(c *chaos) func() { return c.onLeaf(func(f *leaf.Faults) { f.Swap = 6 }) }},
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
		return nothing
	}},
}

// maxOpen bounds the faults at once.
const maxOpen = 3

// Chaos causes random faults, up to three at once, until the time is over, and ends them all. The seed fixes which
// faults come in which order and for how long.
func (c *Cluster) Chaos(seed uint64, length time.Duration) {
	c.t.Helper()
	x := &chaos{Cluster: c, random: rand.New(rand.NewPCG(seed, 2))}
	var open []func()
	for begin := time.Now(); time.Since(begin) < length; {
		f := faults[x.random.IntN(len(faults))]
		c.t.Logf("seed %d, after %v: %s", seed, time.Since(begin).Round(time.Millisecond), f.name)
		open = append(open, f.begin(x))
		time.Sleep(time.Duration(100+x.random.IntN(700)) * time.Millisecond)
		if len(open) == maxOpen {
			open[0]()
			open = open[1:]
		}
	}
	for _, end := range open {
		end()
	}
	c.Network.Heal()
	for _, zone := range Zones {
		c.Apply(config.Change{Op: config.OpZoneIn, Name: zone})
	}
}

// onNode causes a fault on a node unless another one has a fault.
func (c *chaos) onNode(begin, end func(*Node)) func() {
	names := slices.Sorted(maps.Keys(c.Nodes))
	n := c.Nodes[names[c.random.IntN(len(names))]]
	if c.nodeFault {
		return nothing
	}
	c.nodeFault = true
	begin(n)
	return func() {
		end(n)
		c.nodeFault = false
	}
}

func (c *chaos) leaf() *Leaf {
	names := slices.Sorted(maps.Keys(c.Leaves))
	return c.Leaves[names[c.random.IntN(len(names))]]
}

func (c *chaos) onLeaf(change func(*leaf.Faults)) func() {
	l := c.leaf()
	l.UpdateFaults(change)
	return func() { l.UpdateFaults(func(f *leaf.Faults) { *f = leaf.Faults{} }) }
}

func (c *chaos) onLink(r Rule) func() {
	l := c.leaf()
	c.Network.Set(Any, l.VM.ID, r)
	return func() { c.Network.Set(Any, l.VM.ID, Rule{}) }
}

func (c *chaos) onStore(change func(*standin.Faults)) func() {
	c.Platform.UpdateFaults(change)
	return func() { c.Platform.UpdateFaults(func(f *standin.Faults) { *f = standin.Faults{} }) }
}

// change has an operator try a change once; under faults it may fail.
func (c *chaos) change(op config.Op, name string) {
	c.count++
	running := c.RunningNodes()
	_, _ = running[c.random.IntN(len(running))].Change(config.Change{ID: fmt.Sprintf("chaos-%d", c.count), Op: op, Name: name})
}
