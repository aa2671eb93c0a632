package connpool

import (
	"net"
	"syscall"
)

// isOpenAndIdle reports whether a connection is open and holds no unread data from the peer.
func isOpenAndIdle(c net.Conn) bool {
	connection, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return idle
}
