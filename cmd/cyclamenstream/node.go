package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"k8s.io/klog/v2"

	"cyclamenstream/internal/node"
	"cyclamenstream/internal/settings"
)

type nodeCommand struct {
	Settings string `required:"" help:"TOML settings file of this node."`
}

// Help implements kong.HelpProvider.
func (nodeCommand) Help() string {
	return `Runs until SIGTERM or an interrupt, then stops gracefully.

Example:
  cyclamenstream node --settings /etc/cyclamenstream/node.toml

Example of a settings file:
  vm = "vm-17"
  zone = "z1"
  region = "r1"
  peer_listen = "10.0.0.7:7070"
  caller_listen = "10.0.0.7:7080"
  platform = "10.0.0.2:7000"

See "cyclamenstream settings check --help" for how to check it without starting.`
}

// Run runs a node until ctx ends.
func (c *nodeCommand) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return &exitError{exitUsage, err.Error()}
	}
	if err := setVerbosity(s.LogVerbosity); err != nil {
		return err
	}
	defer klog.Flush()
	application := node.New(s)
	if err := application.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), application.StartTimeout())
	defer cancel()
	if err := application.Start(startCtx); err != nil {
		return fmt.Errorf("start node %s: %w", s.VM, err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), application.StopTimeout())
	defer cancel()
	if err := application.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop node %s: %w", s.VM, err)
	}
	return nil
}

func setVerbosity(level int) error {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return flags.Set("v", strconv.Itoa(level))
}
