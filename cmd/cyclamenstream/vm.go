package main

import (
	"context"

	"cyclamenstream/api/config"
)

type vmCommands struct {
	Out vmOut `cmd:"" help:"Give no new work to a VM; running requests finish."`
	In  vmIn  `cmd:"" help:"Give work to a VM again."`
}

type vmOut struct {
	VM string `arg:"" help:"Identifier of the VM in the platform's list, of a node or a backend server."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (vmOut) Help() string { return examples("vm out entry-7", "vm out leaf-12 --wait 30s") }

// Run takes the VM out of service.
func (c vmOut) Run(ctx context.Context, a *app) error {
	return a.apply(ctx, config.Change{Op: config.OpVMOut, Name: c.VM}, c.waitFlag)
}

type vmIn struct {
	VM string `arg:"" help:"Identifier of the VM in the platform's list."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (vmIn) Help() string { return examples("vm in entry-7") }

// Run puts the VM back into service.
func (c vmIn) Run(ctx context.Context, a *app) error {
	return a.apply(ctx, config.Change{Op: config.OpVMIn, Name: c.VM}, c.waitFlag)
}
