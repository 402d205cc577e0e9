package lacewingramp

//go:generate stringer -type=Cause -linecomment

// Cause names the rule under which a request was refused.
type Cause uint8

// The causes of a refusal.
const (
	CauseNone     Cause = iota // none
	CauseRoute                 // route
	CauseKey                   // key
	CauseStale                 // stale
	CauseRate                  // rate
	CauseCap                   // cap
	CauseSlots                 // slots
	CauseDeadline              // deadline
	CausePoison                // poison
	CauseRepeat                // repeat
	CauseSize                  // size
	CauseTarget                // target
	CausePeer                  // peer
	CauseStopping              // stopping
	CauseTable                 // table
	CausePaused                // paused
	CauseLink                  // link
	CauseLeft                  // left
	causeEnd                   // end
)

// MarshalText returns the cause's name.
func (c Cause) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText reads a cause's name and fails on any other text.
func (c *Cause) UnmarshalText(text []byte) error {
	for d := CauseNone; d < causeEnd; d++ {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &NameError{Kind: "cause", Name: string(text)}
}
