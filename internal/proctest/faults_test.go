package proctest_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/callerclient"
	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

// Guards against a tier that meets its guarantees by refusing requests. The load must be served during and after a
// fault. If the owner is lost, the bound for the time without complete answers is failoverTime. That is the failover
// time of the design (2 s for the lease, then 2.25 s for the leaf timeout and its grace), plus 2 s for elections and
// cold starts.
func TestServiceUnderFaults(t *testing.T) {
	const failoverTime = 6250 * time.Millisecond
	tests := []struct {
		name   string
		begin  func(*proctest.Cluster)
		end    func(*proctest.Cluster)
		outage time.Duration
	}{
		{"the store is down", func(c *proctest.Cluster) {
			c.Platform.UpdateFaults(func(f *standin.Faults) { f.Down = true })
		}, func(c *proctest.Cluster) {
			c.Platform.UpdateFaults(func(f *standin.Faults) { f.Down = false })
		}, time.Second},
		{"the store hangs", func(c *proctest.Cluster) {
			c.Platform.UpdateFaults(func(f *standin.Faults) { f.Hang = true })
		}, func(c *proctest.Cluster) {
			c.Platform.UpdateFaults(func(f *standin.Faults) { f.Hang = false })
		}, time.Second},
		{"the owner's zone is unreachable", func(c *proctest.Cluster) {
			owner := c.AwaitOwner(proctest.Service)
			isolated, rest := []string{}, []string{"platform"}
			for _, vm := range append(c.Spec.Nodes, c.Spec.Leaves[0].VM, c.Spec.Leaves[1].VM, c.Spec.Leaves[2].VM) {
				if vm.Zone == owner.VM.Zone {
					isolated = append(isolated, vm.ID)
				} else {
					rest = append(rest, vm.ID)
				}
			}
			c.Network.Partition(isolated, rest)
		}, func(c *proctest.Cluster) { c.Network.Heal() }, failoverTime},
		{"the owner's VM is lost", func(c *proctest.Cluster) { c.AwaitOwner(proctest.Service).Kill() },
			func(*proctest.Cluster) {}, failoverTime},
		{"a leaf is paused", func(c *proctest.Cluster) { c.Leaves["l1"].Pause() },
			func(c *proctest.Cluster) { c.Leaves["l1"].Resume() }, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, nil)
			r := c.StartLoad(standardLoad())
			time.Sleep(time.Second)
			test.begin(c)
			time.Sleep(7 * time.Second)
			test.end(c)
			time.Sleep(2 * time.Second)
			s := stopAndVerify(t, c, r)
			qt.Check(t, s.Outage <= test.outage, qt.IsTrue, qt.Commentf("no complete answer for %v", s.Outage))
		})
	}
}

// Guards against a request that crashes every leaf that runs it and that its caller resends repeatedly. After the crash
// of the second leaf all nodes must refuse it. Requests that ran concurrently must not be quarantined, and operators
// must be able to list the quarantine and lift it.
func TestRequestThatCrashesLeaves(t *testing.T) {
	const prefix = "crash"
	c := startCluster(t, func(s *proctest.Spec) {
		p := s.Profiles[proctest.Profile]
		p.HedgeBudget = 0 // a hedge would send the request to two leaves at once
		s.Profiles[proctest.Profile] = p
	})
	for _, l := range c.Leaves {
		l.UpdateFaults(func(f *leaf.Faults) { f.CrashPrefix = prefix })
	}
	r := c.StartLoad(standardLoad())
	time.Sleep(2 * time.Second)
	var sent []proctest.Attempt
	for i := range 15 {
		n := c.RunningNodes()[i%len(c.Nodes)]
		q := proctest.Query{Caller: "c", ID: fmt.Sprint("crash-", i), Service: proctest.Service, Shards: []uint32{0}, Payload: []byte(prefix)}
		sent = append(sent, proctest.SendQuery(context.Background(), n.VM.CallerAddress, q, time.Second))
		time.Sleep(300 * time.Millisecond)
	}
	last := sent[len(sent)-1]
	qt.Check(t, last.Code, qt.Equals, string(verdict.CodeQuarantined))
	qt.Check(t, last.Verdict, qt.Equals, proctest.NotRun)
	s := stopAndVerify(t, c, r)
	c.VerifyAttempts(sent)
	crashes := 0
	for _, l := range c.Leaves {
		crashes += l.State().Counters.Crashes
	}
	qt.Check(t, crashes, qt.Equals, 2)
	qt.Check(t, s.Codes[string(verdict.CodeQuarantined)], qt.Equals, 0)

	for _, l := range c.Leaves {
		l.UpdateFaults(func(f *leaf.Faults) { f.CrashPrefix = "" })
	}
	var fingerprint string
	for _, n := range c.RunningNodes() {
		client := callerclient.New(n.VM.CallerAddress)
		entries, err := client.Quarantine(context.Background())
		client.Close()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, entries, qt.HasLen, 1, qt.Commentf("on %s", n.VM.ID))
		fingerprint = entries[0].Fingerprint
	}
	c.AwaitVersion(c.Apply(config.Change{Op: config.OpLiftQuarantine, Name: fingerprint}), configTimeout)
	for _, n := range c.RunningNodes() {
		afterLift := proctest.SendQuery(context.Background(), n.VM.CallerAddress, last.Query, time.Second)
		qt.Check(t, afterLift.Complete(), qt.IsTrue, qt.Commentf("after the lift on %s: %s %s", n.VM.ID, afterLift.Code, afterLift.Message))
	}
}

// Guards against a tail latency that is set by stragglers, and against hedges and retries that exceed their budget. 2%
// of the calls are slow, so 8% of the queries would be. The profile's hedge budget of 5% of the calls covers them all.
func TestStragglers(t *testing.T) {
	const straggler = 400 * time.Millisecond
	c := startCluster(t, func(s *proctest.Spec) {
		for i := range s.Leaves {
			s.Leaves[i].Config.StragglerShare, s.Leaves[i].Config.StragglerLatency = 0.02, config.Duration(straggler)
		}
	})
	warmup := c.StartLoad(standardLoad())
	time.Sleep(2 * time.Second)
	warmup.Stop()
	executionsBefore := c.Executions()
	r := c.StartLoad(standardLoad())
	time.Sleep(6 * time.Second)
	s := stopAndVerify(t, c, r, warmup)
	calls := 0
	for vm, log := range c.Executions() {
		calls += len(log) - len(executionsBefore[vm])
	}
	p, needed := proctest.StandardProfile(), float64(s.Requests*proctest.FirstShards)
	qt.Check(t, float64(calls) <= needed*(1+p.HedgeBudget+p.RetryBudget), qt.IsTrue, qt.Commentf("%d calls, %v needed", calls, needed))
	qt.Check(t, s.P95 < straggler/2, qt.IsTrue, qt.Commentf("95th percentile %v", s.P95))
	wantAllComplete(t, s)
}
