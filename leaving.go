package lacewingramp

// LeavingTarget names an incarnation of a target that has said in a response that it is
// leaving. Instances tell each other of it, as its registration may say so later or never.
type LeavingTarget struct {
	Target string `cbor:"1,keyasint" json:"target"`
	// StartMillis is when the incarnation started, in milliseconds since 1970.
	StartMillis int64 `cbor:"2,keyasint" json:"start"`
}

// Check returns an error for a LeavingTarget that no instance sends.
func (l *LeavingTarget) Check() error {
	if l.Target == "" {
		return &InvalidValueError{Kind: "leaving target", Name: l.Target}
	}
	return nil
}
