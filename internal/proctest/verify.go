package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"cyclamenstream/internal/standin/leaf"
)

// Observations holds what callers and leaves observed.
type Observations struct {
	Attempts []Attempt
	// Executions holds the leaves' logs, keyed by VM identifier.
	Executions map[string][]leaf.Execution
	// Leaves holds the configurations of the leaves, keyed by VM identifier.
	Leaves map[string]leaf.Config
	// ShardCounts holds the number of shards of each snapshot of each service.
	ShardCounts map[snapshotKey]uint32
}

// minIdleTime is how long the leaves must be idle before their logs are taken as complete. On loopback no send is
// expected to arrive later than that.
const minIdleTime = 300 * time.Millisecond

// Verify checks the invariants on everything that the loads' callers and all leaves observed, and reports each
// violation as a test error. The loads must have been stopped, and no rule may hold back bytes or cut connections.
func (c *Cluster) Verify(runs ...*LoadRun) {
	c.t.Helper()
	var attempts []Attempt
	for _, r := range runs {
		attempts = append(attempts, r.Attempts()...)
	}
	c.VerifyAttempts(attempts)
}

// VerifyAttempts is like Verify for attempts made with SendQuery.
func (c *Cluster) VerifyAttempts(attempts []Attempt) {
	c.t.Helper()
	c.awaitIdle()
	o := Observations{Attempts: attempts, Executions: c.Executions(), Leaves: map[string]leaf.Config{}, ShardCounts: c.shardCounts}
	for vm, l := range c.Leaves {
		o.Leaves[vm] = l.Config
	}
	const maxReported = 20
	violations := o.Violations()
	for _, v := range violations[:min(len(violations), maxReported)] {
		c.t.Error(v)
	}
	if len(violations) > maxReported {
		c.t.Errorf("%d more violations not shown", len(violations)-maxReported)
	}
}

// awaitIdle waits until no leaf has started or run a call for minIdleTime.
func (c *Cluster) awaitIdle() {
	c.t.Helper()
	lastStarted, since := -1, time.Now()
	c.Await(startTimeout, "the leaves are idle", func() bool {
		started, running := 0, 0
		for vm, log := range c.Executions() {
			started += len(log)
			boot := ""
			if c.Leaves[vm].Running() {
				boot = c.Leaves[vm].State().BootID
			}
			for _, e := range log {
				if e.Outcome == leaf.Running && e.BootID == boot { // a killed leaf does not log the end of its calls
					running++
				}
			}
		}
		if started != lastStarted || running > 0 {
			lastStarted, since = started, time.Now()
		}
		return time.Since(since) > minIdleTime
	})
}

// Executions returns the logs of all leaves, keyed by VM identifier and ordered by the starts of the calls. They
// include the calls of killed processes.
func (c *Cluster) Executions() map[string][]leaf.Execution {
	c.t.Helper()
	logs := map[string][]leaf.Execution{}
	for vm, l := range c.Leaves {
		content, err := os.ReadFile(l.logFile)
		if err != nil && !os.IsNotExist(err) {
			c.t.Fatal(err)
		}
		logs[vm] = mergeLog(content)
	}
	return logs
}

// mergeLog merges the log lines for the start and the end of each execution. It skips lines that it can't decode, such
// as a last line that a kill left incomplete.
func mergeLog(content []byte) []leaf.Execution {
	type key struct{ boot, id string }
	var log []leaf.Execution
	running := map[key]int{}
	for line := range bytes.Lines(content) {
		var e leaf.Execution
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		k := key{e.BootID, e.ID}
		if i, ok := running[k]; ok && e.Outcome != leaf.Running {
			log[i] = e
			delete(running, k)
			continue
		}
		running[k] = len(log)
		log = append(log, e)
	}
	return log
}

// payloadKey identifies the executions of an attempt. Each attempt of a load has its own payload.
type payloadKey struct{ service, payload string }

// Violations returns every violated invariant.
func (o Observations) Violations() []string {
	byPayload := map[payloadKey][]leaf.Execution{}
	for _, log := range o.Executions {
		for _, x := range log {
			k := payloadKey{x.Service, string(x.Payload)}
			byPayload[k] = append(byPayload[k], x)
		}
	}
	found := o.checkNotRun(byPayload)
	for _, a := range o.Attempts {
		executions := byPayload[payloadKey{a.Query.Service, string(a.Query.Payload)}]
		if a.Answer != nil {
			found = append(found, o.checkAnswer(a, executions)...)
		}
	}
	found = append(found, o.checkOnce(byPayload)...)
	return append(found, o.checkConcurrency()...)
}

// checkNotRun checks that no leaf ran an attempt that was answered "not run". Attempts with the same payload are
// distinguished by time. An execution is allowed if another attempt started before it and was not answered "not run".
func (o Observations) checkNotRun(byPayload map[payloadKey][]leaf.Execution) []string {
	otherStarts := map[payloadKey][]time.Time{}
	for _, a := range o.Attempts {
		if k := (payloadKey{a.Query.Service, string(a.Query.Payload)}); a.Verdict != NotRun {
			otherStarts[k] = append(otherStarts[k], a.Start)
		}
	}
	var found []string
	for _, a := range o.Attempts {
		k := payloadKey{a.Query.Service, string(a.Query.Payload)}
		for _, x := range byPayload[k] {
			explained := slices.ContainsFunc(otherStarts[k], func(start time.Time) bool { return !start.After(x.Start) })
			if a.Verdict == NotRun && !explained {
				found = append(found, fmt.Sprintf("request %s was answered %q (%s, %s) at %v, but ran: %s", a.Query.ID, a.Verdict,
					a.Code, a.Message, a.End.Format(time.StampMicro), describe(x)))
				break
			}
		}
	}
	return found
}

func describe(x leaf.Execution) string {
	return fmt.Sprintf("call %s, snapshot %s, shard %d, from %v, %s", x.ID, x.Snapshot, x.Shard, x.Start.Format(time.StampMicro), x.Outcome)
}

// checkAnswer checks an answer against its query and the executions for it.
func (o Observations) checkAnswer(a Attempt, executions []leaf.Execution) []string {
	var found []string
	reportf := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("answer to %s: ", a.Query.ID)+fmt.Sprintf(format, args...))
	}
	answer := a.Answer
	if answer.RequestID != a.Query.ID || answer.Service != a.Query.Service {
		reportf("it is for request %q of service %q", answer.RequestID, answer.Service)
	}
	// As in verdict.Merge, an answer is completed if all its parts are. Missing parts may have run.
	if answer.Verdict == NotRun || (a.Complete() && answer.Verdict != Completed) {
		reportf("its verdict is %q", answer.Verdict)
	}
	for _, r := range answer.Results {
		switch {
		case !bytes.Equal(r.Data, leaf.Data(a.Query.Service, answer.Snapshot, r.Shard, a.Query.Payload)):
			reportf("shard %d at snapshot %s has the data %q", r.Shard, answer.Snapshot, r.Data)
		case !slices.ContainsFunc(executions, func(x leaf.Execution) bool {
			return x.Outcome == leaf.Done && x.Shard == r.Shard && x.Snapshot == answer.Snapshot && x.Covered == r.Covered
		}):
			reportf("no leaf covered %v of shard %d at snapshot %s", r.Covered, r.Shard, answer.Snapshot)
		}
	}
	for _, text := range o.checkCoverage(a.Query, answer) {
		reportf("%s", text)
	}
	return found
}

const (
	// roundingError bounds the difference between sums of the same shares in different orders.
	roundingError = 1e-9
	// percentStep is the precision of the reported percentage, which is rounded down.
	percentStep = 0.01
)

// checkCoverage compares the reported coverage with the results.
func (o Observations) checkCoverage(q Query, answer *Answer) []string {
	count, known := o.ShardCounts[snapshotKey{q.Service, answer.Snapshot}]
	if !known {
		return []string{fmt.Sprintf("snapshot %q does not exist", answer.Snapshot)}
	}
	want := map[uint32]bool{}
	for shard := range count {
		want[shard] = len(q.Shards) == 0 || slices.Contains(q.Shards, shard)
	}
	total, sum, previous := uint32(0), 0.0, -1
	for _, wanted := range want {
		if wanted {
			total++
		}
	}
	var found []string
	for _, r := range answer.Results {
		if !want[r.Shard] || int(r.Shard) <= previous {
			found = append(found, fmt.Sprintf("shard %d is not requested, repeated or out of order", r.Shard))
		}
		want[r.Shard] = false
		previous = int(r.Shard)
		sum += r.Covered
	}
	var missing []uint32
	for shard := range count {
		if want[shard] {
			missing = append(missing, shard)
		}
	}
	c := answer.Coverage
	if c.Total != total || math.Abs(c.Covered-sum) > roundingError || !slices.Equal(c.Missing, missing) {
		found = append(found, fmt.Sprintf("coverage says %v of %d, missing %v; the results cover %v of %d, missing %v",
			c.Covered, c.Total, c.Missing, sum, total, missing))
	}
	if total == 0 {
		return append(found, "it covers no shard")
	}
	exact := sum / float64(total) * 100
	complete := len(missing) == 0 && sum >= float64(total)
	if c.Complete != nil && *c.Complete != complete {
		found = append(found, fmt.Sprintf("coverage says complete: %v, the results cover %v%%", *c.Complete, exact))
	}
	if c.Percent > exact+roundingError || c.Percent < exact-percentStep-roundingError || (c.Percent == 100) != complete {
		found = append(found, fmt.Sprintf("coverage says %v%%, the results cover %v%%", c.Percent, exact))
	}
	return found
}

// checkOnce checks that no two executions have the same call identifier and that non-idempotent requests ran at most
// once on each shard.
func (o Observations) checkOnce(byPayload map[payloadKey][]leaf.Execution) []string {
	var found []string
	calls := map[string]string{}
	for vm, log := range o.Executions {
		for _, x := range log {
			if other, ok := calls[x.ID]; ok {
				found = append(found, fmt.Sprintf("call %s ran on %s and on %s", x.ID, other, vm))
			}
			calls[x.ID] = vm
		}
	}
	type runKey struct {
		caller, id string
		shard      uint32
	}
	ran := map[runKey]leaf.Execution{}
	seen := map[payloadKey]bool{}
	for _, a := range o.Attempts {
		k := payloadKey{a.Query.Service, string(a.Query.Payload)}
		if !a.Query.NonIdempotent || seen[k] {
			continue
		}
		seen[k] = true
		for _, x := range byPayload[k] {
			key := runKey{a.Query.Caller, a.Query.ID, x.Shard}
			if first, ok := ran[key]; ok {
				found = append(found, fmt.Sprintf("non-idempotent request %s ran twice: %s; %s", a.Query.ID, describe(first), describe(x)))
			}
			ran[key] = x
		}
	}
	return found
}

// checkConcurrency checks that no leaf had more concurrent calls than it has slots.
func (o Observations) checkConcurrency() []string {
	var found []string
	for vm, log := range o.Executions {
		for _, x := range log {
			limit, state := o.Leaves[vm].Slots, "warm"
			if x.Cold {
				limit, state = o.Leaves[vm].ColdSlots, "cold"
			}
			if x.Concurrent > limit {
				found = append(found, fmt.Sprintf("leaf %s, %s, had %d calls at once with %d slots: %s", vm, state, x.Concurrent, limit, describe(x)))
			}
		}
	}
	slices.Sort(found)
	return found
}
