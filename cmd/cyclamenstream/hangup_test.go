package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a reload signal that ends a process while the libraries are initialized, which takes most of the time
// before main. The package that ignores the signal must be initialized as soon as signals can be handled.
func TestSIGHUPIsIgnoredEarly(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	c := qt.New(t)
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := command.CombinedOutput()
	c.Assert(err, qt.IsNil)
	var previous string
	for line := range strings.Lines(string(trace)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "init" {
			continue
		}
		if fields[1] == "cyclamenstream/internal/hangup" {
			c.Assert(previous, qt.Equals, "os/signal") // the package that it needs
			return
		}
		previous = fields[1]
	}
	c.Fatalf("the package that ignores SIGHUP is not initialized: %s", trace)
}
