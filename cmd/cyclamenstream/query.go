package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"unicode/utf8"

	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/httpapi"
)

type queryCommand struct {
	Service       string   `arg:"" help:"Service to ask."`
	Payload       string   `help:"Payload as text." xor:"payload"`
	PayloadFile   string   `help:"File that holds the payload; - reads standard input." xor:"payload" placeholder:"FILE"`
	Profile       string   `help:"One of the service's profiles, instead of its own."`
	Shards        []uint32 `help:"Ask only these shards." placeholder:"N"`
	Caller        string   `help:"Name of the caller; needed with --non-idempotent."`
	ID            string   `help:"Identifier of the request; needed with --non-idempotent. A resend uses the same one."`
	NonIdempotent bool     `help:"The request must run at most once."`
}

// Help implements kong.HelpProvider.
func (queryCommand) Help() string {
	return `The query goes to the first address that a node names for the service. It is sent again only if it did not
run or is idempotent, until --timeout has passed.

Examples:

    cyclamenstream query lookup --payload 'key=17'
    cyclamenstream --timeout 200ms query lookup --shards 0,4 --payload-file key.bin
    cyclamenstream query ledger --non-idempotent --caller billing --id 2026-07-0001 --payload 'add=5'

The exit code is 0 for a complete answer, 7 for a partial one, 8 if the query certainly did not run, and 9 if it may
have run. After 8 it is safe to send again; after 9 only if the query is idempotent.`
}

// Validate checks the flags. Kong calls it after parsing.
func (c queryCommand) Validate() error {
	if c.NonIdempotent && (c.Caller == "" || c.ID == "") {
		return fmt.Errorf("--non-idempotent needs --caller and --id")
	}
	return nil
}

// Run sends the query and prints the answer.
func (c queryCommand) Run(ctx context.Context, a *app) error {
	payload, err := c.payload()
	if err != nil {
		return fail(exitUsage, "--payload-file: %v", err)
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	answer, err := a.client.Query(ctx, httpapi.QueryBody{
		Caller: c.Caller, ID: c.ID, Service: c.Service, Profile: c.Profile, Shards: c.Shards, Payload: payload,
		NonIdempotent: c.NonIdempotent,
	})
	if err != nil {
		return a.queryFailure(err)
	}
	if err := a.print(answer, func(w io.Writer) { printAnswer(w, answer) }); err != nil {
		return err
	}
	if !answer.Coverage.Complete {
		return fail(exitPartial, "partial answer: coverage %.2f%%, %d of %d shards missing", answer.Coverage.Percent,
			len(answer.Coverage.Missing), answer.Coverage.Total)
	}
	return nil
}

func (c queryCommand) payload() ([]byte, error) {
	switch c.PayloadFile {
	case "":
		return []byte(c.Payload), nil
	case "-":
		return io.ReadAll(os.Stdin)
	default:
		return os.ReadFile(c.PayloadFile)
	}
}

// queryReport is the JSON output of a failed query.
type queryReport struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

// queryFailure returns the error of a query with its exit code. With --output json it prints a queryReport first.
func (a *app) queryFailure(err error) error {
	v, code := verdict.Of(err), exitMayHaveRun
	if v.IsNotRun() {
		code = exitNotRun
	}
	if a.Output == "json" {
		report := queryReport{Code: verdict.CodeOf(err), Message: verdict.Message(err), Verdict: v.String()}
		if err := a.print(report, nil); err != nil {
			return err
		}
	}
	return fail(code, "%s: %s (%s)", v, verdict.Message(err), verdict.CodeOf(err))
}

func printAnswer(w io.Writer, answer httpapi.AnswerBody) {
	fmt.Fprintf(w, "request %s on node %s, snapshot %s, coverage %.2f%% of %d shards, %d leaf requests\n", answer.RequestID,
		answer.Node, answer.Snapshot, answer.Coverage.Percent, answer.Coverage.Total, answer.LeafRequests)
	row(w, "SHARD", "COVERED", "DATA")
	for _, r := range answer.Results {
		data := string(r.Data)
		if !utf8.Valid(r.Data) {
			data = fmt.Sprintf("%x", r.Data)
		}
		row(w, r.Shard, r.Covered, data)
	}
	for _, shard := range answer.Coverage.Missing {
		row(w, shard, 0, "(missing)")
	}
}
