package lacewingramp

import (
	"net/http"
	"time"
)

// Carry is a request on its way from the instance that its caller asked to
// the instance that runs it. It holds no key of the caller.
//
// Left is the time until the deadline, counted from when the message was
// sent, so that no clock is compared with another. Repeat is the caller's
// idempotency key.
type Carry struct {
	ID       string        `json:"id"`
	Revision int64         `json:"revision"`
	Customer string        `json:"customer,omitempty"`
	Route    string        `json:"route"`
	Method   string        `json:"method"`
	URI      string        `json:"uri"`
	Header   http.Header   `json:"header,omitempty"`
	Body     []byte        `json:"body,omitempty"`
	Left     time.Duration `json:"left"`
	Repeat   string        `json:"repeat,omitempty"`
	Hops     int           `json:"hops"`
	// Hasty asks for a refusal at once where there is no free slot.
	Hasty bool `json:"hasty,omitempty"`
	// Home asks for the idempotency record of Repeat to be kept here.
	Home bool `json:"home,omitempty"`
}

// MaxHops is how many instances a request may pass after the first.
const MaxHops = 3

// Check reports a message that no instance sends.
func (c *Carry) Check() error {
	if c.ID == "" || c.Route == "" || c.Method == "" {
		return &NameError{Kind: "request", Name: c.ID}
	}
	if c.Hops > MaxHops || c.Left < 0 {
		return &NameError{Kind: "request", Name: c.ID}
	}
	return nil
}

// Answer is what came back for a Carry: the whole answer of a target, or a
// Refusal.
type Answer struct {
	ID      string      `json:"id"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Target  string      `json:"target,omitempty"`
	Refusal *Refusal    `json:"refusal,omitempty"`
	// Again says that the answer is that of an earlier request with the same
	// idempotency key.
	Again bool `json:"again,omitempty"`
}

// Check reports an answer that is neither an answer nor a refusal.
func (a *Answer) Check() error {
	if a.Refusal == nil && a.Status == 0 {
		return &NameError{Kind: "answer", Name: a.ID}
	}
	return nil
}
