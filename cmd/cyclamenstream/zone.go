package main

import (
	"context"

	"cyclamenstream/api/config"
)

type zoneCommands struct {
	Out zoneOut `cmd:"" help:"Give no new work to an availability zone; running requests finish."`
	In  zoneIn  `cmd:"" help:"Give work to an availability zone again."`
}

type zoneOut struct {
	Zone string `arg:"" help:"Availability zone."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (zoneOut) Help() string {
	return `New work is first sends, retries, hedges, forwards, new connections and the addresses given to callers.

Example:

    cyclamenstream zone out z1 && echo "z1 gets no new work"`
}

// Run takes the zone out of service.
func (c zoneOut) Run(ctx context.Context, a *app) error {
	return a.apply(ctx, config.Change{Op: config.OpZoneOut, Name: c.Zone}, c.waitFlag)
}

type zoneIn struct {
	Zone string `arg:"" help:"Availability zone."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (zoneIn) Help() string { return examples("zone in z1", "zone in z1 --wait 0") }

// Run puts the zone back into service.
func (c zoneIn) Run(ctx context.Context, a *app) error {
	return a.apply(ctx, config.Change{Op: config.OpZoneIn, Name: c.Zone}, c.waitFlag)
}
