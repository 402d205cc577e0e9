package lacewingramp

import "time"

// Confirmation states that the store had no change after a position when it responded to
// an instance. Instances pass it on by heartbeat, and know by it how old their own copy
// of the store's keys may be.
//
// Origin, StartMillis and Count tell whether two reports are of the same response: the
// instance that got it, the start of that instance, and a number that rises with each of
// its responses.
type Confirmation struct {
	Origin      string `cbor:"1,keyasint"`
	StartMillis int64  `cbor:"2,keyasint"`
	Count       int64  `cbor:"3,keyasint"`
	Revision    int64  `cbor:"4,keyasint"`
	Epoch       int64  `cbor:"5,keyasint,omitempty"`
	// Age is how long before the heartbeat the store responded.
	Age time.Duration `cbor:"6,keyasint"`
}

// Position returns the position after which the store had no change.
func (c *Confirmation) Position() Position {
	return Position{Epoch: c.Epoch, Revision: c.Revision}
}

// Check returns an error for a confirmation that no instance sends.
func (c *Confirmation) Check() error {
	if c.Origin == "" || c.Revision < 0 || c.Epoch < 0 || c.Age < 0 {
		return &InvalidValueError{Kind: "confirmation", Name: c.Origin}
	}
	return nil
}
