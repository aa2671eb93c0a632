package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

type statusCommand struct{}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string {
	return `Shows the tier as one node sees it. To see it as another node does, name that one with --node.

Examples:

    cyclamenstream status
    cyclamenstream --node 10.0.0.7:7080 --output json status`
}

// Run prints the status.
func (statusCommand) Run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	status, err := a.client.Status(ctx)
	if err != nil {
		return readFailure(err)
	}
	return a.print(status, func(w io.Writer) {
		fmt.Fprintf(w, "seen by node %s in zone %s: fresh %t, store up %t, configuration %d, list of VMs %d\n", status.Node,
			status.Zone, status.Fresh, status.StoreUp, status.ConfigVersion, status.FleetRevision)
		row(w, "VM", "ZONE", "ALIVE", "STOPPING", "FRESH", "CONFIGURATION", "LIST OF VMS", "HEARD", "OWNS")
		for _, n := range status.Nodes {
			heard := "never"
			if !n.HeardAt.IsZero() {
				heard = n.HeardAt.UTC().Format(time.RFC3339)
			}
			row(w, n.VM, n.Zone, n.Alive, n.Stopping, n.Fresh, n.ConfigVersion, n.FleetRevision, heard, strings.Join(n.Owned, ","))
		}
	})
}
