package proctest

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/standin/control"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

// startTimeout bounds the start of a process on a busy machine.
const startTimeout = 15 * time.Second

// controlTimeout bounds a call to a control port.
const controlTimeout = 5 * time.Second

// controlPort is the control port of a stand-in. Its methods fail the test if a call fails.
type controlPort struct {
	t      testing.TB
	client control.Client
}

func (c *controlPort) send(path string, body any) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if err := c.client.Send(ctx, path, body); err != nil {
		c.t.Errorf("control port: %v", err)
	}
}

func (c *controlPort) read(path string, value any) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if err := c.client.Read(ctx, path, value); err != nil {
		c.t.Errorf("control port: %v", err)
	}
}

// standinAddresses is the JSON line that a stand-in prints when it is ready.
type standinAddresses struct {
	Address string `json:"address"`
	Control string `json:"control"`
}

func startStandin(t testing.TB, name string, args ...string) (*Process, standinAddresses) {
	t.Helper()
	p := StartProcess(t, name, standinProgram, args...)
	line, err := p.readFirstLine(startTimeout)
	if err != nil {
		t.Fatal(err)
	}
	var a standinAddresses
	if err := json.Unmarshal([]byte(line), &a); err != nil {
		t.Fatalf("%s printed %q: %v", name, line, err)
	}
	return p, a
}

// Platform is a running stand-in platform.
type Platform struct {
	*Process
	controlPort
	// Address is the address of the proxy in front of the platform.
	Address string
}

func startPlatform(t testing.TB, n *Network) *Platform {
	t.Helper()
	p, a := startStandin(t, "platform", "platform")
	return &Platform{Process: p, controlPort: controlPort{t: t, client: control.Client{Address: a.Control}}, Address: n.Proxy(p.Name, a.Address)}
}

// UpdateFaults changes the platform's faults.
func (p *Platform) UpdateFaults(change func(*standin.Faults)) {
	var f standin.Faults
	p.read("/faults", &f)
	change(&f)
	p.send("/faults", f)
}

// Counters returns the platform's counters.
func (p *Platform) Counters() standin.Counters {
	var c standin.Counters
	p.read("/counters", &c)
	return c
}

// PutVM adds a VM to the list or replaces it.
func (p *Platform) PutVM(vm platform.VM) { p.send("/vms", vm) }

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(id string) { p.send("/vms/remove", standin.VMID{ID: id}) }

// SetState marks a VM as live or leaving.
func (p *Platform) SetState(id string, state platform.State) {
	p.send("/vms/state", standin.VMState{ID: id, State: state})
}

// Rollback resets a key to its value and version from the given number of writes ago.
func (p *Platform) Rollback(key string, steps int) {
	p.send("/rollback", standin.RollbackRequest{Key: key, Steps: steps})
}

// Leaf is a stand-in leaf in its own process.
type Leaf struct {
	*Process
	controlPort
	VM     platform.VM
	Config leaf.Config

	cluster       *Cluster
	listenAddress string // the address behind the proxy
	logFile       string
}

// start starts the leaf's process. It may be called again after Kill.
func (l *Leaf) start() {
	t := l.cluster.t
	t.Helper()
	text, err := json.Marshal(l.Config)
	if err != nil {
		t.Fatal(err)
	}
	p, a := startStandin(t, l.VM.ID, "leaf", "--listen", l.listenAddress, "--config", string(text), "--log", l.logFile)
	l.Process, l.controlPort = p, controlPort{t: t, client: control.Client{Address: a.Control}}
	l.cluster.Network.Register(p)
}

// Restart kills the leaf and starts it again on the same address. It is then cold and has a new boot identifier.
func (l *Leaf) Restart() {
	l.cluster.t.Helper()
	l.Kill()
	l.start()
}

// UpdateFaults changes the leaf's faults.
func (l *Leaf) UpdateFaults(change func(*leaf.Faults)) {
	var f leaf.Faults
	l.read("/faults", &f)
	change(&f)
	l.send("/faults", f)
}

// State returns the leaf's counters and whether it is cold.
func (l *Leaf) State() leaf.State {
	var s leaf.State
	l.read("/state", &s)
	return s
}

// Crash makes the leaf crash and restart cold.
func (l *Leaf) Crash() { l.send("/crash", struct{}{}) }

// SetSnapshots replaces the snapshots that the leaf holds.
func (l *Leaf) SetSnapshots(snapshots ...backend.SnapshotInfo) {
	l.cluster.recordShardCounts(l.Config.Service, snapshots)
	l.Config.Snapshots = snapshots
	l.send("/snapshots", snapshots)
}
