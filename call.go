package lacewingramp

import (
	"net/http"
	"time"
)

// CallerHeaders is the content of a caller's request headers. Key is the credential
// of the customer. Object is the affinity key: requests with the same Object are
// sent to the same target if possible. Timeout is how long the caller waits for the
// response, 0 if the request does not state it.
type CallerHeaders struct {
	ID      string
	Key     string
	Object  string
	Timeout time.Duration
}

// TargetHeaders is what an instance adds to the headers of a request that it forwards
// to a target. Remaining is the time until the response is no longer useful. Target
// is the name of the only target that may run the request, as its address may have
// passed to another one. Customer is empty on routes that need no key.
type TargetHeaders struct {
	Remaining time.Duration
	Target    string
	Customer  string
}

// ResponseHeaders is the content of the headers of a target's response. ID is the
// id of the request that the response belongs to. NotRun is set if the target
// guarantees that it did not start the request, and WrongTarget if the address now
// belongs to another target. TargetLoad is nil if the target does not report it.
// WarmupRemaining is for how much longer the target is slow because it started
// recently. RateLimit is the maximum rate at which the target accepts requests from all
// instances together, in requests per second, nil if it names none or if
// InvalidRateLimit is set, which says that the value cannot be used. Leaving is set if the
// target says that it is leaving, and InvalidLeaving if it says something of this that
// cannot be understood, which counts as nothing. RetryAfter is for how long a target that
// refuses the request wants no other one, 0 if it does not say, and InvalidRetryAfter says
// that it cannot be understood.
type ResponseHeaders struct {
	ID              string
	Target          string
	NotRun          bool
	WrongTarget     bool
	TargetLoad      *TargetLoad
	WarmupRemaining time.Duration

	RateLimit        *float64
	InvalidRateLimit bool

	Leaving        bool
	InvalidLeaving bool

	RetryAfter        time.Duration
	InvalidRetryAfter bool
}

// TargetLoad is the load that a target reports: the number of requests that it runs
// (Running), that it queues (Waiting) and that it can run concurrently (Slots).
// WorkPercent is how long work takes there at the moment, as a percentage of what is usual,
// 0 if the target does not report it.
type TargetLoad struct {
	Running     int
	Waiting     int
	Slots       int
	WorkPercent int
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
