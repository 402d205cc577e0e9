package lacewingramp

import (
	"strconv"
	"time"
)

// RelayedRequest accompanies a caller's request that an instance which reaches no target
// relays to another instance. The instance that receives it runs it or refuses it, and
// never relays it further.
//
// Revision is that of the sender's Table. Remaining is the time until the deadline,
// counted from when the request was sent. Attempts is the number of targets that it was
// sent to, and Tried names the targets that were chosen for it, reached or not.
type RelayedRequest struct {
	Revision  int64         `json:"revision"`
	Remaining time.Duration `json:"remaining"`
	Attempts  int           `json:"attempts,omitempty"`
	Tried     []string      `json:"tried,omitempty"`
}

// Check returns an error for a relayed request that no instance sends.
func (r *RelayedRequest) Check() error {
	if r.Revision < 0 || r.Remaining < 0 || r.Attempts < 0 {
		return &InvalidValueError{Kind: "relayed request", Name: strconv.FormatInt(r.Revision, 10)}
	}
	return nil
}
