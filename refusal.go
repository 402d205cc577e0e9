package lacewingramp

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the error returned for a request that has no response from a target.
//
// Verdict states whether the request may have run. A Refusal with the verdict
// NotRun guarantees that no target started the request. RetryAfter is the time after
// which the caller should retry.
type Refusal struct {
	Verdict    Verdict       `json:"verdict"`
	Cause      Cause         `json:"cause"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
}

// Error formats the cause, the detail and the verdict in one line.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s, %s", r.Cause, r.Verdict)
	}
	return fmt.Sprintf("refused: %s (%s), %s", r.Cause, r.Detail, r.Verdict)
}

// NewRefusal returns a Refusal with the verdict NotRun.
func NewRefusal(cause Cause, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Cause: cause, Detail: detail}
}

// RefusalOf returns the Refusal that err wraps. For any other error it returns a
// Refusal with the verdict MayHaveRun.
func RefusalOf(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Verdict: MayHaveRun, Cause: CauseTarget, Detail: err.Error()}
}

// InvalidValueError is returned for an unknown name of an enum, and for a message
// with an invalid value.
type InvalidValueError struct {
	Kind string
	Name string
}

// Error formats the kind and the invalid value, of which it shows a part if it is long.
func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("invalid %s %.100q", e.Kind, e.Name)
}
