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

// Help tells how the command ends.
func (entryCommand) Help() string {
	return `Runs until SIGTERM or an interrupt, then stops gracefully. deploy/settings.toml is the template of the settings file.

Example:
  cyclamenstream entry --settings /etc/cyclamenstream/settings.toml`
}

// entryMemoryShare is the part of the VM's memory above which garbage is collected more often.
const entryMemoryShare = 0.6

// entryGCPercent is how much the heap grows between collections, in percent of what is live. Memory is dearer than processor time
// on small VMs.
const entryGCPercent = 50

// Run runs an entry node until the process is told to stop.
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
	start, cancel := context.WithTimeout(context.Background(), application.StartTimeout())
	defer cancel()
	if err := application.Start(start); err != nil {
		return fmt.Errorf("start entry node %s: %w", s.VM, err)
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), application.StopTimeout())
	defer cancel()
	if err := application.Stop(stop); err != nil {
		return fmt.Errorf("stop entry node %s: %w", s.VM, err)
	}
	return nil
}
