package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
)

type timelineCommand struct {
	VM      string `help:"Only events about this VM or recorded by it." name:"vm"`
	Zone    string `help:"Only events recorded in this availability zone."`
	Service string `help:"Only events of this service."`
	Request string `help:"Only events of the request with this identifier." placeholder:"ID"`
}

// Help implements kong.HelpProvider.
func (timelineCommand) Help() string {
	return `Merges the events of all nodes, oldest first. Nodes that did not answer are named on standard error.

Examples:

    cyclamenstream timeline --zone z1
    cyclamenstream timeline --service lookup --request 2026-07-0001`
}

// Run prints the events.
func (c timelineCommand) Run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	filter := url.Values{}
	for name, value := range map[string]string{"vm": c.VM, "zone": c.Zone, "service": c.Service, "request": c.Request} {
		if value != "" {
			filter.Set(name, value)
		}
	}
	timeline, err := a.client.Timeline(ctx, filter)
	if err != nil {
		return readFailure(err)
	}
	if len(timeline.Missing) > 0 {
		fmt.Fprintf(a.stderr, "cyclamenstream: without the events of: %s\n", strings.Join(timeline.Missing, ", "))
	}
	return a.print(timeline, func(w io.Writer) {
		row(w, "TIME", "NODE", "ZONE", "KIND", "VM", "SERVICE", "REQUEST", "DETAIL")
		for _, e := range timeline.Events {
			row(w, e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Node, e.Zone, e.Kind, e.VM, e.Service, e.RequestID, e.Detail)
		}
	})
}
