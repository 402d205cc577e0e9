package lacewingramp

import (
	"net/http"
	"time"
)

// ForwardRequest is the message that forwards a caller's request from the instance
// that received it to the instance that sends it to a target. It does not contain the
// caller's key.
//
// Remaining is the time until the deadline, counted from when the message was sent.
// It is a duration because the clocks of two instances can differ. IdempotencyKey
// is empty if the caller sent none. Hops is the number of times that the request was
// forwarded, including this one.
type ForwardRequest struct {
	ID             string        `json:"id"`
	Revision       int64         `json:"revision"`
	Customer       string        `json:"customer,omitempty"`
	Route          string        `json:"route"`
	Method         string        `json:"method"`
	URI            string        `json:"uri"`
	Header         http.Header   `json:"header,omitempty"`
	Body           []byte        `json:"body,omitempty"`
	Remaining      time.Duration `json:"left"`
	IdempotencyKey string        `json:"repeat,omitempty"`
	Hops           int           `json:"hops"`
	// FailFast asks for an immediate refusal if no slot is free, instead of queueing.
	FailFast bool `json:"hasty,omitempty"`
	// KeepRecord asks the receiver to keep the idempotency record of the request.
	KeepRecord bool `json:"home,omitempty"`
}

// MaxHops is the maximum number of times that a request is forwarded.
const MaxHops = 3

// Check returns an error for a message that no instance sends.
func (r *ForwardRequest) Check() error {
	if r.ID == "" || r.Route == "" || r.Method == "" {
		return &InvalidValueError{Kind: "request", Name: r.ID}
	}
	if r.Hops > MaxHops || r.Remaining < 0 {
		return &InvalidValueError{Kind: "request", Name: r.ID}
	}
	return nil
}

// Response is the reply to a ForwardRequest: either the complete response of a
// target, or a Refusal.
type Response struct {
	ID      string      `json:"id"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Target  string      `json:"target,omitempty"`
	Refusal *Refusal    `json:"refusal,omitempty"`
	// Replayed is set if this is the stored response to an earlier request with the
	// same idempotency key.
	Replayed bool `json:"again,omitempty"`
}

// Check returns an error for a reply that holds neither a response nor a refusal.
func (r *Response) Check() error {
	if r.Refusal == nil && r.Status == 0 {
		return &InvalidValueError{Kind: "answer", Name: r.ID}
	}
	return nil
}
