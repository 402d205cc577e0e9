package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lacewingramp.example/lacewingramp"
)

// statusByCause maps the cause of a refusal to its HTTP status. The status of all other
// causes is 503.
var statusByCause = map[lacewingramp.Cause]int{
	lacewingramp.CauseRoute:       http.StatusNotFound,
	lacewingramp.CauseKey:         http.StatusUnauthorized,
	lacewingramp.CauseUnconfirmed: http.StatusForbidden,
	lacewingramp.CauseRate:        http.StatusTooManyRequests,
	lacewingramp.CauseDeadline:    http.StatusGatewayTimeout,
	lacewingramp.CausePoison:      http.StatusUnprocessableEntity,
	lacewingramp.CauseIdempotency: http.StatusConflict,
	lacewingramp.CauseSize:        http.StatusRequestEntityTooLarge,
	lacewingramp.CauseTarget:      http.StatusBadGateway,
	lacewingramp.CausePeer:        http.StatusBadGateway,
}

// statusOf returns the HTTP status for the cause of a refusal.
func statusOf(c lacewingramp.Cause) int {
	if s, ok := statusByCause[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func (h *Handler) writeRefusal(w http.ResponseWriter, _ *http.Request, r *lacewingramp.Refusal) {
	header := w.Header()
	h.setCommonHeaders(header)
	header.Set(HeaderVerdict, r.Verdict.String())
	header.Set(HeaderCause, r.Cause.String())
	header.Set("Content-Type", "application/json")
	if r.Verdict == lacewingramp.NotRun && r.Cause != lacewingramp.CauseKey {
		retryAfter := max(1, int(math.Ceil(r.RetryAfter.Seconds())))
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(statusOf(r.Cause))
	_ = json.NewEncoder(w).Encode(r)
}

// setCommonHeaders sets the headers that all responses share. A leaving instance asks
// the caller to close the connection.
func (h *Handler) setCommonHeaders(header http.Header) {
	if tableIndex := h.State.Index(); tableIndex != nil {
		header.Set(HeaderRevision, strconv.FormatInt(tableIndex.Table.Revision, 10))
	}
	if h.Draining.Load() {
		header.Set("Connection", "close")
	}
}

// writeResponse sends a target's complete response to the caller. It sets
// Content-Length on every response that may have a body, so that the caller can detect
// a truncated one.
func (h *Handler) writeResponse(w http.ResponseWriter, method string, resp *lacewingramp.Response) {
	header := w.Header()
	for name, values := range forwardedHeaders(resp.Header, "") {
		header[name] = values
	}
	h.setCommonHeaders(header)
	header.Set(HeaderVerdict, lacewingramp.Ran.String())
	if resp.Replayed {
		header.Set("Idempotency-Replayed", "true")
	}
	if method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

// writeTimeout is the maximum time that a caller may take to read its response.
const writeTimeout = 30 * time.Second
