package lacewingramp

import (
	"net/http"
	"time"
)

// Call is what a caller's headers say. Patience is how long the caller waits,
// 0 where it does not say. Object is the thing that the request concerns.
type Call struct {
	ID       string
	Key      string
	Object   string
	Patience time.Duration
}

// Sending is what an instance tells a target about a request. Left is the
// time until the answer is of no use. Target is the only target that may run
// it. Customer is empty on open routes.
type Sending struct {
	Left     time.Duration
	Target   string
	Customer string
}

// Sign is what the headers of a target's answer say. ID is that of the request
// it belongs to. NotRun is a promise that the target did not start the request,
// and Elsewhere that another target has the address. Load is nil where the
// target does not tell it. Cold is how long the target stays slow.
type Sign struct {
	ID        string
	Target    string
	NotRun    bool
	Elsewhere bool
	Load      *Load
	Cold      time.Duration
}

// Load is how many requests a target runs, how many wait there and how many
// it can run at a time.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Wire is the headers in which callers, instances and targets talk.
type Wire interface {
	// Call reads a caller's headers.
	Call(h http.Header) (Call, error)
	// Forward changes a caller's headers to those for a target.
	Forward(h http.Header, s Sending)
	// Sign reads the headers of a target's answer.
	Sign(status int, h http.Header) Sign
	// Retry tells a caller when to come back.
	Retry(h http.Header, after time.Duration)
	// Echo gives an instance's own answer the id of its request.
	Echo(h http.Header, id string)
}
