package main

import (
	"io"
	"runtime/debug"
)

type versionCommand struct{}

// versionReport is the JSON output of the version command.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Help implements kong.HelpProvider.
func (versionCommand) Help() string { return examples("version", "--output json version") }

// Run prints the version that the Go toolchain has recorded in the binary.
func (versionCommand) Run(a *app) error {
	report := versionReport{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		report = versionReport{Version: info.Main.Version, Go: info.GoVersion}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				report.Revision = s.Value
			}
		}
	}
	return a.print(report, func(w io.Writer) {
		row(w, "VERSION", "REVISION", "GO")
		row(w, report.Version, report.Revision, report.Go)
	})
}
