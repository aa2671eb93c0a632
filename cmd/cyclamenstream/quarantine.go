package main

import (
	"context"
	"io"
	"time"

	"cyclamenstream/api/config"
)

type quarantineCommands struct {
	List quarantineList `cmd:"" help:"List the requests that are refused because they crashed backend servers."`
	Lift quarantineLift `cmd:"" help:"Allow a refused request again."`
}

type quarantineList struct{}

// Help implements kong.HelpProvider.
func (quarantineList) Help() string { return examples("quarantine list") }

// Run prints the quarantined requests.
func (quarantineList) Run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	list, err := a.client.Quarantine(ctx)
	if err != nil {
		return readFailure(err)
	}
	return a.print(list, func(w io.Writer) {
		row(w, "FINGERPRINT", "SERVICE", "CRASHES", "UNTIL")
		for _, e := range list {
			row(w, e.Fingerprint, e.Service, e.Crashes, e.Until.UTC().Format(time.RFC3339))
		}
	})
}

type quarantineLift struct {
	Fingerprint string `arg:"" help:"Fingerprint from \"quarantine list\"."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (quarantineLift) Help() string { return examples("quarantine lift 9f86d081884c7d65") }

// Run lifts the quarantine of the request.
func (c quarantineLift) Run(ctx context.Context, a *app) error {
	return a.apply(ctx, config.Change{Op: config.OpLiftQuarantine, Name: c.Fingerprint}, c.waitFlag)
}
