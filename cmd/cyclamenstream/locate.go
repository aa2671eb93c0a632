package main

import (
	"context"
	"io"
	"time"
)

type locateCommand struct {
	Service string `arg:"" help:"Service to locate."`
}

// Help implements kong.HelpProvider.
func (locateCommand) Help() string {
	return `The node that owns the service comes first. A caller may keep the addresses for the time to live.

Example:

    cyclamenstream locate lookup`
}

// Run prints the addresses.
func (c locateCommand) Run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	answer, err := a.client.LocateUncached(ctx, c.Service)
	if err != nil {
		return readFailure(err)
	}
	return a.print(answer, func(w io.Writer) {
		row(w, "ADDRESS", "TTL")
		for _, address := range answer.Addresses {
			row(w, address, time.Duration(answer.TTLMillis)*time.Millisecond)
		}
	})
}
