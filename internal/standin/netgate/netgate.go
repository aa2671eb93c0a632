// Package netgate wraps the listener of a stand-in, so that its connections can be counted, limited and cut.
package netgate

import (
	"net"
	"sync"
	"time"
)

// Listener is a net.Listener whose connections can be cut and refused. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	shut   bool
	limit  int
	cost   time.Duration
	counts Counts
}

// Counts tells how connections were used.
type Counts struct {
	Open     int `json:"open"`
	Highest  int `json:"highest"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
}

// New wraps l without a limit.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, open: map[net.Conn]struct{}{}}
}

// SetLimit bounds the connections at once (0: no limit) and sets how long the acceptance of one takes.
func (l *Listener) SetLimit(limit int, cost time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.cost = limit, cost
}

// Block cuts all connections and closes new ones at once until Unblock is called.
func (l *Listener) Block() {
	l.mu.Lock()
	l.shut = true
	var cut []net.Conn
	for c := range l.open {
		cut = append(cut, c)
	}
	l.mu.Unlock()
	for _, c := range cut {
		_ = c.Close()
	}
}

// Unblock accepts connections again.
func (l *Listener) Unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shut = false
}

// Counts returns the counts so far.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Open = len(l.open)
	return c
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped, cost, ok := l.admit(c)
		if !ok {
			_ = c.Close()
			continue
		}
		time.Sleep(cost)
		return wrapped, nil
	}
}

func (l *Listener) admit(c net.Conn) (net.Conn, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut || (l.limit > 0 && len(l.open) >= l.limit) {
		l.counts.Refused++
		return nil, 0, false
	}
	wrapped := &conn{Conn: c, owner: l}
	l.open[wrapped] = struct{}{}
	l.counts.Accepted++
	l.counts.Highest = max(l.counts.Highest, len(l.open))
	return wrapped, l.cost, true
}

type conn struct {
	net.Conn
	owner *Listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
