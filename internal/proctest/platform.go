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

// startLimit bounds the start of a process on a busy machine.
const startLimit = 15 * time.Second

// controlLimit bounds a call to a control port.
const controlLimit = 5 * time.Second

// controls calls a stand-in's control port and fails the test if it does not answer.
type controls struct {
	t      testing.TB
	client control.Client
}

func (c *controls) send(path string, body any) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlLimit)
	defer cancel()
	if err := c.client.Send(ctx, path, body); err != nil {
		c.t.Errorf("control port: %v", err)
	}
}

func (c *controls) read(path string, value any) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlLimit)
	defer cancel()
	if err := c.client.Read(ctx, path, value); err != nil {
		c.t.Errorf("control port: %v", err)
	}
}

// standinAddresses is the line that a stand-in prints when it is ready.
type standinAddresses struct {
	Address string `json:"address"`
	Control string `json:"control"`
}

func startStandin(t testing.TB, name string, args ...string) (*Process, standinAddresses) {
	t.Helper()
	p := StartProcess(t, name, standinProgram, args...)
	line, err := p.first(startLimit)
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
	controls
	// Address is that of a proxy in front of the platform.
	Address string
}

func startPlatform(t testing.TB, n *Network) *Platform {
	t.Helper()
	p, a := startStandin(t, "platform", "platform")
	return &Platform{Process: p, controls: controls{t: t, client: control.Client{Address: a.Control}}, Address: n.Proxy(p.Name, a.Address)}
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

// PutVM adds or replaces a VM in the list.
func (p *Platform) PutVM(vm platform.VM) { p.send("/vms", vm) }

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(id string) { p.send("/vms/remove", standin.VMID{ID: id}) }

// SetState marks a VM as live or leaving.
func (p *Platform) SetState(id string, state platform.State) {
	p.send("/vms/state", standin.VMState{ID: id, State: state})
}

// Rollback makes a key come back with the value of some writes ago.
func (p *Platform) Rollback(key string, steps int) {
	p.send("/rollback", standin.RollbackRequest{Key: key, Steps: steps})
}

// Leaf is a stand-in leaf in its own process.
type Leaf struct {
	*Process
	controls
	VM     platform.VM
	Config leaf.Config

	cluster *Cluster
	own     string // the leaf's own address, behind the proxy
	logFile string
}

// start starts the leaf's process, again after Kill.
func (l *Leaf) start() {
	t := l.cluster.t
	t.Helper()
	text, err := json.Marshal(l.Config)
	if err != nil {
		t.Fatal(err)
	}
	p, a := startStandin(t, l.VM.ID, "leaf", "--listen", l.own, "--config", string(text), "--log", l.logFile)
	l.Process, l.controls = p, controls{t: t, client: control.Client{Address: a.Control}}
	l.cluster.Network.Register(p)
}

// Restart kills the leaf and starts it again on its address: cold, with a new boot identifier.
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

// Crash makes the leaf crash and come back cold.
func (l *Leaf) Crash() { l.send("/crash", struct{}{}) }

// SetSnapshots replaces the snapshots that the leaf holds.
func (l *Leaf) SetSnapshots(snapshots ...backend.SnapshotInfo) {
	l.cluster.noteSnapshots(l.Config.Service, snapshots)
	l.Config.Snapshots = snapshots
	l.send("/snapshots", snapshots)
}
