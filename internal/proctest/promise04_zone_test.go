package proctest_test

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
	standin "cyclamenstream/internal/standin/platform"
)

// Tests guarantee 4: a zone gets no new work from 3 s after an operator took it out. The store goes down after the
// change, a node is paused during it, or a node is partitioned from the store and its peers. New work is a call or a
// connection to the zone's leaf, or the address of the zone's node in an answer to callers.
func TestZoneOut(t *testing.T) {
	const zone, leaf = "z3", "l3"
	tests := []struct {
		name          string
		before, after func(*proctest.Cluster)
	}{
		{"healthy", func(*proctest.Cluster) {}, func(*proctest.Cluster) {}},
		{"the store goes down after the change", func(*proctest.Cluster) {}, func(c *proctest.Cluster) {
			c.Platform.UpdateFaults(func(f *standin.Faults) { f.Down = true })
		}},
		{"a node is paused during the change",
			func(c *proctest.Cluster) { c.Nodes["n1"].Pause() },
			func(c *proctest.Cluster) {
				time.Sleep(drainTimeout)
				c.Nodes["n1"].Resume()
			}},
		{"a node is cut off during the change",
			func(c *proctest.Cluster) {
				c.Network.Partition([]string{"n1"}, []string{"n2", "n3", "n4", "n5", "platform"})
			},
			func(c *proctest.Cluster) {
				time.Sleep(drainTimeout)
				c.Network.Heal()
			}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Without one zone and one more node, a majority of the five nodes is left. It must continue to serve.
			c := startCluster(t, func(s *proctest.Spec) { s.AddNode("n4", 0); s.AddNode("n5", 1) })
			r := c.StartLoad(standardLoad())
			time.Sleep(500 * time.Millisecond)
			test.before(c)
			applyOnOthers(c, config.Change{ID: "out", Op: config.OpZoneOut, Name: zone})
			out := time.Now()
			test.after(c)
			time.Sleep(time.Until(out.Add(drainTimeout)))
			since, accepted := time.Now(), c.Leaves[leaf].State().Connections.Accepted
			returned := 0
			for time.Since(since) < 1500*time.Millisecond {
				for _, n := range c.RunningNodes() {
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					answer, err := proctest.Locate(ctx, n.VM.CallerAddress, proctest.Service)
					cancel()
					if err == nil && slices.Contains(answer.Addresses, c.Nodes["n3"].VM.CallerAddress) {
						returned++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			qt.Check(t, returned, qt.Equals, 0, qt.Commentf("locate answers with the node of zone %s", zone))
			wantNoWork(t, c, leaf, since, accepted)
			s := stopAndVerify(t, c, r)
			qt.Check(t, s.Complete > s.Requests/2, qt.IsTrue)
			for _, a := range r.Attempts() {
				if a.Answer != nil && a.Start.After(since) {
					qt.Check(t, a.Answer.Node, qt.Not(qt.Equals), "n3", qt.Commentf("%s was run by a node of zone %s", a.Query.ID, zone))
				}
			}
		})
	}
}

// applyOnOthers makes an operator's change on the nodes n2 and n4, because n1 may not answer.
func applyOnOthers(c *proctest.Cluster, change config.Change) {
	c.ApplyOn(change, c.Nodes["n2"], c.Nodes["n4"])
}
