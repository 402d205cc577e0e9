package lacewingramp

import (
	"math"
	"strconv"
	"time"
)

// TokenTimeout limits the wait for a TokenReply. It covers the round trip to another
// region.
const TokenTimeout = 150 * time.Millisecond

// TokenRequest requests one token of a customer's limit from the instance that keeps
// the customer's token pool (internal/limit/pool).
type TokenRequest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
}

// TargetTokenRequest requests permission to send one request to a target whose request
// rate is limited, from the instance that owns the rate (internal/steer/placement).
//
// StartMillis identifies the incarnation of the target. Cold is set if the sender takes
// the target for cold. Limit is what the sender knows of the target's own limit.
type TargetTokenRequest struct {
	ID          uint64      `cbor:"1,keyasint"`
	Target      string      `cbor:"2,keyasint"`
	StartMillis int64       `cbor:"3,keyasint"`
	Cold        bool        `cbor:"4,keyasint,omitempty"`
	Limit       TargetLimit `cbor:"5,keyasint"`
}

// TargetLimit is the limit that a target has named in its responses: Rate in requests
// per second for all instances together, 0 if it names none. Age is the time since it
// was last received. It is 0 if it never was.
type TargetLimit struct {
	Rate float64       `cbor:"1,keyasint,omitempty"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
}

// Check returns an error for a limit that no instance sends.
func (l TargetLimit) Check() error {
	if !(l.Rate >= 0) || math.IsInf(l.Rate, 1) || l.Age < 0 {
		return &InvalidValueError{Kind: "limit", Name: strconv.FormatFloat(l.Rate, 'g', -1, 64)}
	}
	return nil
}

// TokenReply is the reply to the TokenRequest or TargetTokenRequest with the same id.
// Granted is set if a token was granted. If not, RetryAfter is the time until there is
// one again. Limit is what the sender knows of the limit of the target.
type TokenReply struct {
	ID         uint64        `cbor:"1,keyasint"`
	Granted    bool          `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Limit      TargetLimit   `cbor:"4,keyasint"`
}

// check returns an error for a reply that no instance sends.
func (r *TokenReply) check() error {
	if r.RetryAfter < 0 {
		return &InvalidValueError{Kind: "retry-after", Name: r.RetryAfter.String()}
	}
	return r.Limit.Check()
}

// check returns an error for a request that no instance sends.
func (r *TargetTokenRequest) check() error {
	if r.Target == "" {
		return &InvalidValueError{Kind: "target", Name: r.Target}
	}
	return r.Limit.Check()
}

// Datagram is a message that instances exchange over UDP. Exactly one field is
// set, except that UsageCounts come with the Heartbeat of their sender. Earlier versions of the
// program ignore the UsageCounts.
type Datagram struct {
	Heartbeat    *Heartbeat    `cbor:"1,keyasint,omitempty"`
	TokenRequest *TokenRequest `cbor:"2,keyasint,omitempty"`
	TokenReply   *TokenReply   `cbor:"3,keyasint,omitempty"`

	TargetTokenRequest *TargetTokenRequest `cbor:"4,keyasint,omitempty"`
	UsageCounts        *UsageCounts        `cbor:"5,keyasint,omitempty"`
}

// Check returns an error for a datagram that no instance sends.
func (d *Datagram) Check() error {
	if d.UsageCounts != nil {
		if err := d.UsageCounts.Check(); err != nil {
			return err
		}
	}
	switch {
	case d.Heartbeat != nil:
		return d.Heartbeat.Check()
	case d.TokenRequest != nil && d.TokenRequest.Customer == "":
		return &InvalidValueError{Kind: "customer", Name: d.TokenRequest.Customer}
	case d.TokenReply != nil:
		return d.TokenReply.check()
	case d.TargetTokenRequest != nil:
		return d.TargetTokenRequest.check()
	case d.TokenRequest == nil:
		return &InvalidValueError{Kind: "datagram", Name: "empty"}
	}
	return nil
}
