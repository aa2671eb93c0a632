// Package netgate wraps the listener of a stand-in so that its connections can be counted, limited and closed.
package netgate

import (
	"net"
	"sync"
	"time"
)

// Listener is a net.Listener that can close its connections and refuse new ones. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	blocked     bool
	limit       int
	acceptDelay time.Duration
	counts      Counts
}

// Counts holds the numbers of connections: open now, the highest number open at once, accepted and refused.
type Counts struct {
	Open     int `json:"open"`
	Highest  int `json:"highest"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
}

// New returns a Listener that wraps l and has no connection limit.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, connections: map[net.Conn]struct{}{}}
}

// SetLimit limits the open connections (0 means no limit) and sets how long accepting a connection takes.
func (l *Listener) SetLimit(limit int, acceptDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.acceptDelay = limit, acceptDelay
}

// Block closes all connections, and closes new ones immediately until Unblock is called.
func (l *Listener) Block() {
	l.mu.Lock()
	l.blocked = true
	var open []net.Conn
	for c := range l.connections {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Unblock ends the effect of Block.
func (l *Listener) Unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = false
}

// Counts returns the current counts.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Open = len(l.connections)
	return c
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped, acceptDelay, ok := l.admit(c)
		if !ok {
			_ = c.Close()
			continue
		}
		time.Sleep(acceptDelay)
		return wrapped, nil
	}
}

func (l *Listener) admit(c net.Conn) (net.Conn, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked || (l.limit > 0 && len(l.connections) >= l.limit) {
		l.counts.Refused++
		return nil, 0, false
	}
	wrapped := &conn{Conn: c, owner: l}
	l.connections[wrapped] = struct{}{}
	l.counts.Accepted++
	l.counts.Highest = max(l.counts.Highest, len(l.connections))
	return wrapped, l.acceptDelay, true
}

type conn struct {
	net.Conn
	owner *Listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.connections, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
