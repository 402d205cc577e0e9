package lacewingramp

import "time"

// TokenRequest requests one token of a customer's limit from the instance that keeps
// the customer's token pool (internal/limit/pool).
type TokenRequest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
}

// TokenReply is the reply to the TokenRequest with the same id. Granted is set if a
// token was granted. If not, RetryAfter is the time until the pool has one again.
type TokenReply struct {
	ID         uint64        `cbor:"1,keyasint"`
	Granted    bool          `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Datagram is a message that instances exchange over UDP. Exactly one field is
// set.
type Datagram struct {
	Heartbeat    *Heartbeat    `cbor:"1,keyasint,omitempty"`
	TokenRequest *TokenRequest `cbor:"2,keyasint,omitempty"`
	TokenReply   *TokenReply   `cbor:"3,keyasint,omitempty"`
}

// Check returns an error for a datagram that no instance sends.
func (d *Datagram) Check() error {
	switch {
	case d.Heartbeat != nil:
		return d.Heartbeat.Check()
	case d.TokenRequest != nil && d.TokenRequest.Customer == "":
		return &InvalidValueError{Kind: "customer", Name: d.TokenRequest.Customer}
	case d.TokenReply != nil && d.TokenReply.RetryAfter < 0:
		return &InvalidValueError{Kind: "retry-after", Name: d.TokenReply.RetryAfter.String()}
	case d.TokenRequest == nil && d.TokenReply == nil:
		return &InvalidValueError{Kind: "datagram", Name: "empty"}
	}
	return nil
}
