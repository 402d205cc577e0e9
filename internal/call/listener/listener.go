// Package listener opens TCP listeners whose connections cannot fill the memory of the process
// with bytes that it has not read. The kernel keeps such bytes for each connection up to its
// receive window, also before the connection is accepted.
//
// # Usage
//
//	l, err := listener.Listen("10.1.0.23:8389", backlog, onUnbounded)
//	c, err := l.Accept()
//	...
//	err = listener.Widen(c) // a large body arrives on it
package listener

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	// receiveBuffer is the size that is set for the receive buffer of each connection, and
	// wideReceiveBuffer that of a connection on which a large body arrives, in bytes. The
	// kernel keeps up to twice as much.
	receiveBuffer     = 8 << 10
	wideReceiveBuffer = 256 << 10
	// QueueBytes is the maximum of the bytes that a connection has received and the process
	// has not read.
	QueueBytes = 2 * receiveBuffer
	// WideQueueBytes is the same of a widened connection.
	WideQueueBytes = 2 * wideReceiveBuffer
)

// Listen listens at an IPv4 address with a port. backlog is the maximum number of connections
// that wait to be accepted. onUnbounded is called if the system does not let the connections or
// their bytes be bounded; the listener works all the same.
func Listen(address string, backlog int, onUnbounded func(error)) (net.Listener, error) {
	// Connections inherit the buffer of their listener.
	c := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		if err := setReceiveBuffer(conn, receiveBuffer); err != nil {
			onUnbounded(err)
		}
		return nil
	}}
	l, err := c.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if err := setBacklog(l, backlog); err != nil {
		onUnbounded(err)
	}
	return l, nil
}

// setBacklog replaces the backlog of a listener, which package net sets to the maximum.
func setBacklog(l net.Listener, n int) error {
	return control(l, "set the backlog", func(fd int) error { return syscall.Listen(fd, n) })
}

// Widen lets a connection receive WideQueueBytes ahead of the process. The connection is not
// changed if it is no TCP connection.
func Widen(c net.Conn) error {
	return control(c, "widen the receive window", func(fd int) error {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, wideReceiveBuffer); err != nil {
			return err
		}
		// The small buffer has left its bound on the window.
		return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, wideReceiveBuffer)
	})
}

func setReceiveBuffer(conn syscall.RawConn, n int) error {
	return controlRaw(conn, "set the receive buffer", func(fd int) error {
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
	})
}

// control calls f with the descriptor of a socket, if there is one.
func control(socket any, doing string, f func(fd int) error) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	conn, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, doing)
	}
	return controlRaw(conn, doing, f)
}

func controlRaw(conn syscall.RawConn, doing string, f func(fd int) error) error {
	var failed error
	if err := conn.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return errors.Wrap(err, doing)
	}
	if failed != nil {
		return errors.Wrap(failed, doing)
	}
	return nil
}
