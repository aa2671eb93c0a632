package tcpopt

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	receiveBytes = 8 << 10
	backlog      = 4
)

func listen(t *testing.T) net.Listener {
	l, err := Listen("127.0.0.1:0", receiveBytes, backlog)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// fill connects and writes until the kernel accepts no more.
func fill(t *testing.T, l net.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	write(t, c)
	return c
}

func write(t *testing.T, c net.Conn) {
	qt.Assert(t, c.SetDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
	for {
		if _, err := c.Write(make([]byte, 16<<10)); err != nil {
			return
		}
	}
}

// unread returns the bytes that wait to be read.
func unread(t *testing.T, c net.Conn) int {
	raw, err := c.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	waiting := 0
	err = control(raw, func(fd int) (err error) {
		waiting, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return waiting
}

// Guards against connections whose unread data has no bound, before and after they are accepted and their buffer has grown.
func TestUnreadBytesAreBounded(t *testing.T) {
	l := listen(t)
	client := fill(t, l)
	c, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	waiting := unread(t, c)
	qt.Assert(t, waiting > 0 && waiting <= receiveBytes, qt.IsTrue, qt.Commentf("%d bytes", waiting))

	const grown = 8 * receiveBytes
	qt.Assert(t, GrowReceived(c.(*net.TCPConn), grown), qt.IsNil)
	_, err = c.Read(make([]byte, 2*receiveBytes)) // the peer learns of the room
	qt.Assert(t, err, qt.IsNil)
	write(t, client)
	waiting = unread(t, c)
	qt.Assert(t, waiting > 2*receiveBytes && waiting <= grown, qt.IsTrue, qt.Commentf("%d bytes", waiting))
}

// Guards against connections to leaves whose unread data has no bound.
func TestDialedConnectionIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	dialer := net.Dialer{Control: LimitReceived(receiveBytes)}
	c, err := dialer.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	peer, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer peer.Close()
	write(t, peer)
	waiting := unread(t, c)
	qt.Assert(t, waiting > 0 && waiting <= receiveBytes, qt.IsTrue, qt.Commentf("%d bytes", waiting))
}

// Guards against a backlog as long as the operating system allows, whose connections hold memory of the process.
func TestBacklogIsBounded(t *testing.T) {
	l := listen(t)
	opened := 0
	for range 4 * backlog {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		opened++
	}
	qt.Assert(t, opened, qt.Equals, backlog+1) // the kernel allows one more
}
