package lacewingramp

import "time"

// Draw asks the owner of a customer's shared token pool for one token.
type Draw struct {
	ID       uint64 `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
}

// Drawn is the reply to the Draw with the same id. OK reports whether a token was
// granted. If not, Wait is the time until the pool has one again.
type Drawn struct {
	ID   uint64        `cbor:"1,keyasint"`
	OK   bool          `cbor:"2,keyasint,omitempty"`
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// Datagram is a message that instances exchange over UDP. Exactly one field is
// set.
type Datagram struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Draw      *Draw      `cbor:"2,keyasint,omitempty"`
	Drawn     *Drawn     `cbor:"3,keyasint,omitempty"`
}

// Check returns an error for a datagram that no instance sends.
func (d *Datagram) Check() error {
	switch {
	case d.Heartbeat != nil:
		return d.Heartbeat.Check()
	case d.Draw != nil && d.Draw.Customer == "":
		return &NameError{Kind: "customer", Name: d.Draw.Customer}
	case d.Drawn != nil && d.Drawn.Wait < 0:
		return &NameError{Kind: "wait", Name: d.Drawn.Wait.String()}
	case d.Draw == nil && d.Drawn == nil:
		return &NameError{Kind: "datagram", Name: "empty"}
	}
	return nil
}
