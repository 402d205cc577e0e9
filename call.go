package lacewingramp

import (
	"net/http"
	"time"
)

// Call is the content of a caller's request headers. Key is the credential of the
// customer. Requests with the same Object prefer the same target. Patience is how
// long the caller waits for the response, 0 if it does not state that.
type Call struct {
	ID       string
	Key      string
	Object   string
	Patience time.Duration
}

// Sending is what an instance adds to the headers of a request that it forwards
// to a target. Left is the time until the response is no longer useful. Only
// Target may run the request. Customer is empty on routes that need no key.
type Sending struct {
	Left     time.Duration
	Target   string
	Customer string
}

// Sign is the content of the headers of a target's response. ID is the id of the
// request that the response belongs to. NotRun is set if the target guarantees
// that it did not start the request, and Elsewhere if the address now belongs to
// another target. Load is nil if the target does not report it. Cold is how long
// the target remains slow after its start.
type Sign struct {
	ID        string
	Target    string
	NotRun    bool
	Elsewhere bool
	Load      *Load
	Cold      time.Duration
}

// Load is the number of requests that a target runs and queues, and the number
// of requests that it can run concurrently.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Wire reads and writes the HTTP headers exchanged between callers, instances
// and targets.
type Wire interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) (Call, error)
	// Forward rewrites the headers of a caller's request for a target.
	Forward(h http.Header, s Sending)
	// Sign parses the headers of a target's response.
	Sign(status int, h http.Header) Sign
	// Retry sets the header that tells a caller when to retry.
	Retry(h http.Header, after time.Duration)
	// Echo sets the request id on a response created by the instance itself.
	Echo(h http.Header, id string)
}
