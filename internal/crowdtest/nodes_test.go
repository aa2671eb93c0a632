package crowdtest

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"cyclamenstream/internal/standin/site"
)

// Guards against nodes whose memory or descriptors do not suffice for what a crowd at one of them makes it send to the others:
// the crowd's requests are interrupted by a leaf that then crashes, which the nodes tell each other.
func TestCrowdAtOneNode(t *testing.T) {
	store := newStore(t, fmt.Appendf(nil, config, bodyLimit, headerLimit))
	newLeaf(t, store, "l1", "s1")
	crashing := newLeaf(t, store, "l2", "s2")
	crashing.Slots = callers
	crashing.Register(store, "ready")
	nodes := []*node{}
	for i := range 3 {
		nodes = append(nodes, startAt(t, store, fmt.Sprintf("n%d", i+1), memoryLimit, manyDescriptors))
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range nodes[1:] {
		watching.Go(func() { n.watch(done) })
	}
	crashing.SetFault(site.Cut, 0)
	nodes[0].run(callers, func(i int, c net.Conn) error {
		for j := range interruptions / callers {
			if _, err := fmt.Fprintf(c, "GET /slow/%d-%d HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-%d-%d\r\n\r\n", i, j, i, j); err != nil {
				return err
			}
			if _, err := c.Read(make([]byte, fillBytes)); err != nil {
				return err
			}
			if i == 0 && j%4 == 3 {
				crashing.Crash()
			}
		}
		return nil
	})
	close(done)
	watching.Wait()
	for _, n := range nodes[1:] {
		n.verify()
	}
}
