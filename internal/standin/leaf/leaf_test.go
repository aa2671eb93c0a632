package leaf_test

import (
	"testing"

	"cyclamenstream/internal/contract/backendtest"
	"cyclamenstream/internal/standin/leaf"
)

// Guards against an in-memory leaf that behaves differently from a leaf over gRPC.
func TestContract(t *testing.T) {
	backendtest.Run(t, func(t *testing.T, c leaf.Config) backendtest.Fixture {
		l, n := leaf.New(c), leaf.NewNetwork()
		n.Add("leaf:1", l)
		return backendtest.Fixture{Dialer: n, Address: "leaf:1", Leaf: l}
	})
}
