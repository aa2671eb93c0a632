package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cyclamenstream/api/route"
)

// callerListener applies the operators' limits on time to the connections of callers. net/http has such limits too, but they
// cannot change while a server runs; its own are the longest that apply.
type callerListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	limits func() route.Limits
	// idle says that the next deadline is that for the first byte of another request.
	idle atomic.Bool
}

// connState is a hook of http.Server, which calls it before it sets the deadline of an idle connection.
func connState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok && s == http.StateIdle {
		caller.idle.Store(true)
	}
}

// SetReadDeadline implements net.Conn. It brings the server's deadlines, for a header and for the next request, forward to the
// operators' limits.
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
