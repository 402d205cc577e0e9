package lacewingramp

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Confirmation states that the store had no change after a position when it responded to
// an instance. Instances pass it on by heartbeat, and know by it how old their own copy
// of the store's keys may be. It is small, as each heartbeat carries one.
type Confirmation struct {
	// Origin identifies the instance that got the response, and its start, by a hash. Count
	// rises with each response that it gets. Both tell whether two reports are of the same
	// response.
	Origin   uint32 `cbor:"1,keyasint"`
	Count    int64  `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
	Epoch    int64  `cbor:"4,keyasint,omitempty"`
	// AgeMillis is how long before the heartbeat the store responded, in milliseconds.
	AgeMillis int64 `cbor:"5,keyasint"`
}

// ConfirmationOrigin returns the Origin of the confirmations of an instance.
func ConfirmationOrigin(e *Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.Name + " " + strconv.FormatInt(e.StartMillis, 10)))
}

// Position returns the position after which the store had no change.
func (c *Confirmation) Position() Position {
	return Position{Epoch: c.Epoch, Revision: c.Revision}
}

// Age returns how long before the heartbeat the store responded.
func (c *Confirmation) Age() time.Duration {
	return time.Duration(c.AgeMillis) * time.Millisecond
}

// Check returns an error for a confirmation that no instance sends.
func (c *Confirmation) Check() error {
	if c.Revision < 0 || c.Epoch < 0 || c.AgeMillis < 0 || c.AgeMillis > maxConfirmationAge.Milliseconds() {
		return &InvalidValueError{Kind: "confirmation", Name: strconv.FormatInt(c.AgeMillis, 10)}
	}
	return nil
}

// maxConfirmationAge is the age of the oldest confirmation that an instance can have.
const maxConfirmationAge = 100 * 365 * 24 * time.Hour
