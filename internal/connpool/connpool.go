// Package connpool keeps the TCP connections to one server for reuse. A connection carries one exchange at a time, and a
// limit bounds how many are open.
package connpool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// dialTimeout bounds the time to open a connection. It continues in the background if nobody waits for it any more.
const dialTimeout = time.Second

// ErrClosed is the error of Get after Close.
var ErrClosed = errors.New("connection pool is closed")

// DialFunc opens a connection to the server.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	dial  DialFunc
	total *Total

	mu    sync.Mutex
	limit int
	// open is the number of connections that are in use, idle or being opened.
	open int
	// idle holds the connections that no exchange uses, the most recently used last.
	idle []*Conn
	// keep is how long an idle connection may be reused.
	keep   time.Duration
	closed bool
	// waiting is the number of callers of Get that wait for changed, which is closed and replaced at the next change.
	waiting int
	changed chan struct{}
}

// New returns a pool without connections. It opens at most limit connections and reuses those that were idle for at most
// keep. total bounds the connections of several pools together, and may be nil.
func New(dial DialFunc, limit int, keep time.Duration, total *Total) *Pool {
	p := &Pool{dial: dial, total: total, limit: max(1, limit), keep: keep, changed: make(chan struct{})}
	total.add(p)
	return p
}

// Conn is a connection for one exchange. Either Release or Close must be called after the exchange.
type Conn struct {
	net.Conn
	pool *Pool
	// exchanges is the number of earlier exchanges on the connection.
	exchanges int
	// idleSince is when the latest exchange ended, or when the connection was opened.
	idleSince time.Time
	// rested is how long the connection was idle before the present exchange.
	rested time.Duration
}

// Reused reports whether the connection has carried an exchange before this one.
func (c *Conn) Reused() bool { return c.exchanges > 0 }

// Rested returns how long the connection was idle before this exchange.
func (c *Conn) Rested() time.Duration { return c.rested }

// pendingDial is a connection that is being opened for a call of Get. The pool's lock guards wanted.
type pendingDial struct {
	// wanted is set while the call waits for the connection. The connection becomes idle otherwise.
	wanted bool
	// cancel ends the wait until another connection may be opened.
	cancel context.CancelFunc
	done   chan struct{}
	// conn and err are the result once done is closed.
	conn *Conn
	err  error
}

// Get returns an idle connection, or else a new one. It returns no connection that has been idle for longer than maxRest,
// unless maxRest is 0. While the limit is reached, it waits for a connection.
func (p *Pool) Get(ctx context.Context, maxRest time.Duration) (*Conn, error) {
	var d *pendingDial
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.closed {
			p.abandon(d)
			return nil, ErrClosed
		}
		if c := p.takeIdle(time.Now(), maxRest); c != nil {
			p.abandon(d)
			return c, nil
		}
		if d == nil && p.open < p.limit {
			d = p.startDial(true)
		}
		if err := p.wait(ctx, d); err != nil {
			p.abandon(d)
			return nil, err
		}
		if d != nil && isClosed(d.done) {
			return d.conn, d.err
		}
	}
}

// wait unlocks the pool until its next change, the end of the dial or the end of ctx.
func (p *Pool) wait(ctx context.Context, d *pendingDial) error {
	changed := p.changed
	p.waiting++
	p.mu.Unlock()
	defer p.mu.Lock()
	var done chan struct{}
	if d != nil {
		done = d.done
	}
	select {
	case <-changed:
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// abandon makes the connection of a dial idle instead of passing it to the call that has started the dial.
func (p *Pool) abandon(d *pendingDial) {
	if d == nil {
		return
	}
	d.wanted = false
	d.cancel()
	if isClosed(d.done) && d.conn != nil {
		p.add(d.conn)
	}
}

// takeIdle removes an idle connection from the pool and returns it, or nil if there is none that is usable. If maxRest
// excludes all and the limit is reached, it closes the oldest one to make room for a new one.
func (p *Pool) takeIdle(now time.Time, maxRest time.Duration) *Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		c.rested = now.Sub(c.idleSince)
		if maxRest > 0 && c.rested > maxRest && c.rested <= p.keep {
			if p.open >= p.limit {
				p.closeIdle(p.idle[:1])
			}
			return nil
		}
		p.idle = p.idle[:last]
		if c.rested <= p.keep && isOpenAndIdle(c.Conn) {
			return c
		}
		p.discard(c)
	}
	return nil
}

// startDial opens a connection in the background.
func (p *Pool) startDial(wanted bool) *pendingDial {
	wait, cancel := context.WithCancel(context.Background())
	d := &pendingDial{wanted: wanted, cancel: cancel, done: make(chan struct{})}
	p.open++
	go func() {
		defer cancel()
		conn, err := p.dialWithin(wait)
		p.mu.Lock()
		defer p.mu.Unlock()
		defer close(d.done)
		if err != nil {
			p.open--
			d.err = err
			p.notify()
			return
		}
		c := &Conn{Conn: conn, pool: p, idleSince: time.Now()}
		if d.wanted {
			d.conn = c
		} else {
			p.add(c)
		}
	}()
	return d
}

// dialWithin waits until another connection may be opened, until wait ends, and opens one.
func (p *Pool) dialWithin(wait context.Context) (net.Conn, error) {
	if err := p.total.acquire(wait); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	if err != nil {
		p.total.release()
	}
	return conn, err
}

// Prepare opens a connection in the background, unless one is open. It reports whether it opens one.
func (p *Pool) Prepare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(time.Now())
	if p.open > 0 || p.closed || p.total.isShort() {
		return false
	}
	// If the server cannot be reached, the next call of Get reports the error.
	p.startDial(false)
	return true
}

// HasIdle reports whether there is an idle connection that is not too old to be reused. It does not find out whether the
// server has closed it.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && time.Since(p.idle[len(p.idle)-1].idleSince) <= p.keep
}

// Sweep closes the idle connections that cannot be reused.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(time.Now())
}

func (p *Pool) sweep(now time.Time) {
	usable := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) <= p.keep && isOpenAndIdle(c.Conn) {
			usable = append(usable, c)
		} else {
			p.discard(c)
		}
	}
	clear(p.idle[len(usable):])
	p.idle = usable
}

// SetLimit changes the largest number of open connections. It closes idle connections above the limit; those in use are
// closed when they are released.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit = max(1, limit); limit == p.limit {
		return
	}
	p.limit = limit
	if surplus := min(p.open-p.limit, len(p.idle)); surplus > 0 {
		p.closeIdle(p.idle[:surplus])
	}
	p.notify()
}

// SetKeep changes how long an idle connection may be reused.
func (p *Pool) SetKeep(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep = keep
}

// Keep returns how long an idle connection may be reused.
func (p *Pool) Keep() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keep
}

// CloseIdle closes the connections that no exchange uses.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(p.idle)
}

// Close closes the connections that no exchange uses, and the others at the end of their exchanges.
func (p *Pool) Close() {
	p.total.remove(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(p.idle)
	p.notify()
}

// closeIdle closes the first idle connections, which list holds.
func (p *Pool) closeIdle(list []*Conn) {
	for _, c := range list {
		p.discard(c)
	}
	p.idle = slices.Delete(p.idle, 0, len(list))
}

// Release makes the connection available for other exchanges.
func (c *Conn) Release() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.exchanges++
	c.idleSince = time.Now()
	c.pool.add(c)
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.open--
	c.pool.total.release()
	c.pool.notify()
	return err
}

// add adds an idle connection, or closes it if the pool is closed or above its limit, or if dials wait, which are served
// in order.
func (p *Pool) add(c *Conn) {
	if p.closed || p.open > p.limit || p.total.isShort() {
		p.discard(c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.notify()
}

// discard closes a connection that no exchange uses.
func (p *Pool) discard(c *Conn) {
	// No exchange uses the connection, so an error has no effect.
	_ = c.Conn.Close()
	p.open--
	p.total.release()
}

func (p *Pool) notify() {
	if p.waiting > 0 {
		close(p.changed)
		p.changed, p.waiting = make(chan struct{}), 0
	}
}
