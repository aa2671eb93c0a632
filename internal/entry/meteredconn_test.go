package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/route"
	"cyclamenstream/internal/membudget"
	"cyclamenstream/internal/tcpopt"
	"cyclamenstream/platform"
)

// pipeListener accepts connections without buffers, so that the write of an answer that the caller does not read blocks.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(t *testing.T) net.Conn {
	caller, node := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	l.conns <- node
	return caller
}

// served reports whether the node answers a request on a new connection.
func (l *pipeListener) served(t *testing.T) bool {
	c := l.dial(t)
	_ = c.SetDeadline(time.Now().Add(time.Second)) // fails if the node has closed the connection, as the write then does
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func smallBudget(connections int64) *membudget.Budget {
	return membudget.New(membudget.Config{Bytes: connections * membudget.ConnectionBytes, Connections: 100,
		MaxWait: func() <-chan time.Time { return time.After(100 * time.Millisecond) }})
}

// Guards against callers of the directory, or of the metrics, that do not read their answers and hold the whole budget
// for ever.
func TestUnreadAnswersOfOtherServersGiveWay(t *testing.T) {
	handled := make(chan bool, 100)
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer") // a failed write shows in the answer
		handled <- true
	}))
	listener := newPipeListener()
	go func() { _ = server.Serve(meteredListener{listener, smallBudget(2).OpenReserved}) }()
	defer server.Close()
	for range 2 {
		_, err := io.WriteString(listener.dial(t), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		<-handled
	}
	eventually(t, "a new caller is served", func() bool { return listener.served(t) })
}

// Guards against callers that do not read the refusal of their request and hold the whole budget for ever, since a
// connection that must send a refusal does not give way.
func TestUnreadRefusalsEnd(t *testing.T) {
	limits := func() route.Limits { return route.Limits{BodyBytes: bodyLimit} }
	handler := platform.NewCallerHandler(nil, limits)
	server := newServer(handler)
	server.ConnContext, server.ConnState = platform.ConnContext, connState
	budget := smallBudget(3)
	listener := newPipeListener()
	go func() {
		_ = server.Serve(callerListener{meteredListener{listener, budget.Open}, limits, newUnusedConns()})
	}()
	defer server.Close()
	for i := range 2 {
		_, err := fmt.Fprintf(listener.dial(t), postHead, fmt.Sprint("q", i), bodyLimit, "begin")
		qt.Assert(t, err, qt.IsNil)
	}
	eventually(t, "the bodies hold memory", func() bool { return budget.Stats().Used > 2*membudget.ConnectionBytes+4<<10 })
	third := listener.dial(t) // needs the memory of the bodies, whose requests are refused
	eventually(t, "the requests are refused", func() bool { return budget.Stats().Evicted["body"] == 2 })
	qt.Assert(t, third.Close(), qt.IsNil)
	eventually(t, "all connections have ended", func() bool { return budget.Stats().Connections == 0 })
}

// Guards against a node that runs out of memory when many callers read the metrics at the same time.
func TestFewMetricsReadsAtATime(t *testing.T) {
	c := qt.New(t)
	entered, finish := make(chan bool, 100), make(chan bool)
	server := newMetricsServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-finish
		_, _ = io.WriteString(w, "metrics") // a failed write shows in the answer
	}))
	listener := newPipeListener()
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	var callers []net.Conn
	for range 3 * maxMetricsReads {
		caller := listener.dial(t)
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		callers = append(callers, caller)
	}
	time.Sleep(50 * time.Millisecond)
	c.Check(entered, qt.HasLen, maxMetricsReads)
	close(finish)
	for _, caller := range callers {
		c.Assert(caller.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	}
}

// Guards against a node that counts as not ready, and whose directory does not answer, because the requests of callers that
// run hold all connections or all memory.
func TestOtherServersHaveRoomBesideRunningRequests(t *testing.T) {
	for name, settings := range map[string]Settings{
		"connections": {MemoryLimit: 64, MaxDescriptors: 300}, "memory": {MemoryLimit: 64, RequestMemory: 1, MaxDescriptors: 400},
	} {
		t.Run(name, func(t *testing.T) {
			budget := newMemoryBudget(settings)
			for a := budget.Open(func(bool) {}); a != nil; a = budget.Open(func(bool) {}) {
				a.HeaderDone()
				qt.Assert(t, a.Work(), qt.IsTrue)
			}
			server := newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			listener := newPipeListener()
			go func() { _ = server.Serve(meteredListener{listener, budget.OpenReserved}) }()
			defer server.Close()
			for range 3 { // also when earlier connections are kept open
				qt.Assert(t, listener.served(t), qt.IsTrue)
			}
		})
	}
}

// echoServer answers every request with its body.
type echoServer struct{}

func (echoServer) Serve(_ context.Context, r *exchange.Request) exchange.Answer {
	return exchange.Answer{Reply: &exchange.Reply{Status: http.StatusOK, Body: r.Body}}
}

// Guards against large bodies that arrive slowly over a connection whose receive buffer does not grow, and against a grown buffer
// that is not counted.
func TestConnectionGrowsForLargeBody(t *testing.T) {
	c := qt.New(t)
	limits := func() route.Limits { return route.Limits{BodyBytes: bodyLimit} }
	server := newServer(platform.NewCallerHandler(echoServer{}, limits))
	server.ConnContext, server.ConnState = platform.ConnContext, connState
	budget := smallBudget(100)
	listener, err := tcpopt.Listen("127.0.0.1:0", membudget.ReceiveBytes, 10)
	c.Assert(err, qt.IsNil)
	go func() {
		_ = server.Serve(callerListener{meteredListener{listener, budget.Open}, limits, newUnusedConns()})
	}()
	defer server.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	answers := bufio.NewReader(caller)
	for _, size := range []int{1000, bodyLimit} {
		go func() { _, _ = fmt.Fprintf(caller, postHead, "q", size, strings.Repeat("b", size)) }() // fails only with the read below
		response, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.HasLen, size)
		kept := int64(0)
		if size == bodyLimit {
			kept = 64<<10 - membudget.ReceiveBytes
		}
		eventually(t, "the request gives its memory back", func() bool { return budget.Stats().Used == membudget.ConnectionBytes+kept })
	}
}
