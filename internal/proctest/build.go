// Package proctest is a test harness that runs real processes. It starts the platform, leaves and nodes on loopback,
// injects faults into them and into their connections, and sends queries as callers do. It then checks what callers and
// leaves observed. Only tests use it.
package proctest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
)

// Tier is the name of the program under test.
const Tier = "cyclamenstream"

// Programs that tests start.
const (
	nodeProgram    = Tier
	standinProgram = "standin"
)

// programs maps each program to a function that builds it on the first call and returns its path.
var programs = map[string]func() (string, error){
	nodeProgram:    sync.OnceValues(func() (string, error) { return build(nodeProgram) }),
	standinProgram: sync.OnceValues(func() (string, error) { return build(standinProgram) }),
}

// binaryDir is the directory of the built programs. It is empty until the first build.
var (
	binaryDir string
	binaryMu  sync.Mutex
)

func build(program string) (string, error) {
	binaryMu.Lock()
	defer binaryMu.Unlock()
	if binaryDir == "" {
		dir, err := os.MkdirTemp("", "proctest-")
		if err != nil {
			return "", err
		}
		binaryDir = dir
	}
	path := filepath.Join(binaryDir, program)
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, "cyclamenstream/cmd/"+program).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building %s: %w: %s", program, err, output)
	}
	return path, nil
}

// Cleanup removes the built programs. TestMain calls it after the tests.
func Cleanup() {
	if binaryDir != "" {
		_ = os.RemoveAll(binaryDir)
	}
}

// Listening ports are below the range that Linux uses for outgoing connections (32768 and above), so that no connection
// takes a port after it was chosen and before it is used. Test binaries that run at the same time start their search at
// different ports.
const (
	firstPort = 10_000
	portCount = 22_000
	portStep  = 211
)

var portCounter atomic.Int64

// FreePort returns a loopback address (host:port) on which nothing listens.
func FreePort() (string, error) {
	for range portCount {
		n := portCounter.Add(1) + int64(os.Getpid())*portStep
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		if tryPort(address) == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}

// tryPort checks that the address is free by listening on it briefly. The fork lock keeps other goroutines from
// starting a process meanwhile. Between fork and exec that process would hold the socket, and the port would still be
// in use after the return.
func tryPort(address string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}
