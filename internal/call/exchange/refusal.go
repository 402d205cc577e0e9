package exchange

import (
	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// isRefusal reports whether a response says that the request has not run.
func isRefusal(h lacewingramp.ResponseHeaders) bool {
	return h.NotRun || h.WrongTarget
}

// refusedInHead reports whether the head of a response, whose body could not be read, says that
// the request with an ID has not run.
func (c *Client) refusedInHead(resp *message.Response, id string) bool {
	if resp == nil || id == "" {
		return false
	}
	h := c.HeaderCodec.ResponseHeaders(resp.Status, resp.Header)
	return h.ID == id && isRefusal(h)
}

// refusedUntilClose reports whether the head of a response, whose body should have ended with the
// connection and could not be read, says that the request has not run. A target that refuses a long
// upload ends its response so. It returns what the head says.
func (c *Client) refusedUntilClose(conn *connection, req TargetRequest, resp *message.Response) (lacewingramp.ResponseHeaders, bool) {
	if resp == nil || !resp.UntilClose {
		return lacewingramp.ResponseHeaders{}, false
	}
	h := c.HeaderCodec.ResponseHeaders(resp.Status, resp.Header)
	isOther := h.ID != "" && h.ID != req.ID
	return h, isRefusal(h) && !isOther && !conn.lacksID(req, h)
}
