package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"cyclamenstream/internal/entry"
)

type entryCommand struct {
	Settings string `required:"" env:"CYCLAMENSTREAM_CONFIG" help:"TOML settings file of this node."`
}

// Help implements kong.HelpProvider.
func (entryCommand) Help() string {
	return `Runs until SIGTERM or an interrupt, then stops gracefully. deploy/settings.toml is the template of the settings file.

Example:
  cyclamenstream entry --settings /etc/cyclamenstream/settings.toml`
}

// entryMemoryShare is the share of the setting memory_limit above which garbage is collected more often.
const entryMemoryShare = 0.6

// entryGCPercent is the growth of the heap between garbage collections, in percent of the live heap. On small VMs
// memory is scarcer than processor time.
const entryGCPercent = 50

// Run runs an entry node until ctx ends.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := entry.Load(c.Settings)
	if err != nil {
		return &exitError{exitUsage, err.Error()}
	}
	debug.SetMemoryLimit(int64(entryMemoryShare * float64(s.MemoryLimit<<20)))
	debug.SetGCPercent(entryGCPercent)
	application := entry.New(s, c.Settings)
	if err := application.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), application.StartTimeout())
	defer cancel()
	if err := application.Start(startCtx); err != nil {
		return fmt.Errorf("start entry node %s: %w", s.VM, err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), application.StopTimeout())
	defer cancel()
	if err := application.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop entry node %s: %w", s.VM, err)
	}
	return nil
}
