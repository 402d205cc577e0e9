package exchange

import (
	"errors"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// proveTimeout is how long a target has to respond to the request that proves a connection. It
// leaves time for another target.
const proveTimeout = 500 * time.Millisecond

// provePrefix precedes the ID of the request in the ID of the one that proves its connection,
// so that a repeated response to the latter is not taken for one to the request.
const provePrefix = "prove-"

// ErrNotProven means that a target has responded to a proof in a way that leaves the connection
// unusable, such as with the announcement to close it. It has not reset the connection.
var ErrNotProven = errors.New("the target did not respond properly on the connection to be proven")

var errClosedEarly = errors.New("the target closed the new connection")

// prove returns an error if the target does not serve the connection, as far as can be known
// before the request is written.
func (c *Client) prove(conn *connection, opened bool, req TargetRequest) error {
	if req.Prove == nil || (!opened && conn.carries(req.NonIdempotent)) {
		if opened && req.DetectRefusals && closedByTarget(conn.Conn) {
			return errClosedEarly
		}
		return nil
	}
	id := provePrefix + req.ID
	h := make(http.Header, 1)
	c.HeaderCodec.SetRequestID(h, id)
	_ = conn.SetDeadline(time.Now().Add(proveTimeout))
	if _, err := conn.Write(message.AppendRequest(nil, req.Prove, h)); err != nil {
		return err
	}
	resp, err := conn.reader.Response(req.Prove.Method)
	if err != nil {
		return err
	}
	defer resp.Release()
	headers := c.HeaderCodec.ResponseHeaders(resp.Status, resp.Header)
	if resp.Close || (headers.ID != "" && headers.ID != id) || conn.reader.Buffered() > 0 {
		return ErrNotProven
	}
	conn.record(headers)
	// A response to a health check may have no ID. A repeated one must not be taken for the
	// response to the request.
	conn.sendsIDs = true
	return conn.SetDeadline(time.Time{})
}
