// Package tcpopt sets the options of TCP sockets that bound the bytes which the kernel holds for a process. Bytes that are
// received and not yet read count as memory of the process. By default the kernel holds up to several megabytes of them for each
// connection, and connections that are not accepted yet are not limited by the process at all.
package tcpopt

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelFactor is how many times the requested size the kernel allows for a receive buffer, since it counts its own overhead.
// So many bytes of data may wait at most.
const kernelFactor = 2

// Listen listens on a TCP address. Each connection, from before it is accepted, holds up to receiveBytes of unread data, and up
// to backlog connections wait to be accepted. The error is that of a system call.
func Listen(address string, receiveBytes, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error { return limitReceived(fd, receiveBytes) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// net.Listen uses the limit of the operating system. Listening again changes it.
		err = control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// LimitReceived returns a function for net.Dialer.Control. The connection holds up to receiveBytes of unread data.
func LimitReceived(receiveBytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error { return limitReceived(fd, receiveBytes) })
	}
}

func limitReceived(fd, receiveBytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes/kernelFactor)
}

// GrowReceived lets an open connection hold up to receiveBytes of unread data, which must be more than before. Peers may use
// the room from then on, so it cannot be taken back. The error is that of a system call; the connection stays usable.
func GrowReceived(c syscall.Conn, receiveBytes int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error {
		if err := limitReceived(fd, receiveBytes); err != nil {
			return err
		}
		// The window of a connection stays below the size that its buffer had at first unless this is raised too.
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, receiveBytes/kernelFactor)
	})
}

// control calls f with the descriptor of a socket.
func control(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
