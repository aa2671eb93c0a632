package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the binary that the deploy file builds, seen from the root of the repository.
const program = "target/cyclamenstream"

// grace is the time from SIGTERM to SIGKILL, and drainWithin and configWithin are bounds, as the sheets state them.
const (
	grace        = 6 * time.Second
	drainWithin  = 3 * time.Second
	configWithin = 3 * time.Second
	contact      = 4 * time.Second
)

// Node is an entry node: a process of the system on a machine of its own.
type Node struct {
	Name, Zone, Front, Directory, Ready string

	rec      *Recorder
	settings string
	output   *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	started time.Time
	// stopping is set once the harness has ended the process.
	stopping bool
	// OwnEnds is the number of times that the process has ended by itself.
	ownEnds int
}

// regions are the regions of the zones.
var regions = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

// NewNode writes the settings of a node, with the keys of deploy/settings.toml, and starts it.
func NewNode(rec *Recorder, dir, name, zone, store string, cores float64) (*Node, error) {
	n := &Node{Name: name, Zone: zone, rec: rec, settings: filepath.Join(dir, name+".toml")}
	var addresses [5]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.Front, n.Ready, n.Directory = addresses[0], addresses[1], addresses[2]
	text := fmt.Sprintf(`vm = %q
zone = %q
region = %q
caller_listen = %q
ready_listen = %q
directory_listen = %q
peer_listen = %q
metrics_listen = %q
registry = %q
shutdown_grace = "6s"
resolve_ttl_max = "5s"
config_within = "3000ms"
drain_within = "3000ms"
retry_share = 0.2
retry_slack = 56
cold_share = 1.5
cold_slack = 5
processor_share = %v
processor_speed = 1
memory_limit = 284

[zones]
"z1" = "r1"
"z2" = "r2"
"z3" = "r3"
`, name, zone, regions[zone], addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store, cores)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.output, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return n, nil
}

// Ports of the nodes are below the range from which the kernel takes those of outgoing connections.
const firstPort, lastPort = 12000, 31000

var errNoPort = errors.New("no free port")

// taken holds the addresses that nodes have got. One goroutine uses it.
var taken = map[string]bool{}

// freeAddress returns an address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if taken[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp", address)
		listener.Close()
		if err != nil {
			continue
		}
		conn.Close()
		taken[address] = true
		return address, nil
	}
	return "", errNoPort
}

// Start starts the process. If the process ends by itself it is started again after a short delay.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command(program, "entry")
	n.command.Env = []string{"CYCLAMENSTREAM_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	n.command.Stdout, n.command.Stderr = n.output, n.output
	n.exited, n.started, n.stopping = make(chan struct{}), time.Now(), false
	if err := n.command.Start(); err != nil {
		return err
	}
	n.rec.Printf("node %s has started, process %d", n.Name, n.command.Process.Pid)
	command, exited := n.command, n.exited
	go func() {
		err := command.Wait()
		close(exited)
		n.mu.Lock()
		own := !n.stopping
		if own {
			n.ownEnds++
		}
		n.mu.Unlock()
		n.rec.Printf("node %s has ended (%v), by itself: %v", n.Name, err, own)
		if own {
			time.Sleep(time.Second)
			if err := n.Start(); err != nil {
				n.rec.Printf("node %s could not be started: %v", n.Name, err)
			}
		}
	}()
	return nil
}

// OwnEnds returns how often the process has ended by itself.
func (n *Node) OwnEnds() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownEnds
}

// Started returns when the process was started.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// end sends the signal, and SIGKILL after the grace.
func (n *Node) end(signal os.Signal) {
	n.mu.Lock()
	n.stopping = true
	command, exited := n.command, n.exited
	n.mu.Unlock()
	if command == nil {
		return
	}
	n.rec.Printf("node %s gets signal %v", n.Name, signal)
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = command.Process.Kill()
		<-exited
	}
}

// Kill ends the process with SIGKILL.
func (n *Node) Kill() { n.end(syscall.SIGKILL) }

// Restart stops the process with SIGTERM and starts it again.
func (n *Node) Restart() error {
	n.end(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	return n.Start()
}

// IsReady reports whether the platform's check of the node succeeds.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
