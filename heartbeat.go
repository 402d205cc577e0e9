package lacewingramp

// Heartbeat is what an instance tells all others several times a second. It
// fits into a datagram: a lost one is made good by the next, as everything in
// it is a state and not a change.
//
// Revision is up to where the instance knows the store, and Direct says that
// the store answers it. Watches says that it watches the store itself and has
// had an answer lately. Demand is what its callers ask of customers' limits, in
// requests a second; to other regions it is that of Sum instances of its region
// together. Marks, Evidence and Outcomes are those of the request prints and
// rollouts at hand.
type Heartbeat struct {
	Endpoint Endpoint   `cbor:"1,keyasint"`
	Ready    bool       `cbor:"2,keyasint,omitempty"`
	Revision int64      `cbor:"3,keyasint"`
	Demand   Demand     `cbor:"4,keyasint"`
	Marks    []Mark     `cbor:"5,keyasint,omitempty"`
	Evidence []Evidence `cbor:"6,keyasint,omitempty"`
	Outcomes []Outcome  `cbor:"7,keyasint,omitempty"`
	Direct   bool       `cbor:"8,keyasint,omitempty"`
	Watches  bool       `cbor:"9,keyasint,omitempty"`
	Sum      int        `cbor:"10,keyasint,omitempty"`
	// Rate is what the instance is asked at present, in requests a second.
	Rate float32 `cbor:"11,keyasint,omitempty"`
}

// Check reports a heartbeat that no instance sends.
func (h *Heartbeat) Check() error {
	if h.Revision < 0 {
		return &NameError{Kind: "revision", Name: h.Endpoint.Name}
	}
	return h.Endpoint.Check()
}
