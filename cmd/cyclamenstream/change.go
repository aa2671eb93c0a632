package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/internal/callerclient"
)

// statusInterval is how often the nodes' configuration versions are polled. Nodes learn each other's versions from
// heartbeats every 250 ms, so polling more often shows nothing new.
const statusInterval = 250 * time.Millisecond

// waitFlag is the flag of every command that changes the configuration.
type waitFlag struct {
	Wait time.Duration `help:"How long to wait until the change is in force on all nodes; 0 does not wait." default:"10s"`
}

// changeReport is the JSON output of a change.
type changeReport struct {
	ID string `json:"id"`
	operator.ChangeResult
	// InForce and Nodes are omitted if the command did not wait.
	InForce int `json:"in_force,omitempty"`
	Nodes   int `json:"nodes,omitempty"`
}

// apply sends a change under a new identifier, waits until it is in force and prints the outcome.
func (a *app) apply(ctx context.Context, change config.Change, wait waitFlag) error {
	change.ID = rand.Text()
	requestCtx, cancel := a.withTimeout(ctx)
	defer cancel()
	report := changeReport{ID: change.ID, ChangeResult: a.client.Change(requestCtx, change)}
	if report.Outcome == operator.Accepted && wait.Wait > 0 {
		report.InForce, report.Nodes = a.awaitInForce(ctx, report.Version, wait.Wait)
	}
	if err := a.print(report, func(w io.Writer) { printChange(w, report) }); err != nil {
		return err
	}
	switch report.Outcome {
	case operator.Accepted:
		if wait.Wait > 0 && (report.Nodes == 0 || report.InForce < report.Nodes) {
			return fail(exitNotInForce, "accepted, but not in force everywhere within %v", wait.Wait)
		}
		return nil
	case operator.Conflict:
		return fail(exitConflict, "conflict: the change was based on version %d, the item now has version %d; nothing was written",
			report.BaseItemVersion, report.ItemVersion)
	case operator.Rejected:
		return fail(exitUsage, "rejected: %s", report.Message)
	case operator.Unavailable:
		return fail(exitUnavailable, "unavailable, nothing was written: %s", report.Message)
	default:
		return fail(exitUnresolved, "unresolved: change %s may have been written: %s", change.ID, report.Message)
	}
}

func printChange(w io.Writer, r changeReport) {
	switch {
	case r.Outcome != operator.Accepted:
		fmt.Fprintf(w, "%s\n", r.Outcome)
	case r.Nodes == 0:
		fmt.Fprintf(w, "accepted as version %d\n", r.Version)
	default:
		fmt.Fprintf(w, "accepted as version %d, in force on %d of %d nodes\n", r.Version, r.InForce, r.Nodes)
	}
}

// awaitInForce polls until the version is in force on all nodes or wait has passed. It returns the number of nodes on
// which the version is in force and the number of all nodes.
func (a *app) awaitInForce(ctx context.Context, version uint64, wait time.Duration) (inForce, total int) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		if status, err := a.client.Status(ctx); err == nil {
			if inForce, total = callerclient.CountInForce(status, version); inForce == total {
				return inForce, total
			}
		}
		select {
		case <-ctx.Done():
			return inForce, total
		case <-ticker.C:
		}
	}
}

// document reads the configuration within --timeout.
func (a *app) document(ctx context.Context) (config.Document, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	document, err := a.client.Document(ctx)
	if err != nil {
		return document, readFailure(err)
	}
	return document, nil
}
