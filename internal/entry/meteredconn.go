package entry

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"cyclamenstream/internal/membudget"
)

const (
	// headerAllowance is the part of a header whose memory is part of that of its connection. headerStep is the size of one
	// reservation for the rest.
	headerAllowance = 4 << 10
	headerStep      = 8 << 10
	// fieldBytes is the memory of a header field beside its text. 140 bytes were measured for short fields.
	fieldBytes = 160
	// refusalTimeout bounds the write of a refusal. The connection of a refused request does not give way again, so a caller
	// that does not read could hold it for ever.
	refusalTimeout = 2 * time.Second
)

// meteredListener opens an account in the node's budget for each connection, with membudget.Budget.Open or OpenReserved. It
// closes connections for which there is no room.
type meteredListener struct {
	net.Listener
	open func(evict func(closeConnection bool)) *membudget.Account
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &meteredConn{Conn: inner}
		if c.account = l.open(c.giveWay); c.account != nil {
			return c, nil
		}
		_ = inner.Close() // an error of the close has no effect
	}
}

// meteredConn is a connection that reserves the memory of the headers that arrive.
type meteredConn struct {
	net.Conn
	account *membudget.Account
	// header is the memory of the header that arrives, and reserved the part of it that is reserved.
	header, reserved int
}

// errGaveWay has the form of an error on which net/http closes a connection without an answer.
var errGaveWay = &net.OpError{Op: "read", Err: net.ErrClosed}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.account.Begin() {
		return 0, errGaveWay
	}
	if c.account.InHeader() && !c.reserveHeader(p[:n]) {
		_ = c.Close() // an error of the close has no effect
		return 0, errGaveWay
	}
	return n, err
}

// reserveHeader reserves the memory of a part of a header.
func (c *meteredConn) reserveHeader(text []byte) bool {
	c.header += len(text) + fieldBytes*bytes.Count(text, []byte{'\n'})
	for c.header > headerAllowance+c.reserved {
		if !c.account.Reserve(nil, headerStep) {
			return false
		}
		c.reserved += headerStep
	}
	return true
}

// giveWay closes the connection, or lets the read of a request's body fail so that the request is refused.
func (c *meteredConn) giveWay(closeConnection bool) {
	// An error has no effect: the connection has ended.
	if closeConnection {
		_ = c.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// SetReadDeadline implements net.Conn. The read of a request that must be refused stays failed.
func (c *meteredConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.account.Evicted() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// setState records what http.Server reports of the connection.
func (c *meteredConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.account.HeaderDone()
	case http.StateIdle:
		c.header, c.reserved = 0, 0
		c.account.Done()
	case http.StateClosed, http.StateHijacked:
		c.account.Close()
	}
}

// meterState is a hook of the servers that do not pass requests on. Their requests state nothing, so their connections may be
// closed from the end of the header on.
func meterState(c net.Conn, s http.ConnState) {
	if metered, ok := c.(*meteredConn); ok {
		metered.setState(s)
		if s == http.StateActive {
			metered.account.Answer()
		}
	}
}
