// Command bench runs the policies of an experiment one after the other and prints their results.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"cyclamenstream/internal/bench"
)

type command struct {
	Experiment string   `arg:"" type:"existingfile" help:"Description of the experiment in TOML."`
	Policy     []string `help:"Policies to run, instead of those of the description."`
	Seed       *uint64  `help:"Seed, instead of that of the description."`
	JSON       string   `placeholder:"FILE" help:"File for the results as JSON."`
	Seconds    bool     `help:"Print the figures of each second too."`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("bench"), kong.UsageOnError(),
		kong.Description("Compares ways to share the leaves of services, in real time and in one process."))
	k.FatalIfErrorf(c.Run())
}

// Run runs the experiment.
func (c *command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	e, err := bench.Load(c.Experiment)
	if err != nil {
		return err
	}
	if len(c.Policy) > 0 {
		e.Policies = c.Policy
	}
	if c.Seed != nil {
		e.Seed = *c.Seed
	}
	var results []bench.Result
	for _, name := range e.Policies {
		result, err := e.Run(ctx, name)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if err := c.writeJSON(results); err != nil {
		return err
	}
	fmt.Printf("experiment %s, seed %d\n\n", e.Name, e.Seed)
	return bench.WriteTable(os.Stdout, results, c.Seconds)
}

func (c *command) writeJSON(results []bench.Result) error {
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), 0o644)
}
