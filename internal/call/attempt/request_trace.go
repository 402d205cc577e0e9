package attempt

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// connection is a connection of the transport, which passes it on to the next request as soon as an
// answer without a body has arrived. inUse is held until that answer has been checked.
type connection struct {
	message.Conn
	inUse sync.Mutex
}

// dial opens a connection to a target.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	socket, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: message.Conn{Conn: socket}}, nil
}

// requestTrace follows a request through the transport: on which connection it is, and whether its
// headers were written. It tells the connection when the request is written, and checks the interim
// responses, which the transport skips.
type requestTrace struct {
	wrote atomic.Bool
	// conn is the connection of the request, and held the same one until it is released.
	conn atomic.Pointer[connection]
	held *connection
	// interimBytes is the size of the headers of the interim responses.
	interimBytes int
}

func (t *requestTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        t.begin,
		WroteHeaders:   func() { t.wrote.Store(true) },
		WroteRequest:   t.end,
		Got1xxResponse: t.checkInterim,
	}
}

// begin begins the request on a connection of dial. The transport calls it again if it sends the
// request once more, on another connection.
func (t *requestTrace) begin(i httptrace.GotConnInfo) {
	t.release()
	conn, ok := i.Conn.(*connection)
	if !ok {
		return
	}
	conn.inUse.Lock()
	conn.BeginRequest()
	t.held = conn
	t.conn.Store(conn)
}

// end ends the request on its connection, also after that was released: an answer may be complete
// before the request is.
func (t *requestTrace) end(i httptrace.WroteRequestInfo) {
	if conn := t.conn.Load(); conn != nil {
		conn.EndRequest(i.Err)
	}
}

var errInterimSize = errors.New("the headers of the interim responses are too large")

// interimOverhead is what an interim response counts besides its fields, in bytes, and each of its
// fields besides its name and value.
const interimOverhead = 32

func (t *requestTrace) checkInterim(_ int, h textproto.MIMEHeader) error {
	t.interimBytes += interimOverhead
	for name, values := range h {
		for _, v := range values {
			t.interimBytes += len(name) + len(v) + interimOverhead
		}
	}
	if t.interimBytes > maxHeaderLen {
		return errInterimSize
	}
	return message.CheckFields(http.Header(h))
}

// closeConnection closes the connection, which no other request has got yet.
func (t *requestTrace) closeConnection() {
	if t.held != nil {
		_ = t.held.Close()
	}
}

// release lets the next request have the connection.
func (t *requestTrace) release() {
	if t.held != nil {
		t.held.inUse.Unlock()
		t.held = nil
	}
}
