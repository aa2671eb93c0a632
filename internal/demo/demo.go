package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/callerclient"
	"cyclamenstream/internal/httpapi"
	"cyclamenstream/internal/standin/leaf"
)

const (
	queryInterval = 20 * time.Millisecond
	queryDeadline = 2 * time.Second
	phaseDuration = 4 * time.Second
	// startupTimeout covers the 2.25 s until the slots of the first lease may be used, and the reading of the
	// configuration.
	startupTimeout = 10 * time.Second
	stopTimeout    = 5 * time.Second
	// printEvery is the number of queries for each answer that is printed.
	printEvery = 40
)

// Run runs the demo and writes its events to out. It returns an error if an answer was wrong, a query had no answer
// or no query was sent.
func Run(ctx context.Context, out io.Writer) error {
	start := time.Now()
	t, err := startTier(ctx)
	if err != nil {
		return err
	}
	client := callerclient.New(t.addresses...)
	defer client.Close()
	d := &demo{out: out, client: client, start: start}
	err = d.runScenario(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(err, t.stop(stopCtx), d.summary())
}

// demo is the state of a running demo.
type demo struct {
	out    io.Writer
	client *callerclient.Client
	start  time.Time

	mu                               sync.Mutex
	sent, complete, partial, refused int
	failed, wrong, leafRequests      int
	slowest                          time.Duration
	wrongErrs                        error
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

// runScenario configures the tier and takes a zone out of service and back in while callers send queries.
func (d *demo) runScenario(ctx context.Context) error {
	d.printf("a platform, 3 leaves and 3 nodes run in zones z1, z2 and z3")
	if err := d.configure(ctx); err != nil {
		return err
	}
	first, err := d.awaitFirstAnswer(ctx)
	if err != nil {
		return err
	}
	zone, err := d.zoneOf(ctx, first.Node)
	if err != nil {
		return err
	}
	d.printf("node %s in zone %s owns the service", first.Node, zone)
	d.printf("callers send a query every %v", queryInterval)
	stopQueries := d.sendQueries(ctx)
	defer stopQueries()
	steps := []config.Change{{Op: config.OpZoneOut, Name: zone}, {Op: config.OpZoneIn, Name: zone}}
	for _, step := range steps {
		if err := pause(ctx, phaseDuration); err != nil {
			return err
		}
		if err := d.change(ctx, step); err != nil {
			return err
		}
	}
	return pause(ctx, phaseDuration)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *demo) configure(ctx context.Context) error {
	p := config.Profile{Deadline: config.Duration(queryDeadline), LeafTimeout: config.Duration(500 * time.Millisecond),
		LeastCoverage: 50, HedgeBudget: 0.05, RetryBudget: 0.1, Priority: 5}
	s := config.Service{Profile: profile, Slots: 3, ColdSlots: 1, Connections: 30}
	if err := d.change(ctx, config.Change{Op: config.OpPutProfile, Name: profile, Profile: &p}); err != nil {
		return err
	}
	return d.change(ctx, config.Change{Op: config.OpPutService, Name: service, Service: &s})
}

func (d *demo) change(ctx context.Context, c config.Change) error {
	c.ID = rand.Text()
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	result := d.client.Change(ctx, c)
	for result.Outcome == operator.Unavailable && pause(ctx, queryInterval) == nil {
		result = d.client.Change(ctx, c)
	}
	d.printf("operator: %s %s: %s as version %d", c.Op, c.Name, result.Outcome, result.Version)
	if result.Outcome != operator.Accepted {
		return fmt.Errorf("%s %s: %s: %s", c.Op, c.Name, result.Outcome, result.Message)
	}
	return nil
}

// zoneOf returns the zone of a node.
func (d *demo) zoneOf(ctx context.Context, vm string) (string, error) {
	status, err := d.client.Status(ctx)
	if err != nil {
		return "", err
	}
	for _, n := range status.Nodes {
		if n.VM == vm {
			return n.Zone, nil
		}
	}
	return "", fmt.Errorf("node %q is not a member", vm)
}

func (d *demo) awaitFirstAnswer(ctx context.Context) (httpapi.AnswerBody, error) {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for {
		body := httpapi.QueryBody{Caller: "demo", Service: service, Payload: []byte("first")}
		answer, err := d.client.Query(ctx, body)
		if err == nil {
			return answer, nil
		}
		if pause(ctx, queryInterval) != nil {
			return httpapi.AnswerBody{}, fmt.Errorf("no answer within %v: %w", startupTimeout, err)
		}
	}
}

// sendQueries sends queries at a fixed rate, without waiting for answers, until the returned function is called.
func (d *demo) sendQueries(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var queries sync.WaitGroup
	queries.Go(func() {
		ticker := time.NewTicker(queryInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				queries.Go(func() { d.query(n) })
			}
		}
	})
	return func() {
		cancel()
		queries.Wait()
	}
}

func (d *demo) query(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), queryDeadline)
	defer cancel()
	payload := fmt.Appendf(nil, "query %d", n)
	start := time.Now()
	answer, err := d.client.Query(ctx, httpapi.QueryBody{Caller: "demo", Service: service, Payload: payload})
	took := time.Since(start)
	if err != nil {
		d.record(func() {
			if verdict.Of(err).IsNotRun() {
				d.refused++
			} else {
				d.failed++
			}
		})
		d.printf("query %d after %v: %s: %s", n, took.Round(time.Millisecond), verdict.Of(err), verdict.Message(err))
		return
	}
	checkErr := checkAnswer(answer, payload)
	d.record(func() {
		d.slowest = max(d.slowest, took)
		d.leafRequests += int(answer.LeafRequests)
		switch {
		case checkErr != nil:
			d.wrong++
			d.wrongErrs = errors.Join(d.wrongErrs, fmt.Errorf("query %d: %w", n, checkErr))
		case answer.Coverage.Complete:
			d.complete++
		default:
			d.partial++
		}
	})
	if n%printEvery == 0 {
		d.printf("query %d: coverage %.2f%%, snapshot %s, %v, %s, by %s", n, answer.Coverage.Percent, answer.Snapshot,
			took.Round(time.Millisecond), answer.Verdict, answer.Node)
	}
}

func (d *demo) record(update func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	update()
}

// checkAnswer compares the results of an answer with those that the leaves must return, and its coverage with its
// results.
func checkAnswer(a httpapi.AnswerBody, payload []byte) error {
	if a.Coverage.Total != shardCount {
		return fmt.Errorf("coverage counts %d shards instead of %d", a.Coverage.Total, shardCount)
	}
	if len(a.Results)+len(a.Coverage.Missing) != shardCount {
		return fmt.Errorf("%d results and %d missing shards do not add up to %d shards", len(a.Results), len(a.Coverage.Missing), shardCount)
	}
	seen := map[uint32]bool{}
	for _, r := range a.Results {
		if seen[r.Shard] {
			return fmt.Errorf("shard %d is in the results twice", r.Shard)
		}
		seen[r.Shard] = true
		if !bytes.Equal(r.Data, leaf.Data(service, a.Snapshot, r.Shard, payload)) {
			return fmt.Errorf("wrong result for shard %d", r.Shard)
		}
	}
	if a.Coverage.Complete != (len(a.Results) == shardCount) {
		return fmt.Errorf("coverage has complete=%v with %d of %d shards", a.Coverage.Complete, len(a.Results), shardCount)
	}
	return nil
}

// summary prints the counts. It returns an error unless every query had an answer, and each was complete or partial
// with the right coverage.
func (d *demo) summary() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.printf("%d queries: %d complete, %d partial, %d refused, %d failed, %d wrong; slowest %v; %d leaf requests", d.sent,
		d.complete, d.partial, d.refused, d.failed, d.wrong, d.slowest.Round(time.Millisecond), d.leafRequests)
	switch {
	case d.wrong > 0:
		return fmt.Errorf("%d wrong answers: %w", d.wrong, d.wrongErrs)
	case d.sent == 0:
		return errors.New("no query was sent")
	case d.refused+d.failed > 0:
		return fmt.Errorf("%d queries had no answer", d.refused+d.failed)
	}
	return nil
}
