package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lacewingramp.example/lacewingramp"
)

// statuses are the HTTP status of each cause of a refusal.
var statuses = map[lacewingramp.Cause]int{
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

// statusOf returns the HTTP status of a refusal.
func statusOf(c lacewingramp.Cause) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func (h *Handler) refuse(w http.ResponseWriter, _ *http.Request, r *lacewingramp.Refusal) {
	head := w.Header()
	h.sign(head)
	head.Set(HeaderVerdict, r.Verdict.String())
	head.Set(HeaderCause, r.Cause.String())
	head.Set("Content-Type", "application/json")
	if r.Verdict == lacewingramp.NotRun && r.Cause != lacewingramp.CauseKey {
		after := max(1, int(math.Ceil(r.RetryAfter.Seconds())))
		head.Set("Retry-After", strconv.Itoa(after))
	}
	w.WriteHeader(statusOf(r.Cause))
	_ = json.NewEncoder(w).Encode(r)
}

// sign adds what every answer bears. A leaving instance ends connections.
func (h *Handler) sign(head http.Header) {
	if x := h.State.Index(); x != nil {
		head.Set(HeaderRevision, strconv.FormatInt(x.Table.Revision, 10))
	}
	if h.Closed.Load() {
		head.Set("Connection", "close")
	}
}

// answer relays a target's whole answer. Its length is stated, so that one
// cut short never looks whole.
func (h *Handler) answer(w http.ResponseWriter, method string, a *lacewingramp.Answer) {
	head := w.Header()
	for name, values := range forwarded(a.Header, "") {
		head[name] = values
	}
	h.sign(head)
	head.Set(HeaderVerdict, lacewingramp.Ran.String())
	if a.Replayed {
		head.Set("Idempotency-Replayed", "true")
	}
	if method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		head.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// writeTimeout bounds how long a slow caller takes to read its answer.
const writeTimeout = 30 * time.Second
