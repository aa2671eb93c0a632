package entry

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/standin/site"
)

// Guards against a node that refuses every request because it started while the registry is down, although another node serves.
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
	n1 := start(t, "n1", store)
	defer n1.stop(t)
	eventually(t, "the first node is ready", ready(n1))
	store.SetDown(true)
	s := settingsFor(t, "n2", store)
	s.Seeds = []string{n1.settings.PeerListen}
	n2 := startWith(t, s)
	defer n2.stop(t)
	eventually(t, "the second node is ready", ready(n2))
	response, _, err := n2.ask(&http.Client{}, http.MethodGet, "/one/", "q1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
}
