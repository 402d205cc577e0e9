package lacewingramp

//go:generate stringer -type=Verdict -linecomment

// Verdict states whether a request may have run on a target.
type Verdict uint8

// The verdicts. A request with the verdict NotRun can be retried safely.
const (
	NotRun     Verdict = iota // not-run
	MayHaveRun                // may-have-run
	Ran                       // ran
)

// MarshalText returns the text form of the verdict.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText parses the text form of a verdict and fails on any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for c := NotRun; c <= Ran; c++ {
		if c.String() == string(text) {
			*v = c
			return nil
		}
	}
	return &InvalidValueError{Kind: "verdict", Name: string(text)}
}
