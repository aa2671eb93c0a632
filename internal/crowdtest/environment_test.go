// Package crowdtest tests an entry node as a real process against crowds of callers that do not behave. The tests check
// only what does not depend on the speed of the machine: that the process lives, that its memory and descriptors stay
// within its limits, and that an ordinary request is answered afterwards. They run one at a time, apart from
// other tests: go test ./internal/crowdtest -crowd.
package crowdtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/site"
)

const (
	// memoryLimit is the setting memory_limit of the node in MiB, and the bound of its resident memory.
	memoryLimit = 96
	// The node starts with a limit on its open descriptors. The last fileDescriptors of them are for files, so the rest is
	// the bound. manyDescriptors is more than any crowd needs that is to exceed the memory.
	fewDescriptors  = 600
	manyDescriptors = 1200
	fileDescriptors = 200

	bodyLimit   = 256 << 10 // max_body_bytes
	headerLimit = 16 << 10  // max_header_bytes
	// serveTimeout is generous, so that the tests are steady on a busy machine.
	serveTimeout = 60 * time.Second
)

const config = `{"version":1,"routes":[{"name":"one","hostname":"a.example","prefix":"/one/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2,"service":"s1"},{"name":"slow","hostname":"a.example","prefix":"/slow/",
"route_type":"unsafe","timeout_ms":30000,"max_attempts":1,"service":"s2"}],"services":[{"name":"s1"},{"name":"s2","max_connections":1000}],
"limits":{"max_body_bytes":%d,"max_header_bytes":%d,"header_timeout_ms":60000,"idle_timeout_ms":60000}}`

// node is the entry node under test with the stand-ins that it uses.
type node struct {
	t       *testing.T
	process *proctest.Process
	// listeners holds the addresses that the node listens on.
	listeners listeners
	// leaf answers ordinary requests, and slowLeaf those with the path /slow/.
	leaf, slowLeaf *site.Leaf
	// memoryLimit is the setting memory_limit in MiB, and descriptorLimit the limit with which the process started.
	memoryLimit, descriptorLimit int
	// peak and descriptors are the largest figures that were observed.
	peak        usage
	descriptors int
}

// listeners holds the addresses on which a node listens for clients and, last, for other nodes.
type listeners struct{ callers, ready, directory, metrics, peers string }

// ofClients returns the listeners that clients can reach, by name.
func (l listeners) ofClients() map[string]string {
	return map[string]string{"callers": l.callers, "ready": l.ready, "directory": l.directory, "metrics": l.metrics}
}

func newListeners(t *testing.T) listeners {
	var addresses [5]string
	for i := range addresses {
		address, err := proctest.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	return listeners{addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]}
}

// startNode starts a node with the given limit on its descriptors, the stand-in of a store, and one leaf.
func startNode(t *testing.T, descriptorLimit int) *node {
	return startSmallNode(t, memoryLimit, descriptorLimit)
}

func startSmallNode(t *testing.T, memory, descriptorLimit int) *node {
	store := newStore(t, fmt.Appendf(nil, config, bodyLimit, headerLimit))
	leaf, slowLeaf := newLeaf(t, store, "l1", "s1"), newLeaf(t, store, "l2", "s2")
	slowLeaf.Slots = callers
	slowLeaf.Register(store, "ready")
	n := startAt(t, store, "n1", memory, descriptorLimit)
	n.leaf, n.slowLeaf = leaf, slowLeaf
	return n
}

// newStore starts the stand-in of a store with a configuration.
func newStore(t *testing.T, config []byte) *site.Store {
	if !*runCrowds {
		t.Skip("runs apart from other tests: go test ./internal/crowdtest -crowd")
	}
	store := site.NewStore()
	t.Cleanup(store.Close)
	store.Put("op/config", config)
	return store
}

func newLeaf(t *testing.T, store *site.Store, id, service string) *site.Leaf {
	leaf := site.NewLeaf(store, id, service, "z1")
	t.Cleanup(leaf.Close)
	return leaf
}

// startAt starts a node at a store, whose configuration has the route of ordinary requests.
func startAt(t *testing.T, store *site.Store, name string, memory, descriptorLimit int) *node {
	n := &node{t: t, memoryLimit: memory, descriptorLimit: descriptorLimit, listeners: newListeners(t)}
	settings := filepath.Join(t.TempDir(), name+".toml")
	if err := os.WriteFile(settings, []byte(n.settings(name, store.Address())), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = proctest.StartLimited(t, name, proctest.Tier, descriptorLimit, "entry", "--settings", settings)
	n.ask("before the crowd")
	t.Logf("before the crowd: %d MiB resident, %d descriptors", n.memory("VmHWM"), n.openDescriptors())
	return n
}

func (n *node) settings(name, store string) string {
	l := n.listeners
	return fmt.Sprintf(`vm = %q
zone = "z1"
region = "r1"
caller_listen = %q
ready_listen = %q
directory_listen = %q
metrics_listen = %q
peer_listen = %q
registry = %q
shutdown_grace = "3s"
resolve_ttl_max = "1s"
config_within = "2s"
drain_within = "2s"
retry_share = 0.2
retry_slack = 50
memory_limit = %d
`, name, l.callers, l.ready, l.directory, l.metrics, l.peers, store, n.memoryLimit)
}

// ask sends an ordinary request until it is answered.
func (n *node) ask(when string) {
	n.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for deadline := time.Now().Add(serveTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.callers+"/one/", strings.NewReader("ordinary"))
		if err != nil {
			n.t.Fatal(err)
		}
		r.Host = "a.example"
		r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
		response, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	n.t.Errorf("%s: no answer within %v to an ordinary request: %s", when, serveTimeout, last)
}

// memory returns a figure of /proc/PID/status in MiB, rounded up.
func (n *node) memory(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	if err != nil {
		n.t.Fatalf("the node's process has ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		n.t.Fatalf("the node's process has ended: it has no %s", name)
	}
	kib, err := strconv.Atoi(fields[0])
	if err != nil {
		n.t.Fatal(err)
	}
	return (kib + 1023) / 1024
}

func (n *node) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.PID()))
	if err != nil {
		n.t.Fatalf("the node's process has ended: %v", err)
	}
	return len(entries)
}

// watch observes the memory and the open descriptors until done is closed.
func (n *node) watch(done <-chan struct{}) {
	for {
		n.observe()
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// observe records the present use of memory and descriptors.
func (n *node) observe() {
	n.descriptors = max(n.descriptors, n.openDescriptors())
	if now := (usage{n.memory("VmRSS"), n.unread()}); now.total() > n.peak.total() {
		n.peak = now
	}
}

// verify checks the node while the crowd still holds its connections.
func (n *node) verify() {
	n.t.Helper()
	n.ask("after the crowd")
	if !n.process.Running() {
		n.t.Fatal("the node's process has ended")
	}
	n.observe()
	resident := n.memory("VmHWM")
	n.t.Logf("peak: %v, %d MiB resident at any time, %d descriptors", n.peak, resident, n.descriptors)
	if peak := max(n.peak.total(), resident); peak > n.memoryLimit {
		n.t.Errorf("the node took %d MiB of memory; allowed: %d", peak, n.memoryLimit)
	}
	if allowed := n.descriptorLimit - fileDescriptors; n.descriptors > allowed {
		n.t.Errorf("the node had %d open descriptors; allowed: %d", n.descriptors, allowed)
	}
}

// dial connects to a listener of the node. The connection has a deadline, and is closed at the end of the test.
func (n *node) dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	n.t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.SetDeadline(time.Now().Add(timeout))
}
