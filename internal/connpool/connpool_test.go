package connpool

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	dialTime = 10 * time.Millisecond
	keep     = 10 * time.Second
)

// server counts the connections that a pool opens to it.
type server struct {
	dialed, open, peak atomic.Int64
	// unreachable makes dials fail.
	unreachable atomic.Bool
}

type serverConn struct {
	net.Conn
	server *server
	once   sync.Once
}

func (c *serverConn) Close() error {
	c.once.Do(func() { c.server.open.Add(-1) })
	return c.Conn.Close()
}

var errUnreachable = errors.New("unreachable")

func (s *server) dial(context.Context) (net.Conn, error) {
	s.dialed.Add(1)
	time.Sleep(dialTime)
	if s.unreachable.Load() {
		return nil, errUnreachable
	}
	if open := s.open.Add(1); open > s.peak.Load() {
		s.peak.Store(open)
	}
	conn, _ := net.Pipe()
	return &serverConn{Conn: conn, server: s}, nil
}

func test(t *testing.T, limit int, check func(c *qt.C, s *server, p *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := New(s.dial, limit, keep, nil)
		check(qt.New(t), s, p)
		p.Close()
		time.Sleep(2 * dialTime) // dials end
	})
}

func get(c *qt.C, p *Pool, maxRest time.Duration) *Conn {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := p.Get(ctx, maxRest)
	c.Assert(err, qt.IsNil)
	return conn
}

// Guards against a new connection for each exchange, and against connections that the server is about to close.
func TestReuse(t *testing.T) {
	test(t, 4, func(c *qt.C, s *server, p *Pool) {
		first := get(c, p, 0)
		c.Check(first.Reused(), qt.IsFalse)
		first.Release()
		time.Sleep(keep)
		again := get(c, p, 0)
		c.Check(again, qt.Equals, first)
		c.Check(again.Reused(), qt.IsTrue)
		c.Check(again.Rested(), qt.Equals, keep)
		again.Release()
		time.Sleep(keep + 1)
		c.Check(get(c, p, 0), qt.Not(qt.Equals), first)
		c.Check(s.dialed.Load(), qt.Equals, int64(2))
		c.Check(s.open.Load(), qt.Equals, int64(1))

		p.SetKeep(time.Second)
		get(c, p, 0).Release()
		time.Sleep(time.Second + 1)
		p.Sweep()
		c.Check(s.open.Load(), qt.Equals, int64(1)) // the one in use
	})
}

// Guards against a connection that is taken to be at hand while it is in use or too old.
func TestHasIdle(t *testing.T) {
	test(t, 4, func(c *qt.C, _ *server, p *Pool) {
		conn := get(c, p, 0)
		c.Check(p.HasIdle(), qt.IsFalse)
		conn.Release()
		time.Sleep(keep)
		c.Check(p.HasIdle(), qt.IsTrue)
		time.Sleep(time.Nanosecond)
		c.Check(p.HasIdle(), qt.IsFalse)
	})
}

// Guards against a request that must not be repeated on a connection that the server may have closed, also if the limit
// leaves no room for a new one.
func TestMaxRest(t *testing.T) {
	for _, limit := range []int{1, 2} {
		test(t, limit, func(c *qt.C, s *server, p *Pool) {
			first := get(c, p, 0)
			first.Release()
			time.Sleep(100 * time.Millisecond)
			c.Check(get(c, p, 50*time.Millisecond), qt.Not(qt.Equals), first)
			c.Check(s.dialed.Load(), qt.Equals, int64(2))
			c.Check(s.peak.Load() <= int64(limit), qt.IsTrue)
		})
	}
}

// Guards against more connections than the limit, and against callers that wait although connections are free, when many
// exchanges with and without errors run concurrently and the limit changes.
func TestLimit(t *testing.T) {
	const limit = 3
	test(t, limit, func(c *qt.C, s *server, p *Pool) {
		var exchanges sync.WaitGroup
		var served atomic.Int64
		for i := range 200 {
			exchanges.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				conn, err := p.Get(ctx, 0)
				if !c.Check(err, qt.IsNil) {
					return
				}
				time.Sleep(5 * time.Millisecond)
				served.Add(1)
				if i%7 == 0 {
					_ = conn.Close()
				} else {
					conn.Release()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		p.SetLimit(limit - 1)
		time.Sleep(20 * time.Millisecond)
		s.peak.Store(0)
		time.Sleep(20 * time.Millisecond)
		c.Check(s.peak.Load() <= limit-1, qt.IsTrue)
		p.SetLimit(limit)
		exchanges.Wait()
		c.Check(served.Load(), qt.Equals, int64(200))
		c.Check(s.peak.Load() <= limit, qt.IsTrue, qt.Commentf("%d connections", s.peak.Load()))
	})
}

// Guards against a call that waits for ever because another one has taken the connection that it opened.
func TestConnectionOfAnotherCall(t *testing.T) {
	test(t, 8, func(c *qt.C, s *server, p *Pool) {
		var calls sync.WaitGroup
		for i := range 8 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * dialTime / 4)
				get(c, p, 0) // is never released
			})
		}
		calls.Wait()
		c.Check(s.dialed.Load(), qt.Equals, int64(8))
	})
}

// Guards against opening a connection in vain when the call that needs it is given up, and against an error that comes
// only at the end of the call's time.
func TestAbandonedAndFailedDials(t *testing.T) {
	test(t, 1, func(c *qt.C, s *server, p *Pool) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTime/2)
		defer cancel()
		_, err := p.Get(ctx, 0)
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(dialTime)
		get(c, p, 0).Release()
		c.Check(s.dialed.Load(), qt.Equals, int64(1))

		p.CloseIdle()
		s.unreachable.Store(true)
		began := time.Now()
		_, err = p.Get(context.Background(), 0)
		c.Check(err, qt.ErrorIs, errUnreachable)
		c.Check(time.Since(began), qt.Equals, dialTime)
		p.Prepare()
		time.Sleep(2 * dialTime)
		s.unreachable.Store(false)
		get(c, p, 0).Release()
		c.Check(s.open.Load(), qt.Equals, int64(1))
	})
}

// Guards against opening more than one prepared connection, against a request that does not use it, and against
// connections that stay open after the pool was closed.
func TestPrepare(t *testing.T) {
	test(t, 2, func(c *qt.C, s *server, p *Pool) {
		c.Check(p.Prepare(), qt.IsTrue)
		for range 2 {
			c.Check(p.Prepare(), qt.IsFalse)
		}
		time.Sleep(2 * dialTime)
		p.Prepare()
		conn := get(c, p, 0)
		c.Check(s.dialed.Load(), qt.Equals, int64(1))
		c.Check(conn.Reused(), qt.IsFalse)
		p.Close()
		conn.Release()
		c.Check(s.open.Load(), qt.Equals, int64(0))
		_, err := p.Get(context.Background(), 0)
		c.Check(err, qt.ErrorIs, ErrClosed)
		p.Prepare()
		time.Sleep(2 * dialTime)
		c.Check(s.open.Load(), qt.Equals, int64(0))
	})
}

// Guards against using an idle connection that the server has closed or on which it has sent unsolicited data.
func TestUnusableIdleConnection(t *testing.T) {
	for name, makeUnusable := range map[string]func(net.Conn){
		"closed":           func(c net.Conn) { _ = c.Close() },
		"unsolicited data": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			accepted := make(chan net.Conn, 8)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					accepted <- conn
				}
			}()
			dial := func(ctx context.Context) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
			}
			p := New(dial, 2, keep, nil)
			defer p.Close()
			p.Prepare()
			makeUnusable(<-accepted)
			for isIdle := true; isIdle; time.Sleep(time.Millisecond) {
				p.mu.Lock()
				isIdle = len(p.idle) == 0 || isOpenAndIdle(p.idle[0].Conn)
				p.mu.Unlock()
			}
			unusable := p.idle[0]
			conn := get(c, p, 0)
			c.Check(conn, qt.Not(qt.Equals), unusable)
			<-accepted
			conn.Release()
		})
	}
}
