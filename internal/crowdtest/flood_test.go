package crowdtest

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenstream/internal/standin/site"
)

const (
	// floodTimeout ends the writes of a caller that sends more than the node reads, and floodBytes bounds them.
	floodTimeout = 4 * time.Second
	floodBytes   = 2 << 20
	// fillBytes is about the size of one write of such a caller.
	fillBytes = 32 << 10
)

// flood is what a caller sends: the beginning of a request, and then text that is repeated for as long as the node accepts
// more.
type flood struct{ name, begin, repeat string }

// floods returns the floods of a listener that answers requests with the path.
func floods(path string) []flood {
	head := "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n"
	request := "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: flood\r\n\r\n"
	return []flood{
		{"before its header", "", "\r\n"},
		{"in a field of the header", head + "X-Fill: ", "f"},
		{"in many fields of the header", head, "x:\r\n"},
		{"in a body of allowed size", head + fmt.Sprintf("X-Request-Id: flood\r\nContent-Length: %d\r\n\r\n", bodyLimit), "b"},
		{"in a body that is too large", head + fmt.Sprintf("X-Request-Id: flood\r\nContent-Length: %d\r\n\r\n", 1<<40), "b"},
		{"in small chunks", head + "X-Request-Id: flood\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		{"in a body without an identifier", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40), "b"},
		{"in a body after 100 Continue", head + fmt.Sprintf("X-Request-Id: flood\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", bodyLimit), "b"},
		{"in many requests", "", request},
		{"after a request", request, "b"},
	}
}

// send sends the flood until the node accepts no more of it.
func (f flood) send(c net.Conn) error {
	if _, err := io.WriteString(c, f.begin); err != nil {
		return err
	}
	fill := []byte(strings.Repeat(f.repeat, max(1, fillBytes/len(f.repeat))))
	for sent := 0; sent < floodBytes; sent += len(fill) {
		if _, err := c.Write(fill); err != nil {
			return err
		}
	}
	return nil
}

// flooded runs a crowd that sends a flood to a listener.
func (n *node) flooded(address string, size int, f flood) {
	n.runOn(address, floodTimeout, size, func(_ int, c net.Conn) error { return f.send(c) })
}

// paths holds a path that each listener answers.
var paths = map[string]string{"callers": "/one/", "ready": "/api/ready", "directory": "/api/resolve", "metrics": "/metrics"}

// Guards against a node whose memory does not suffice for what clients of any listener send and it does not read, in each
// state of their connections.
func TestFloods(t *testing.T) {
	for _, listener := range slices.Sorted(maps.Keys(paths)) {
		for _, f := range floods(paths[listener]) {
			t.Run(listener+" "+f.name, func(t *testing.T) {
				n := startNode(t, manyDescriptors)
				n.flooded(n.listeners.ofClients()[listener], callers, f)
			})
		}
	}
}

// Guards against a node whose memory does not suffice for what callers send while their requests run at a leaf.
func TestFloodsWhileRequestsRun(t *testing.T) {
	n := startNode(t, manyDescriptors)
	n.slowLeaf.SetFault(site.Healthy, 2*floodTimeout)
	begin := fmt.Sprintf("POST /slow/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: flood\r\nContent-Length: %d\r\n\r\n", len("body"))
	n.flooded(n.listeners.callers, callers, flood{"while its request runs", begin + "body", "b"})
}

// Guards against a node whose memory does not suffice for what clients of all its listeners send before it has accepted their
// connections.
func TestFloodsBeforeAccept(t *testing.T) {
	n := startNode(t, manyDescriptors)
	n.process.Signal(syscall.SIGSTOP)
	var crowd sync.WaitGroup
	for listener, address := range n.listeners.ofClients() {
		for i := range callers {
			crowd.Go(func() {
				if c, err := n.dial(address, floodTimeout); err == nil {
					_ = floods(paths[listener])[i%2+1].send(c) // the node may refuse it
				}
			})
		}
	}
	crowd.Wait()
	n.observe()
	n.process.Signal(syscall.SIGCONT)
	n.verify()
}

const (
	// The smallest machines have smallMemory MiB, smallDescriptors descriptors and smallShare of a core, which they get in
	// each smallPeriod at once. smallCrowd is about the number of connections of callers that the descriptors allow.
	smallMemory      = 184
	smallDescriptors = 4100
	smallCrowd       = 1900
	smallShare       = 0.19
	smallPeriod      = 100 * time.Millisecond
)

// Guards against a node on the smallest machine whose collection of garbage, which gets little processor time, lags behind a
// crowd.
func TestFloodsOnSmallestMachine(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	for _, listener := range []string{"callers", "directory"} {
		for _, f := range floods(paths[listener]) {
			t.Run(listener+" "+f.name, func(t *testing.T) {
				n := startSmallNode(t, smallMemory, smallDescriptors)
				defer n.shareProcessor(smallShare)()
				n.flooded(n.listeners.ofClients()[listener], smallCrowd, f)
			})
		}
	}
}

// shareProcessor lets the node run for a share of each period until the returned function is called.
func (n *node) shareProcessor(share float64) (end func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		run := time.Duration(share * float64(smallPeriod))
		for {
			n.process.Signal(syscall.SIGCONT)
			time.Sleep(run)
			select {
			case <-ended:
				return
			default:
			}
			n.process.Signal(syscall.SIGSTOP)
			time.Sleep(smallPeriod - run)
		}
	})
	return func() {
		close(ended)
		running.Wait()
	}
}
