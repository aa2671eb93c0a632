package main

import (
	"io"

	"cyclamenstream/internal/settings"
)

type settingsCommands struct {
	Check settingsCheck `cmd:"" help:"Check a settings file and show the settings with defaults filled in."`
}

type settingsCheck struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Help implements kong.HelpProvider.
func (settingsCheck) Help() string {
	return `Example:

    cyclamenstream settings check /etc/cyclamenstream/node.toml`
}

// Run checks the file and prints the settings.
func (c settingsCheck) Run(a *app) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	return a.print(s, func(w io.Writer) {
		for _, entry := range s.Entries() {
			row(w, entry.Key, "=", entry.Value)
		}
	})
}
