package lacewingramp

import (
	"net/http"
	"time"
)

// CallerHeaders is the content of a caller's request headers. Key is the credential
// of the customer. Requests with the same Object prefer the same target. Timeout is
// how long the caller waits for the response, 0 if it does not state that.
type CallerHeaders struct {
	ID      string
	Key     string
	Object  string
	Timeout time.Duration
}

// TargetHeaders is what an instance adds to the headers of a request that it forwards
// to a target. TimeLeft is the time until the response is no longer useful. Only
// Target may run the request. Customer is empty on routes that need no key.
type TargetHeaders struct {
	TimeLeft time.Duration
	Target   string
	Customer string
}

// ResponseHeaders is the content of the headers of a target's response. ID is the
// id of the request that the response belongs to. NotRun is set if the target
// guarantees that it did not start the request, and WrongTarget if the address now
// belongs to another target. Load is nil if the target does not report it. Cold is
// how long the target remains slow after its start.
type ResponseHeaders struct {
	ID          string
	Target      string
	NotRun      bool
	WrongTarget bool
	Load        *Load
	Cold        time.Duration
}

// Load is the number of requests that a target runs and queues, and the number
// of requests that it can run concurrently.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// HeaderCodec reads and writes the HTTP headers exchanged between callers, instances
// and targets.
type HeaderCodec interface {
	// CallerHeaders parses the headers of a caller's request.
	CallerHeaders(h http.Header) (CallerHeaders, error)
	// SetTargetHeaders rewrites the headers of a caller's request for a target.
	SetTargetHeaders(h http.Header, t TargetHeaders)
	// ResponseHeaders parses the headers of a target's response.
	ResponseHeaders(status int, h http.Header) ResponseHeaders
	// SetRetryAfter sets the header that tells a caller when to retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the request id on a response created by the instance itself.
	SetRequestID(h http.Header, id string)
}
