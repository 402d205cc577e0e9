package lacewingramp

// Heartbeat is the state that an instance sends to all others several times per
// second. It fits into one datagram. It carries state rather than changes, so that
// the next heartbeat makes up for a lost one.
//
// Revision and Epoch are the position in the store's history up to which the instance
// has read.
// ReachesStore is set if the store answers the instance's calls. WatchesStore is
// set if the instance watches the store itself, rather than following a peer, and
// its watch was answered recently. Within a region, Demand is the demand of the
// instance's own callers and Sum is 0. In heartbeats to other regions, Demand is the
// total demand of the sender's region, and Sum is the number of instances that the
// total includes. CrashCounts is a selection if there are too many for one datagram.
type Heartbeat struct {
	Endpoint     Endpoint         `cbor:"1,keyasint"`
	Ready        bool             `cbor:"2,keyasint,omitempty"`
	Revision     int64            `cbor:"3,keyasint"`
	Demand       Demand           `cbor:"4,keyasint"`
	CrashCounts  []CrashCount     `cbor:"5,keyasint,omitempty"`
	RolloutStats []RolloutStats   `cbor:"6,keyasint,omitempty"`
	Outcomes     []RolloutOutcome `cbor:"7,keyasint,omitempty"`
	ReachesStore bool             `cbor:"8,keyasint,omitempty"`
	WatchesStore bool             `cbor:"9,keyasint,omitempty"`
	Sum          int              `cbor:"10,keyasint,omitempty"`
	// RequestRate is the rate at which the instance currently receives requests, in
	// requests per second.
	RequestRate float32 `cbor:"11,keyasint,omitempty"`
	Epoch       int64   `cbor:"12,keyasint,omitempty"`
	// CutOff is set if the instance reaches no target.
	CutOff bool `cbor:"13,keyasint,omitempty"`
	// Confirmation is the latest response of the store that the instance knows of, its own
	// or a peer's, nil if it knows of none.
	Confirmation *Confirmation `cbor:"14,keyasint,omitempty"`
	// LeavingTargets is a selection if there are too many for one datagram.
	LeavingTargets []LeavingTarget `cbor:"15,keyasint,omitempty"`
	// SlowTargets is a selection if there are too many for one datagram.
	SlowTargets []SlowTarget `cbor:"16,keyasint,omitempty"`
	// TargetLoads holds the latest reports of targets of load-aware services on their load.
	TargetLoads TargetLoads `cbor:"17,keyasint,omitempty"`
	// UsageDuty is set if the instance holds the duty of usage reports.
	UsageDuty *UsageDuty `cbor:"18,keyasint,omitempty"`
}

// Position returns the position in the store's history up to which the instance has read.
func (h *Heartbeat) Position() Position {
	return Position{Epoch: h.Epoch, Revision: h.Revision}
}

// Check returns an error for a heartbeat that no instance sends.
func (h *Heartbeat) Check() error {
	if h.Revision < 0 || h.Epoch < 0 {
		return &InvalidValueError{Kind: "revision", Name: h.Endpoint.Name}
	}
	if h.Confirmation != nil {
		if err := h.Confirmation.Check(); err != nil {
			return err
		}
	}
	for i := range h.LeavingTargets {
		if err := h.LeavingTargets[i].Check(); err != nil {
			return err
		}
	}
	for i := range h.SlowTargets {
		if err := h.SlowTargets[i].Check(); err != nil {
			return err
		}
	}
	if err := h.TargetLoads.Check(); err != nil {
		return err
	}
	return h.Endpoint.Check()
}
