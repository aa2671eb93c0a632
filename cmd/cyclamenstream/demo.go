package main

import (
	"context"
	"flag"
	"io"

	"k8s.io/klog/v2"

	"cyclamenstream/internal/demo"
)

type demoCommand struct {
	Verbose bool `short:"v" help:"Show the nodes' logs too."`
}

// Help implements kong.HelpProvider.
func (demoCommand) Help() string {
	return `Starts a stand-in platform, leaves of a small service in three zones and three nodes in this process, sends
queries, takes a zone out and brings it back. Ends by itself within 30 s. The exit code is 0 only if every query was
answered, completely or with its true coverage.

Example:
  cyclamenstream demo --verbose`
}

// Run runs the demo.
func (c *demoCommand) Run(ctx context.Context, a *app) error {
	if !c.Verbose {
		klog.SetOutput(io.Discard)
		var flags flag.FlagSet
		klog.InitFlags(&flags)
		if err := flags.Set("logtostderr", "false"); err != nil {
			return err
		}
	}
	return demo.Run(ctx, a.stdout)
}
