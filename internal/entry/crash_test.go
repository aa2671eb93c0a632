package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/standin/site"
)

// Guards against a request that crashes one leaf after another because it is sent to every node, and against refusing
// other requests that ran at the same time.
func TestCrashingRequestOnManyNodes(t *testing.T) {
	const crashing = "/one/crash/"
	c := qt.New(t)
	store := site.NewStore()
	defer store.Close()
	store.Put("op/config", []byte(fmt.Sprintf(testConfig, 1)))
	var leaves []*site.Leaf
	for i := range 3 {
		l := site.NewLeaf(store, fmt.Sprintf("l%d", i), "s1", "z1")
		defer l.Close()
		l.CrashOn(crashing)
		leaves = append(leaves, l)
	}
	var nodes []*node
	for i := range 3 {
		n := start(t, fmt.Sprintf("n%d", i), store)
		defer n.stop(t)
		nodes = append(nodes, n)
	}
	eventually(t, "the directory lists all nodes", func() bool { return len(nodes[0].resolve()) == 3 })
	client := &http.Client{}
	runs := func() (n int) {
		for _, l := range leaves {
			for _, id := range l.Runs() {
				if strings.HasPrefix(id, "crash") {
					n++
				}
			}
		}
		return n
	}
	attempt := 0
	ask := func(n *node) int {
		attempt++
		response, _, err := n.ask(client, http.MethodGet, crashing, fmt.Sprintf("crash%d", attempt))
		c.Assert(err, qt.IsNil)
		return response.StatusCode
	}
	for _, n := range nodes[:2] {
		c.Check(ask(n), qt.Equals, http.StatusBadGateway)
		time.Sleep(time.Second) // the leaves have restarted with new boots, and the nodes have read them
	}
	before := runs()
	c.Assert(before >= 3, qt.IsTrue)
	for _, n := range nodes {
		c.Check(ask(n), qt.Equals, http.StatusServiceUnavailable)
		response, _, err := n.ask(client, http.MethodGet, "/one/", fmt.Sprintf("fine%d", attempt))
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Check(runs(), qt.Equals, before)
}
