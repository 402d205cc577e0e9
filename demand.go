package lacewingramp

// Demand is the rate at which callers send requests, in requests per second for each
// customer that has a limit, in the encoding used by heartbeats.
//
// EncodedRates has one entry per customer with a rate above 0. An entry consists of
// the distance from the previous entry in the sorted list of customers, as a varint,
// and the rate in two bytes. NamesChecksum is a checksum of the list of customers.
// The receiver uses it to check that its own list is the same.
type Demand struct {
	NamesChecksum uint32 `cbor:"1,keyasint"`
	EncodedRates  []byte `cbor:"2,keyasint,omitempty"`
}
