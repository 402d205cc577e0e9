package message

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a connection on which requests are written and their responses are read. It keeps a
// response that ends with its connection from looking whole if the request was not written whole.
//
// A body without a length or chunks ends where the input does. If a connection fails while a
// request is being written, the write that fails takes the socket's error, and a read then finds
// what had arrived and an ordinary end. Read returns the error of the write instead of that end.
//
// Whoever reads while a request is still being written calls BeginRequest before it and EndRequest
// after it. Read then reports no end of the input before it is known whether the request was written.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// request is closed at the end of the request that is being written, nil if there is none.
	request  chan struct{}
	writeErr error
	closed   bool
}

// errNotSocket is returned for a connection that is not one of the operating system.
var errNotSocket = errors.New("not a socket")

// BeginRequest says that a request is about to be written.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.request = make(chan struct{})
	}
}

// EndRequest says that the request has been written, or the error with which that has failed.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	if c.request != nil {
		close(c.request)
		c.request = nil
	}
}

// fail records the first error of a write. The caller must hold c.mu.
func (c *Conn) fail(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Write writes to the connection and records its error.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	return n, err
}

// Read reads from the connection. In place of the end of the input, or of the error that the
// connection has been closed, it returns the error of a write that has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		return n, err
	}
	if writeErr := c.written(); writeErr != nil {
		return n, writeErr
	}
	return n, err
}

// written waits for the end of the request that is being written, and returns the error of a write
// that has failed.
func (c *Conn) written() error {
	c.mu.Lock()
	request := c.request
	c.mu.Unlock()
	if request != nil {
		<-request
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// Close closes the connection. A request that is being written then ends with an error.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.EndRequest(net.ErrClosed)
	return c.Conn.Close()
}

// SyscallConn returns the socket of the connection, or errNotSocket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}
	return s.SyscallConn()
}
