// Package proctest is a harness for tests with real processes: it starts the platform, leaves and nodes on loopback,
// injects faults into them and into their connections, loads them as callers do, and checks what callers and leaves
// saw. It is used by tests only.
package proctest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
)

const (
	nodePackage    = "cyclamenstream/cmd/cyclamenstream"
	standinPackage = "cyclamenstream/cmd/standin"
)

var (
	binaryDir  string
	buildOnce  sync.Once
	buildError error
)

// binary returns the path of a program; the first call builds all programs.
func binary(name string) (string, error) {
	buildOnce.Do(func() { buildError = build() })
	return filepath.Join(binaryDir, name), buildError
}

func build() (err error) {
	if binaryDir, err = os.MkdirTemp("", "proctest-"); err != nil {
		return err
	}
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", binaryDir+"/", nodePackage, standinPackage).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build of the programs: %w: %s", err, output)
	}
	return nil
}

// Cleanup removes the built programs. A test binary calls it at its end.
func Cleanup() {
	if binaryDir != "" {
		_ = os.RemoveAll(binaryDir)
	}
}

// Listening ports are taken from below the range that Linux gives to outgoing connections (32768 and above), so that no
// connection takes a port between its choice and its use. Test binaries that run at the same time start apart.
const (
	firstPort = 10_000
	portCount = 22_000
	portStep  = 211
)

var portCounter atomic.Int64

// freePort returns host:port on loopback on which nothing listens.
func freePort() (string, error) {
	for range portCount {
		n := portCounter.Add(1) + int64(os.Getpid())*portStep
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}
