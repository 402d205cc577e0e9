package lacewingramp

// SlowTarget names a target that an instance suspects to be slow. Instances tell each other of
// it, as each of them gets few responses of a target.
type SlowTarget struct {
	Target string `cbor:"1,keyasint" json:"target"`
	// RemainingMillis is for how much longer the target is suspected, in milliseconds.
	RemainingMillis int64 `cbor:"2,keyasint" json:"remaining"`
}

// Check returns an error for a SlowTarget that no instance sends.
func (s *SlowTarget) Check() error {
	if s.Target == "" || s.RemainingMillis < 0 {
		return &InvalidValueError{Kind: "slow target", Name: s.Target}
	}
	return nil
}
