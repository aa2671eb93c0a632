package platformgrpc_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/platform"
	"cyclamenstream/internal/adapter/platformgrpc"
	"cyclamenstream/internal/contract/inventorytest"
	"cyclamenstream/internal/contract/storetest"
	standin "cyclamenstream/internal/standin/platform"
)

// testPollTimeout is short, so that a watch makes several calls in the cases that wait.
const testPollTimeout = 25 * time.Millisecond

func newTestClient(t *testing.T) (*platformgrpc.Client, *standin.Platform) {
	p := standin.New()
	server, err := standin.Serve(p, "127.0.0.1:0", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	client, err := platformgrpc.New(server.Address, platformgrpc.WithPollTimeout(testPollTimeout))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, client.Close(), qt.IsNil)
		qt.Check(t, server.Close(), qt.IsNil)
	})
	return client, p
}

// Guards against an adapter that converts gRPC errors to the wrong errors of package platform.
func TestStoreContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		client, p := newTestClient(t)
		return storetest.Fixture{Store: client, Platform: p}
	})
}

// Guards against fields that are lost in transfer and against calls that hang when the platform does.
func TestInventoryContract(t *testing.T) {
	inventorytest.Run(t, func(t *testing.T) inventorytest.Fixture {
		client, p := newTestClient(t)
		return inventorytest.Fixture{Inventory: client, Platform: p}
	})
}

// Guards against ErrNotSent for a write whose bytes were sent. gRPC reports Unavailable in both cases.
func TestNotSent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	refused := silent.Addr().String()
	qt.Assert(t, silent.Close(), qt.IsNil)
	silent, err = net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, nothing answers
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	hung, p := newTestClient(t)
	_, err = hung.Get(context.Background(), "warm the connection")
	qt.Assert(t, err, qt.IsNil)
	p.Update(func(f *standin.Faults) { f.Hang = true })
	cut := func() { p.Update(func(f *standin.Faults) { f.Down = true }) }

	client := func(address string) *platformgrpc.Client {
		c, err := platformgrpc.New(address, platformgrpc.WithTimeout(200*time.Millisecond))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		return c
	}
	tests := []struct {
		name    string
		client  *platformgrpc.Client
		fault   func()
		notSent bool
	}{
		{"connection refused", client(refused), func() {}, true},
		{"server does not complete the connection", client(silent.Addr().String()), func() {}, true},
		{"connection cut after the send", hung, cut, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			time.AfterFunc(50*time.Millisecond, test.fault)
			_, err := test.client.CompareAndSwap(context.Background(), "k", 0, []byte("v"))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, platform.ErrNotSent), qt.Equals, test.notSent, qt.Commentf("%v", err))
			qt.Assert(t, time.Since(start) < platformgrpc.DefaultTimeout, qt.IsTrue)
		})
	}
}
