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

// Observations is what callers and leaves saw.
type Observations struct {
	Attempts []Attempt
	// Executions are the leaves' logs, keyed by VM.
	Executions map[string][]leaf.Execution
	// Leaves are the natures of the leaves, keyed by VM.
	Leaves map[string]leaf.Config
	// ShardCounts holds the number of shards of each snapshot of each service.
	ShardCounts map[snapshotKey]uint32
}

// settle is how long the leaves must have been idle before their logs are complete: sends that are late by more than
// this are not expected on loopback.
const settle = 300 * time.Millisecond

// Verify checks the invariants on everything that the loads' callers and all leaves saw, and fails the test for each
// violation. Loads must have been stopped, and links must pass again.
func (c *Cluster) Verify(runs ...*LoadRun) {
	c.t.Helper()
	var attempts []Attempt
	for _, r := range runs {
		attempts = append(attempts, r.Attempts()...)
	}
	c.VerifyAttempts(attempts)
}

// VerifyAttempts is Verify for attempts made with Ask.
func (c *Cluster) VerifyAttempts(attempts []Attempt) {
	c.t.Helper()
	c.awaitIdle()
	e := Observations{Attempts: attempts, Executions: c.Executions(), Leaves: map[string]leaf.Config{}, ShardCounts: c.snapshots}
	for vm, l := range c.Leaves {
		e.Leaves[vm] = l.Config
	}
	const maxReported = 20
	violations := e.Violations()
	for _, v := range violations[:min(len(violations), maxReported)] {
		c.t.Error(v)
	}
	if len(violations) > maxReported {
		c.t.Errorf("and %d more violations", len(violations)-maxReported)
	}
}

// awaitIdle waits until no leaf has begun or runs a call for a while.
func (c *Cluster) awaitIdle() {
	c.t.Helper()
	last, since := -1, time.Now()
	c.Await(startLimit, "the leaves are idle", func() bool {
		begun, running := 0, 0
		for vm, log := range c.Executions() {
			begun += len(log)
			boot := ""
			if c.Leaves[vm].Running() {
				boot = c.Leaves[vm].State().BootID
			}
			for _, e := range log {
				if e.Outcome == leaf.Running && e.BootID == boot { // a killed leaf logs no ends
					running++
				}
			}
		}
		if begun != last || running > 0 {
			last, since = begun, time.Now()
		}
		return time.Since(since) > settle
	})
}

// Executions returns the logs of all leaves, keyed by VM, in order of the starts. They outlast killed processes.
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

// mergeLog joins the lines of the starts and the ends of executions. A last line torn by a kill is dropped.
func mergeLog(content []byte) []leaf.Execution {
	type key struct{ boot, id string }
	var log []leaf.Execution
	open := map[key]int{}
	for line := range bytes.Lines(content) {
		var e leaf.Execution
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		k := key{e.BootID, e.ID}
		if i, ok := open[k]; ok && e.Outcome != leaf.Running {
			log[i] = e
			delete(open, k)
			continue
		}
		open[k] = len(log)
		log = append(log, e)
	}
	return log
}

// payloadKey identifies the executions of an attempt: payloads are unique for each attempt.
type payloadKey struct{ service, payload string }

// Violations returns every violated invariant.
func (e Observations) Violations() []string {
	byPayload := map[payloadKey][]leaf.Execution{}
	for _, log := range e.Executions {
		for _, x := range log {
			k := payloadKey{x.Service, string(x.Payload)}
			byPayload[k] = append(byPayload[k], x)
		}
	}
	found := e.checkNotRun(byPayload)
	for _, a := range e.Attempts {
		ran := byPayload[payloadKey{a.Query.Service, string(a.Query.Payload)}]
		if a.Answer != nil {
			found = append(found, e.checkAnswer(a, ran)...)
		}
	}
	found = append(found, e.checkOnce(byPayload)...)
	return append(found, e.checkBounds()...)
}

// checkNotRun checks that no leaf ran an attempt that was answered "not run". Attempts with the same payload are told
// apart by time: another one must have begun before the execution and must not have been answered so.
func (e Observations) checkNotRun(byPayload map[payloadKey][]leaf.Execution) []string {
	others := map[payloadKey][]time.Time{}
	for _, a := range e.Attempts {
		if k := (payloadKey{a.Query.Service, string(a.Query.Payload)}); a.Verdict != NotRun {
			others[k] = append(others[k], a.Start)
		}
	}
	var found []string
	for _, a := range e.Attempts {
		k := payloadKey{a.Query.Service, string(a.Query.Payload)}
		for _, x := range byPayload[k] {
			explained := slices.ContainsFunc(others[k], func(start time.Time) bool { return !start.After(x.Start) })
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

// checkAnswer checks one answer against its query and what the leaves ran for it.
func (e Observations) checkAnswer(a Attempt, ran []leaf.Execution) []string {
	var found []string
	wrong := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("answer to %s: ", a.Query.ID)+fmt.Sprintf(format, args...))
	}
	answer := a.Answer
	if answer.RequestID != a.Query.ID || answer.Service != a.Query.Service {
		wrong("it is for request %q of service %q", answer.RequestID, answer.Service)
	}
	// verdict.Merge: an answer is completed if every part is; parts that are missing may have run.
	if answer.Verdict == NotRun || (a.Complete() && answer.Verdict != Completed) {
		wrong("its verdict is %q", answer.Verdict)
	}
	for _, r := range answer.Results {
		switch {
		case !bytes.Equal(r.Data, leaf.Data(a.Query.Service, answer.Snapshot, r.Shard, a.Query.Payload)):
			wrong("shard %d at snapshot %s has the data %q", r.Shard, answer.Snapshot, r.Data)
		case !slices.ContainsFunc(ran, func(x leaf.Execution) bool {
			return x.Outcome == leaf.Done && x.Shard == r.Shard && x.Snapshot == answer.Snapshot && x.Covered == r.Covered
		}):
			wrong("no leaf covered %v of shard %d at snapshot %s", r.Covered, r.Shard, answer.Snapshot)
		}
	}
	for _, text := range e.checkCoverage(a.Query, answer) {
		wrong("%s", text)
	}
	return found
}

const (
	// roundingError bounds the difference of sums of the same shares in different orders.
	roundingError = 1e-9
	// percentStep is the precision of the reported percentage, which is rounded down.
	percentStep = 0.01
)

// checkCoverage compares the reported coverage with the results.
func (e Observations) checkCoverage(q Query, answer *Answer) []string {
	count, known := e.ShardCounts[snapshotKey{q.Service, answer.Snapshot}]
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
			found = append(found, fmt.Sprintf("shard %d is unasked, repeated or out of order", r.Shard))
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

// checkOnce checks that no call identifier ran twice and that non-idempotent requests ran at most once on each shard.
func (e Observations) checkOnce(byPayload map[payloadKey][]leaf.Execution) []string {
	var found []string
	calls := map[string]string{}
	for vm, log := range e.Executions {
		for _, x := range log {
			if other, ok := calls[x.ID]; ok {
				found = append(found, fmt.Sprintf("call %s ran on %s and on %s", x.ID, other, vm))
			}
			calls[x.ID] = vm
		}
	}
	type once struct {
		caller, id string
		shard      uint32
	}
	ran := map[once]leaf.Execution{}
	seen := map[payloadKey]bool{}
	for _, a := range e.Attempts {
		k := payloadKey{a.Query.Service, string(a.Query.Payload)}
		if !a.Query.NonIdempotent || seen[k] {
			continue
		}
		seen[k] = true
		for _, x := range byPayload[k] {
			key := once{a.Query.Caller, a.Query.ID, x.Shard}
			if first, ok := ran[key]; ok {
				found = append(found, fmt.Sprintf("non-idempotent request %s ran twice: %s; %s", a.Query.ID, describe(first), describe(x)))
			}
			ran[key] = x
		}
	}
	return found
}

// checkBounds checks that no leaf had more concurrent calls than it bears.
func (e Observations) checkBounds() []string {
	var found []string
	for vm, log := range e.Executions {
		for _, x := range log {
			bound, state := e.Leaves[vm].Slots, "warm"
			if x.Cold {
				bound, state = e.Leaves[vm].ColdSlots, "cold"
			}
			if x.Concurrent > bound {
				found = append(found, fmt.Sprintf("leaf %s, %s, had %d calls at once and bears %d: %s", vm, state, x.Concurrent, bound, describe(x)))
			}
		}
	}
	slices.Sort(found)
	return found
}
