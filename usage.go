package lacewingramp

import (
	"context"
	"errors"
)

// UsageDuty announces the holder of the duty of usage reports in its heartbeats. Token is its
// fencing token, the highest of which wins, and StandBy the name of the instance that is to
// succeed it, "" if there is none.
type UsageDuty struct {
	Token   int64  `cbor:"1,keyasint"`
	StandBy string `cbor:"2,keyasint,omitempty"`
}

// UsageCounts are the counts of the requests of each customer that targets began, as the instance
// of the Heartbeat in the same Datagram has sent them. They are cumulative: those with the
// highest Sequence of an instance's run replace all earlier ones of the same windows. Fingerprint
// is that of the customers' names to which the counts refer.
type UsageCounts struct {
	Sequence    uint64        `cbor:"1,keyasint"`
	Fingerprint uint64        `cbor:"2,keyasint"`
	Windows     []UsageWindow `cbor:"3,keyasint"`
}

// UsageWindow is one window of UsageCounts. Settled is set if no request in flight can change
// the counts any more. Counts are by the position of the customer, and Others by name for those
// that are no longer in the table.
type UsageWindow struct {
	ID      int64             `cbor:"1,keyasint"`
	Settled bool              `cbor:"2,keyasint,omitempty"`
	Counts  []byte            `cbor:"3,keyasint,omitempty"`
	Others  map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Limits of UsageCounts, which no instance exceeds.
const (
	MaxUsageWindows = 8
	// MaxUsageCount is the highest count of a customer at one instance in a window.
	MaxUsageCount = 10_000_000
	// MaxUsageOthers is the highest number of customers of a window that are given by name.
	MaxUsageOthers = 1_000
)

// Check returns an error for counts that no instance sends.
func (u *UsageCounts) Check() error {
	valid := len(u.Windows) <= MaxUsageWindows
	for _, w := range u.Windows {
		valid = valid && w.ID > 0 && len(w.Others) <= MaxUsageOthers
		for _, n := range w.Others {
			valid = valid && n <= MaxUsageCount
		}
	}
	if !valid {
		return &InvalidValueError{Kind: "usage counts"}
	}
	return nil
}

// Keys of the store for the duty of usage reports. The keys of reports end with the window.
const (
	KeyUsageDuty    = "lacewingramp/duty/usage"
	KeyUsageReports = "lacewingramp/duty/usage/report/"
	// KeyUsageEpoch holds the time from which on no holder of an earlier epoch of the store has
	// acted.
	KeyUsageEpoch = "lacewingramp/duty/usage/epoch"
)

// ErrTooManyCalls is returned if the platform refused a call because of its rate.
var ErrTooManyCalls = errors.New("too many calls to the platform")

// ErrNoConnection is returned together with ErrUnreachable if the platform did not respond at all
// when a connection to it was opened, so that the way to it may be cut.
var ErrNoConnection = errors.New("no connection to the platform")

// UsageCall is one call with a report. MayWrite is asked just before anything is written.
type UsageCall struct {
	Token    int64
	Body     []byte
	MayWrite func() bool
}

// UsagePlatform takes usage reports.
type UsagePlatform interface {
	// EncodeReport returns the body of the report of a window.
	EncodeReport(window int64, counts map[string]uint64) ([]byte, error)
	// SendReport sends a report. ctx needs a deadline, after which nothing of the call may arrive
	// at the platform. It returns nil if the report was accepted, ErrTooManyCalls, ErrUnreachable
	// if it was not sent, or ErrUnknownOutcome.
	SendReport(ctx context.Context, call UsageCall) error
}
