package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cyclamenstream/api/route"
	"cyclamenstream/internal/membudget"
	"cyclamenstream/internal/tcpopt"
)

// callerListener applies the operators' time limits to the connections of callers. net/http has such limits too, but
// they cannot change while a server runs, so the server is given the longest ones that apply.
type callerListener struct {
	net.Listener
	limits func() route.Limits
	unused *unusedConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits, unused: l.unused}, nil
}

// unusedConns holds the connections on which no byte of a request has arrived yet.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	// closed holds the connections that close has closed.
	closed map[net.Conn]bool
}

func newUnusedConns() *unusedConns {
	return &unusedConns{conns: map[net.Conn]bool{}, closed: map[net.Conn]bool{}}
}

func (u *unusedConns) add(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns[c] = true
}

// remove reports whether the connection is still open, that is, whether close has not closed it.
func (u *unusedConns) remove(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
	return !u.closed[c]
}

// forget is called when a connection has ended.
func (u *unusedConns) forget(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
	delete(u.closed, c)
}

// close closes the connections.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		u.closed[c] = true
		// No request is lost, and the caller notices that the connection is closed.
		_ = c.Close()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	limits func() route.Limits
	unused *unusedConns
	// used is set once a byte has been read.
	used atomic.Bool
	// idle is set if the next deadline is the one for the first byte of another request.
	idle atomic.Bool
}

// Account returns the account of the connection in the node's budget.
func (c *callerConn) Account() *membudget.Account {
	if metered, ok := c.Conn.(*meteredConn); ok {
		return metered.account
	}
	return nil
}

// GrowReceived lets the connection hold more data that is not read yet.
func (c *callerConn) GrowReceived(bytes int) error {
	metered, ok := c.Conn.(*meteredConn)
	if !ok {
		return nil
	}
	conn, ok := metered.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	return tcpopt.GrowReceived(conn, bytes)
}

// connState is a hook of http.Server, which calls it before it sets the deadline of an idle connection.
func connState(c net.Conn, s http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	if metered, ok := caller.Conn.(*meteredConn); ok {
		metered.setState(s)
	}
	switch s {
	case http.StateNew:
		caller.unused.add(c)
	case http.StateIdle:
		caller.idle.Store(true)
	case http.StateClosed:
		caller.unused.forget(c)
	}
}

// Read implements net.Conn. Bytes that arrive while an unused connection is being closed are dropped, so that no request
// is passed on whose answer could not be delivered.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.used.Swap(true) && !c.unused.remove(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It shortens the server's deadlines, for a header and for the next request, to
// the operators' limits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || !t.After(time.Now()) {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.limits().HeaderTimeout
	if c.idle.Swap(false) {
		limit = c.limits().Idle
	}
	if at := time.Now().Add(limit); limit > 0 && at.Before(t) {
		t = at
	}
	return c.Conn.SetReadDeadline(t)
}
