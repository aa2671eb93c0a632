package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/standin/site"
)

// free reports whether an address can be listened on. In one process, a node's sockets close shortly after its stop.
func free(network, address string) bool {
	if network == "udp" {
		c, err := net.ListenPacket(network, address)
		return err == nil && c.Close() == nil
	}
	l, err := net.Listen(network, address)
	return err == nil && l.Close() == nil
}

// Guards against a node that refuses every request because it started during an outage of the registry, although
// another node is serving.
func TestStartWhileTheRegistryIsDown(t *testing.T) {
	store := site.NewStore()
	defer store.Close()
	store.Put("op/config", []byte(fmt.Sprintf(testConfig, 1)))
	l := site.NewLeaf(store, "l1", "s1", "z1")
	defer l.Close()
	ready := func(n *node) func() bool {
		return func() bool {
			status, _ := get("http://" + n.settings.ReadyListen + "/api/ready")
			return status == http.StatusOK
		}
	}
	n1, n2 := start(t, "n1", store), start(t, "n2", store)
	defer n1.stop(t)
	eventually(t, "both nodes are ready", func() bool { return ready(n1)() && ready(n2)() && len(n1.resolve()) == 2 })
	store.SetDown(true)
	n2.stop(t)
	eventually(t, "its addresses are free again", func() bool { return free("udp", n2.settings.PeerListen) && free("tcp", n2.settings.PeerListen) })
	n2 = startWith(t, n2.settings)
	defer n2.stop(t)
	eventually(t, "the second node is ready again", ready(n2))
	response, _, err := n2.ask(&http.Client{}, http.MethodGet, "/one/", "q1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
}
