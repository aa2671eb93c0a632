package proctest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Rule describes the faults of the connections from one process to another. The zero value injects none.
type Rule struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Cut closes open connections and refuses new ones.
	Cut bool
	// HoldForward and HoldBack hold back the bytes from or to the process that opened the connection. As in a network
	// partition, the bytes arrive late if the connection is still open when the fault ends.
	HoldForward, HoldBack bool
	// CloseAfter closes each connection once that many bytes have passed, counted over both directions. 0 means never.
	CloseAfter int64
}

// Any matches every process in the link of a rule.
const Any = "*"

type link struct{ from, to string }

// Network starts the proxies in front of processes and holds the rules of the links between them. It is safe for
// concurrent use.
type Network struct {
	t testing.TB

	mu      sync.Mutex
	rules   map[link]Rule
	changed chan struct{}
	pids    map[int]string // process names by process identifier
}

// NewNetwork returns a network without rules.
func NewNetwork(t testing.TB) *Network {
	return &Network{t: t, rules: map[link]Rule{}, changed: make(chan struct{}), pids: map[int]string{}}
}

// Register makes the network recognize the connections that a process opens.
func (n *Network) Register(p *Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[p.PID()] = p.Name
}

// Set sets the rule for the connections that process from opens to process to. Either may be Any.
func (n *Network) Set(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[link{from, to}] = r
	close(n.changed)
	n.changed = make(chan struct{})
}

// Partition holds back all bytes between the two groups, in both directions, until Heal.
func (n *Network) Partition(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Set(x, y, Rule{HoldForward: true, HoldBack: true})
			n.Set(y, x, Rule{HoldForward: true, HoldBack: true})
		}
	}
}

// Heal removes all rules.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = map[link]Rule{}
	close(n.changed)
	n.changed = make(chan struct{})
}

// rule returns the most specific rule of a link and a channel that is closed when rules change.
func (n *Network) rule(l link) (Rule, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, candidate := range []link{l, {l.from, Any}, {Any, l.to}, {Any, Any}} {
		if r, ok := n.rules[candidate]; ok {
			return r, n.changed
		}
	}
	return Rule{}, n.changed
}

// Proxy starts a proxy in front of process to, which listens on target, and returns the proxy's address.
func (n *Network) Proxy(to, target string) string {
	n.t.Helper()
	address, err := FreePort()
	if err != nil {
		n.t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatalf("starting the proxy of %s: %v", to, err)
	}
	n.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.proxyConnection(c, to, target)
		}
	}()
	return address
}

// proxyConnection connects c to the target until either side or a rule closes the connection.
func (n *Network) proxyConnection(c net.Conn, to, target string) {
	defer c.Close()
	l := link{n.dialer(c), to}
	if r, _ := n.rule(l); r.Cut {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	p := &proxiedConn{network: n, link: l, client: c, server: server, ended: make(chan struct{})}
	defer p.end()
	go p.watchCut()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, c, func(r Rule) bool { return r.HoldForward }) })
	directions.Go(func() { p.forward(c, server, func(r Rule) bool { return r.HoldBack }) })
	directions.Wait()
}

// proxiedConn is a proxied connection.
type proxiedConn struct {
	network        *Network
	link           link
	client, server net.Conn
	once           sync.Once
	ended          chan struct{}

	mu        sync.Mutex
	forwarded int64
}

func (p *proxiedConn) end() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.client.Close()
		_ = p.server.Close()
	})
}

// watchCut closes the connection as soon as its rule is Cut.
func (p *proxiedConn) watchCut() {
	for {
		r, changed := p.network.rule(p.link)
		if r.Cut {
			p.end()
			return
		}
		select {
		case <-changed:
		case <-p.ended:
			return
		}
	}
}

type chunk struct {
	data []byte // empty at the end of the stream
	due  time.Time
}

const (
	chunkBytes   = 32 << 10
	queuedChunks = 64
)

// forward copies bytes from src to dst under the link's rule. The end of the stream is forwarded in order after the
// bytes. A reset drops the bytes that are queued.
func (p *proxiedConn) forward(dst, src net.Conn, held func(Rule) bool) {
	queue := make(chan chunk, queuedChunks)
	go p.readChunks(src, queue)
	for c := range queue {
		if !p.sleepUntil(c.due) || !p.waitWhileHeld(held) || len(c.data) == 0 {
			break
		}
		data, last := p.truncate(c.data)
		if _, err := dst.Write(data); err != nil || last {
			break
		}
	}
	p.end()
}

func (p *proxiedConn) readChunks(src net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		size, err := src.Read(buffer)
		r, _ := p.network.rule(p.link)
		due := time.Now().Add(r.Delay)
		var parts []chunk
		if size > 0 {
			parts = append(parts, chunk{buffer[:size], due})
		}
		if errors.Is(err, syscall.ECONNRESET) {
			p.end() // the sender's kernel has discarded the bytes that were not delivered
			return
		}
		if err != nil {
			parts = append(parts, chunk{nil, due})
		}
		for _, part := range parts {
			select {
			case queue <- part:
			case <-p.ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxiedConn) sleepUntil(due time.Time) bool {
	if time.Until(due) <= 0 {
		return true
	}
	select {
	case <-time.After(time.Until(due)):
		return true
	case <-p.ended:
		return false
	}
}

// waitWhileHeld waits while the link's rule holds back this direction. It reports false if the connection has ended or
// is cut.
func (p *proxiedConn) waitWhileHeld(held func(Rule) bool) bool {
	for {
		r, changed := p.network.rule(p.link)
		if r.Cut {
			return false
		}
		if !held(r) {
			return true
		}
		select {
		case <-changed:
		case <-p.ended:
			return false
		}
	}
}

// truncate returns the part of data that CloseAfter still allows and whether it is the last.
func (p *proxiedConn) truncate(data []byte) ([]byte, bool) {
	r, _ := p.network.rule(p.link)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.CloseAfter > 0 && p.forwarded+int64(len(data)) >= r.CloseAfter {
		data = data[:max(0, r.CloseAfter-p.forwarded)]
		p.forwarded = r.CloseAfter
		return data, true
	}
	p.forwarded += int64(len(data))
	return data, false
}

// dialer returns the name of the registered process that opened the connection, or "" for the test itself. All
// processes share one address, so it searches their open files for the connection's socket.
func (n *Network) dialer(c net.Conn) string {
	inode, err := socketInode(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, name := range n.pids {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if target, _ := os.Readlink(file); target == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode finds the socket with the given local and remote ports in the kernel's table of TCP connections.
func socketInode(local, remote int) (string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	const localField, remoteField, inodeField = 1, 2, 9
	for _, line := range strings.Split(string(table), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) > inodeField && hexPort(f[localField]) == local && hexPort(f[remoteField]) == remote {
			return f[inodeField], nil
		}
	}
	return "", fmt.Errorf("no connection from port %d to port %d", local, remote)
}

func hexPort(address string) int {
	_, port, _ := strings.Cut(address, ":")
	v, err := strconv.ParseInt(port, 16, 32)
	if err != nil {
		return -1
	}
	return int(v)
}
