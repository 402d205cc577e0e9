package lacewingramp

//go:generate stringer -type=Verdict -linecomment

// Verdict tells whether a request may have run on a target.
type Verdict uint8

// The verdicts, from safe to repeat to finished.
const (
	NotRun     Verdict = iota // not-run
	MayHaveRun                // may-have-run
	Ran                       // ran
)

// MarshalText returns the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads a verdict's name and fails on any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for c := NotRun; c <= Ran; c++ {
		if c.String() == string(text) {
			*v = c
			return nil
		}
	}
	return &NameError{Kind: "verdict", Name: string(text)}
}
