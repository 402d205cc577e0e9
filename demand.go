package lacewingramp

// Demand is what callers ask of customers' limits, in requests a second, as a
// heartbeat carries it: one row for each customer that asks for anything, with
// the distance from the last in the order of the customers' names and the rate
// in two bytes. Names is a checksum over the names in that order, by which the
// receiver knows whether it has the same.
type Demand struct {
	Names uint32 `cbor:"1,keyasint"`
	Rows  []byte `cbor:"2,keyasint,omitempty"`
}
