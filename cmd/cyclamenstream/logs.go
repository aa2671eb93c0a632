package main

import (
	"fmt"
	"io"
	"os"

	"cyclamenstream/api/event"
	"cyclamenstream/internal/timeline"
)

type logsCommand struct {
	VM      string   `help:"Only lines about this leaf or VM, or written by it." name:"vm"`
	Zone    string   `help:"Only lines written in this availability zone."`
	Service string   `help:"Only lines of this service."`
	Request string   `help:"Only lines of the request with this identifier." placeholder:"ID"`
	Files   []string `arg:"" optional:"" help:"Logs of entry nodes; - or none reads standard input." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (logsCommand) Help() string {
	return `Merges the structured logs of entry nodes in the order of their clocks. It needs no running node.

Examples:

    cyclamenstream logs --request c77784f62f46ec8d n1.log n2.log
    cat *.log | cyclamenstream logs --vm i-940815c8bf`
}

// Run merges the logs and prints the selected lines.
func (c logsCommand) Run(a *app) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lists [][]event.Event
	for _, name := range files {
		events, skipped, err := readLogFile(name)
		if err != nil {
			return &exitError{exitUsage, fmt.Sprintf("log %s: %v", name, err)}
		}
		if skipped > 0 {
			fmt.Fprintf(a.stderr, "cyclamenstream: %s: skipped %d lines that are not structured log entries\n", name, skipped)
		}
		lists = append(lists, events)
	}
	filter := timeline.Filter{VM: c.VM, Zone: c.Zone, Service: c.Service, RequestID: c.Request}
	events := filter.Apply(timeline.Merge(lists...))
	return a.print(events, func(w io.Writer) {
		row(w, "TIME", "NODE", "KIND", "VM", "SERVICE", "REQUEST", "DETAIL")
		for _, e := range events {
			row(w, e.Stamp.Time().UTC().Format("15:04:05.000"), e.Node, e.Kind, e.VM, e.Service, e.RequestID, e.Detail)
		}
	})
}

func readLogFile(name string) ([]event.Event, int, error) {
	if name == "-" {
		return timeline.ReadLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	return timeline.ReadLog(f)
}
