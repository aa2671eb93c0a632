package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/standin/site"
)

const (
	headerLimit = 300 * time.Millisecond
	idleLimit   = 800 * time.Millisecond
)

// closedAfter reads until the node closes the connection, and returns how long that took.
func closedAfter(t *testing.T, c net.Conn) time.Duration {
	began := time.Now()
	if err := c.SetReadDeadline(began.Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := c.Read(make([]byte, 512)); err != nil {
			return time.Since(began)
		}
	}
}

// Guards against a stop that takes the whole shutdown grace and fails because a caller holds a connection without a
// request.
func TestStopWithUnusedConnections(t *testing.T) {
	c := qt.New(t)
	store := site.NewStore()
	defer store.Close()
	n := start(t, "n1", store)
	conn, err := net.Dial("tcp", n.settings.CallerListen)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	var stopping sync.WaitGroup
	stopping.Go(func() { n.stop(t) })
	late := time.Duration(maxServeShare*float64(n.settings.ShutdownGrace.Duration)) - 100*time.Millisecond
	time.Sleep(late)
	second, err := net.Dial("tcp", n.settings.CallerListen) // just before the node accepts no more connections
	c.Assert(err, qt.IsNil)
	defer second.Close()
	stopping.Wait()
	closedAfter(t, conn)
	closedAfter(t, second)
}

// Guards against callers that hold connections for longer than the operators allow, and against connections that are
// closed too early.
func TestLimitsOnTime(t *testing.T) {
	c := qt.New(t)
	store := site.NewStore()
	defer store.Close()
	limits := fmt.Sprintf(`"max_body_bytes":1000,"header_timeout_ms":%d,"idle_timeout_ms":%d`, headerLimit.Milliseconds(), idleLimit.Milliseconds())
	config := strings.Replace(fmt.Sprintf(testConfig, 1), `"max_body_bytes":1000`, limits, 1)
	store.Put("op/config", []byte(config))
	l := site.NewLeaf(store, "l1", "s1", "z1")
	defer l.Close()
	n := start(t, "n1", store)
	defer n.stop(t)
	eventually(t, "ready", func() bool { status, _ := get("http://" + n.settings.ReadyListen + "/api/ready"); return status == 200 })
	open := func() net.Conn {
		conn, err := net.Dial("tcp", n.settings.CallerListen)
		c.Assert(err, qt.IsNil)
		return conn
	}

	slow := open()
	_, err := slow.Write([]byte("GET /one/ HTTP/1.1\r\nHost: a.example\r\n"))
	c.Assert(err, qt.IsNil)
	took := closedAfter(t, slow)
	c.Check(took > headerLimit/2 && took < idleLimit, qt.IsTrue, qt.Commentf("an unfinished header: %v", took))

	kept := open()
	answers := bufio.NewReader(kept)
	for i := range 3 {
		_, err := fmt.Fprintf(kept, "GET /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\nX-Request-Deadline: 900\r\n\r\n", i)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(response.Body.Close(), qt.IsNil)
		time.Sleep(idleLimit * 3 / 5)
	}
	took = closedAfter(t, kept)
	c.Check(took > idleLimit/5 && took < 3*idleLimit, qt.IsTrue, qt.Commentf("an idle connection: %v", took))
}

// pipeConn is a connection whose reads call a function before they return.
type pipeConn struct {
	net.Conn
	beforeReturn func()
}

func (c pipeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.beforeReturn()
	return n, err
}

// Guards against a request that a stopping node reads and passes on while it closes the connection as unused.
func TestRequestDuringCloseOfUnusedConnections(t *testing.T) {
	c := qt.New(t)
	caller, inner := net.Pipe()
	unused := newUnusedConns()
	conn := &callerConn{Conn: pipeConn{inner, unused.close}, unused: unused}
	connState(conn, http.StateNew)
	go func() { _, _ = caller.Write([]byte("GET / HTTP/1.1\r\n")) }()
	n, err := conn.Read(make([]byte, 100))
	c.Check(n, qt.Equals, 0)
	c.Check(err, qt.IsNotNil)

	caller, inner = net.Pipe()
	conn = &callerConn{Conn: inner, unused: unused}
	connState(conn, http.StateNew)
	go func() { _, _ = caller.Write([]byte("GET / HTTP/1.1\r\n")) }()
	n, err = conn.Read(make([]byte, 100))
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, 16)
	unused.close() // a used connection stays open
	go func() { _, _ = caller.Write([]byte("\r\n")) }()
	_, err = conn.Read(make([]byte, 100))
	c.Check(err, qt.IsNil)
	connState(conn, http.StateClosed)
	c.Check(unused.conns, qt.HasLen, 0)
}
