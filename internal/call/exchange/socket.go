package exchange

import (
	"errors"
	"syscall"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// openWithoutInput reports whether a connection is open and has no unread bytes.
func openWithoutInput(conn *message.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// closedByTarget reports whether the target is known to have closed or reset a connection.
func closedByTarget(conn *message.Conn) bool {
	n, err := peek(conn)
	return (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
}

// peek returns the number of unread bytes of a connection, at most 1, or the error of reading
// them without waiting. It is 0 without an error at the end of the input.
func peek(conn *message.Conn) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
