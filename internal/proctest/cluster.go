package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/standin/leaf"
)

// Spec describes the processes and the configuration of a test.
type Spec struct {
	Nodes  []platform.VM
	Leaves []LeafSpec
	// Profiles and Services are created by an operator before the test begins.
	Profiles map[string]config.Profile
	Services map[string]config.Service
	// LocateTTL is how long callers may cache addresses.
	LocateTTL time.Duration
}

// LeafSpec describes one leaf.
type LeafSpec struct {
	VM     platform.VM
	Config leaf.Config
}

// Cluster is a running stand-in platform with leaves and nodes.
type Cluster struct {
	Network  *Network
	Platform *Platform
	// Leaves and Nodes are keyed by VM identifier.
	Leaves map[string]*Leaf
	Nodes  map[string]*Node
	Spec   Spec

	t   testing.TB
	dir string

	mu          sync.Mutex
	shardCounts map[snapshotKey]uint32
	lastID      int // numbers loads and changes
}

type snapshotKey struct{ service, snapshot string }

// maxClusters bounds the number of clusters that run concurrently in a test binary. Each has about 7 processes, and a
// process that gets too little CPU time exceeds the time limits that the tests check.
const maxClusters = 4

var clusterSlots = make(chan struct{}, maxClusters)

// Start starts the processes of spec, waits until the nodes are ready, and creates the profiles and services. It
// returns when all nodes serve and each service has answered.
func Start(t testing.TB, spec Spec) *Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &Cluster{Network: NewNetwork(t), Leaves: map[string]*Leaf{}, Nodes: map[string]*Node{}, Spec: spec, t: t,
		dir: t.TempDir(), shardCounts: map[snapshotKey]uint32{}}
	c.Platform = startPlatform(t, c.Network)
	c.Network.Register(c.Platform.Process)
	for _, l := range spec.Leaves {
		c.addLeaf(l)
	}
	for _, vm := range spec.Nodes {
		c.addNode(vm)
	}
	for _, n := range c.Nodes {
		n.start()
	}
	c.awaitNodes(false)
	if running := len(c.RunningNodes()); running < len(spec.Nodes) {
		t.Fatalf("only %d of %d nodes are running after the start", running, len(spec.Nodes))
	}
	for _, name := range slices.Sorted(maps.Keys(spec.Profiles)) {
		p := spec.Profiles[name]
		c.Apply(config.Change{Op: config.OpPutProfile, Name: name, Profile: &p})
	}
	var version uint64
	for _, name := range slices.Sorted(maps.Keys(spec.Services)) {
		s := spec.Services[name]
		version = c.Apply(config.Change{Op: config.OpPutService, Name: name, Service: &s})
	}
	if t.Failed() {
		t.FailNow()
	}
	c.AwaitVersion(version, startTimeout)
	c.AwaitServing()
	for _, name := range slices.Sorted(maps.Keys(spec.Services)) {
		c.AwaitAnswers(name)
	}
	return c
}

func (c *Cluster) recordShardCounts(service string, snapshots []backend.SnapshotInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range snapshots {
		c.shardCounts[snapshotKey{service, s.ID}] = s.ShardCount
	}
}

// freeAddress returns a free address or fails the test.
func (c *Cluster) freeAddress() string {
	c.t.Helper()
	a, err := FreePort()
	if err != nil {
		c.t.Fatal(err)
	}
	return a
}

func (c *Cluster) addLeaf(spec LeafSpec) {
	l := &Leaf{VM: spec.VM, Config: spec.Config, cluster: c, listenAddress: c.freeAddress(), logFile: filepath.Join(c.dir, spec.VM.ID+".log")}
	l.VM.Address = c.Network.Proxy(l.VM.ID, l.listenAddress)
	l.Config.VM, l.Config.Service = l.VM.ID, l.VM.Service
	c.recordShardCounts(l.VM.Service, l.Config.Snapshots)
	l.start()
	c.Leaves[l.VM.ID] = l
	c.Platform.PutVM(l.VM)
}

func (c *Cluster) addNode(vm platform.VM) {
	n := &Node{VM: vm, cluster: c, peerListen: c.freeAddress()}
	n.VM.Address = c.Network.Proxy(vm.ID, n.peerListen)
	n.VM.CallerAddress = c.freeAddress()
	n.writeSettings()
	c.Nodes[vm.ID] = n
	c.Platform.PutVM(n.VM)
}

// Node is a node in its own process.
type Node struct {
	*Process
	VM platform.VM

	cluster    *Cluster
	peerListen string
	settings   string
}

// settings is the content of a node's TOML settings file.
type settings struct {
	VM            string `toml:"vm"`
	Zone          string `toml:"zone"`
	Region        string `toml:"region"`
	PeerListen    string `toml:"peer_listen"`
	PeerAddress   string `toml:"peer_address"`
	CallerListen  string `toml:"caller_listen"`
	CallerAddress string `toml:"caller_address"`
	Platform      string `toml:"platform"`
	LocateTTL     string `toml:"locate_ttl"`
}

func (n *Node) writeSettings() {
	c := n.cluster
	text, err := toml.Marshal(settings{VM: n.VM.ID, Zone: n.VM.Zone, Region: n.VM.Region, PeerListen: n.peerListen,
		PeerAddress: n.VM.Address, CallerListen: n.VM.CallerAddress, CallerAddress: n.VM.CallerAddress,
		Platform: c.Platform.Address, LocateTTL: c.Spec.LocateTTL.String()})
	if err != nil {
		c.t.Fatal(err)
	}
	n.settings = filepath.Join(c.dir, n.VM.ID+".toml")
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts the node's process. It may be called again after the process has ended.
func (n *Node) start() {
	n.cluster.t.Helper()
	n.Process = StartProcess(n.cluster.t, n.VM.ID, nodeProgram, "node", "--settings", n.settings)
	n.cluster.Network.Register(n.Process)
}

// Restart starts the node again after its process has ended.
func (n *Node) Restart() {
	n.cluster.t.Helper()
	n.start()
}

// operatorTimeout bounds one call of an operator. It includes the node's own calls to the store.
const operatorTimeout = 6 * time.Second

// Status returns the status of the nodes as this node sees it.
func (n *Node) Status() (operator.Status, error) {
	var s operator.Status
	return s, n.admin(http.MethodGet, "status", nil, &s)
}

// Change sends an operator's change to this node once.
func (n *Node) Change(change config.Change) (operator.ChangeResult, error) {
	// The body of an error holds the result in the field change.
	var r struct {
		operator.ChangeResult
		Change *operator.ChangeResult `json:"change"`
	}
	body, err := json.Marshal(change)
	if err != nil {
		return r.ChangeResult, err
	}
	err = n.admin(http.MethodPost, "changes", body, &r)
	if r.Change != nil {
		return *r.Change, err
	}
	return r.ChangeResult, err
}

// admin calls the admin API. Outcomes other than "accepted" may have any HTTP status, so only the body is evaluated.
func (n *Node) admin(method, path string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.VM.CallerAddress+"/v1/admin/"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := callerTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("%s %s: %s: %w", method, path, response.Status, err)
	}
	return nil
}

// RunningNodes returns the nodes whose process is running, ordered by VM identifier.
func (c *Cluster) RunningNodes() []*Node {
	var running []*Node
	for _, vm := range slices.Sorted(maps.Keys(c.Nodes)) {
		if n := c.Nodes[vm]; n.Process != nil && n.Running() {
			running = append(running, n)
		}
	}
	return running
}

// Await waits until the condition is true and returns how long that took. It fails the test after the timeout.
func (c *Cluster) Await(timeout time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	const interval = 20 * time.Millisecond
	for start := time.Now(); ; time.Sleep(interval) {
		if condition() {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			c.t.Fatalf("condition not met within %v: %s", timeout, what)
		}
	}
}

// AwaitServing waits until every running node is fresh and sees all running nodes as alive.
func (c *Cluster) AwaitServing() {
	c.t.Helper()
	c.awaitNodes(true)
}

// awaitNodes waits until every running node sees all running nodes as alive and, if fresh is true, is fresh. Nodes
// cannot be fresh before there is a configuration.
func (c *Cluster) awaitNodes(fresh bool) {
	c.t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		reason := c.notServing(fresh)
		if reason == "" {
			return
		}
		if time.Since(start) > startTimeout {
			c.t.Fatalf("not all nodes are ready and see each other after %v: %s", startTimeout, reason)
		}
	}
}

// notServing describes a node that is not ready or does not see the others. It returns an empty string if there is
// none.
func (c *Cluster) notServing(fresh bool) string {
	running := c.RunningNodes()
	for _, n := range running {
		s, err := n.Status()
		alive := 0
		for _, other := range s.Nodes {
			if other.Alive {
				alive++
			}
		}
		if err != nil || (fresh && !s.Fresh) || alive < len(running) {
			return fmt.Sprintf("%s reports %+v, error %v", n.VM.ID, s, err)
		}
	}
	if len(running) == 0 {
		return "no node is running"
	}
	return ""
}

// AwaitAnswers waits until a running node answers a query of the service completely.
func (c *Cluster) AwaitAnswers(service string) {
	c.t.Helper()
	var last Attempt
	for start, i := time.Now(), 0; time.Since(start) < startTimeout; i++ {
		for _, n := range c.RunningNodes() {
			id := fmt.Sprintf("probe-%s-%s-%d", service, n.VM.ID, i)
			last = SendQuery(context.Background(), n.VM.CallerAddress, Query{Caller: "probe", ID: id, Service: service, Payload: []byte(id)}, time.Second)
			if last.Complete() {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("no complete answer from %s within %v: %s %s", service, startTimeout, last.Code, last.Message)
}

// AwaitVersion waits until every running node has applied at least this version of the configuration.
func (c *Cluster) AwaitVersion(version uint64, timeout time.Duration) time.Duration {
	c.t.Helper()
	return c.Await(timeout, fmt.Sprintf("configuration version %d is applied on all nodes", version), func() bool {
		return !slices.ContainsFunc(c.RunningNodes(), func(n *Node) bool {
			s, err := n.Status()
			return err != nil || s.ConfigVersion < version
		})
	})
}

// Apply makes an operator's change and returns its version. It sends the change to the running nodes in turn, with the
// same identifier, until it is accepted.
func (c *Cluster) Apply(change config.Change) uint64 {
	c.t.Helper()
	return c.ApplyOn(change, c.RunningNodes()...)
}

// ApplyOn is like Apply but sends the change only to the given nodes.
func (c *Cluster) ApplyOn(change config.Change, nodes ...*Node) uint64 {
	c.t.Helper()
	if change.ID == "" {
		c.mu.Lock()
		c.lastID++
		change.ID = fmt.Sprintf("change-%d", c.lastID)
		c.mu.Unlock()
	}
	var last string
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			result, err := n.Change(change)
			if err == nil && result.Outcome == operator.Accepted {
				return result.Version
			}
			last = fmt.Sprintf("%s: %+v, error %v", n.VM.ID, result, err)
			if result.Outcome == operator.Rejected || result.Outcome == operator.Conflict {
				c.t.Errorf("change %+v: %s", change, last)
				return 0
			}
		}
	}
	c.t.Errorf("change %+v was not accepted within %v: %s", change, startTimeout, last)
	return 0
}

// Owner returns the running node that reports itself as the owner of the service, or nil.
func (c *Cluster) Owner(service string) *Node {
	for _, n := range c.RunningNodes() {
		s, err := n.Status()
		if err != nil {
			continue
		}
		for _, state := range s.Nodes {
			if state.VM == n.VM.ID && slices.Contains(state.Owned, service) {
				return n
			}
		}
	}
	return nil
}

// AwaitOwner waits until a running node owns the service and returns it.
func (c *Cluster) AwaitOwner(service string) *Node {
	c.t.Helper()
	var owner *Node
	c.Await(startTimeout, "a node owns "+service, func() bool {
		owner = c.Owner(service)
		return owner != nil
	})
	return owner
}
