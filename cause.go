package lacewingramp

//go:generate stringer -type=Cause -linecomment

// Cause is the reason why a request was refused.
type Cause uint8

// The causes of a refusal. The comment after each constant is its text form.
//
//   - CauseRoute: no route matches the request
//   - CauseKey: the key is missing or unknown
//   - CauseUnconfirmed: key revocations could not be confirmed for longer than the
//     route allows
//   - CauseRate: the customer exceeds its rate
//   - CauseCap: a cap of the region is reached
//   - CauseSlots: all targets are at their concurrency limit
//   - CauseDeadline: the deadline passed
//   - CausePoison: earlier requests with the same fingerprint crashed their targets
//   - CauseIdempotency: the idempotency key conflicts with an earlier request
//   - CauseSize: the request or the response is too large
//   - CauseTarget: a target could not be reached or gave no complete response
//   - CausePeer: another instance could not be reached or gave no response
//   - CauseStopping: the instance is stopping
//   - CauseTable: the instance has no Table yet, or the Table does not define the
//     limit that the request counts against
//   - CauseSuspended: the process was paused, and it is not yet confirmed that the
//     instance still holds its shards
//   - CauseLink: the bandwidth of a link is used up
//   - CauseCallerGone: the caller closed its connection
const (
	CauseNone        Cause = iota // none
	CauseRoute                    // route
	CauseKey                      // key
	CauseUnconfirmed              // stale
	CauseRate                     // rate
	CauseCap                      // cap
	CauseSlots                    // slots
	CauseDeadline                 // deadline
	CausePoison                   // poison
	CauseIdempotency              // repeat
	CauseSize                     // size
	CauseTarget                   // target
	CausePeer                     // peer
	CauseStopping                 // stopping
	CauseTable                    // table
	CauseSuspended                // paused
	CauseLink                     // link
	CauseCallerGone               // left
	causeEnd                      // end
)

// MarshalText returns the text form of the cause.
func (c Cause) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses the text form of a cause and fails on any other text.
func (c *Cause) UnmarshalText(text []byte) error {
	for d := CauseNone; d < causeEnd; d++ {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &InvalidValueError{Kind: "cause", Name: string(text)}
}
