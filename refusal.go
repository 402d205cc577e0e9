package lacewingramp

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the error of a request that got no answer from a target.
//
// Verdict says whether the request may have run. A Refusal whose Verdict is
// NotRun is a promise that no target started the request.
type Refusal struct {
	Verdict Verdict       `json:"verdict"`
	Cause   Cause         `json:"cause"`
	Detail  string        `json:"detail,omitempty"`
	After   time.Duration `json:"after,omitempty"`
}

// Error returns the verdict, the cause and the detail in one line.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s, %s", r.Cause, r.Verdict)
	}
	return fmt.Sprintf("refused: %s (%s), %s", r.Cause, r.Detail, r.Verdict)
}

// Refuse returns a Refusal of a request that did not run.
func Refuse(cause Cause, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Cause: cause, Detail: detail}
}

// RefusalOf finds the Refusal in err. An error of any other kind is taken as
// one that may have run.
func RefusalOf(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Verdict: MayHaveRun, Cause: CauseTarget, Detail: err.Error()}
}

// NameError reports a name that is none of an enum's names.
type NameError struct {
	Kind string
	Name string
}

// Error returns the kind and the unknown name.
func (e *NameError) Error() string {
	return fmt.Sprintf("unknown %s %q", e.Kind, e.Name)
}
