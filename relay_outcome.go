package lacewingramp

//go:generate stringer -type=RelayOutcome -linecomment

// RelayOutcome is the outcome of a request that was relayed to another instance.
type RelayOutcome uint8

// The outcomes of a relayed request. The comment after each constant is its text form.
//
//   - RelayResponded: a target responded
//   - RelayNotRun: the other instance refused the request, which has not run
//   - RelayMayHaveRun: the request failed at the other instance and may have run
//   - RelayUnavailable: the other instance cannot run relayed requests now
//   - RelayUnreachable: the request did not reach the other instance
//   - RelayLost: there was no response, and the request may have run
const (
	RelayResponded   RelayOutcome = iota // responded
	RelayNotRun                          // not-run
	RelayMayHaveRun                      // may-have-run
	RelayUnavailable                     // unavailable
	RelayUnreachable                     // unreachable
	RelayLost                            // lost
	relayOutcomeEnd                      // end
)

// ParseRelayOutcome returns the outcome with the given text form.
func ParseRelayOutcome(text string) (RelayOutcome, error) {
	for o := RelayResponded; o < relayOutcomeEnd; o++ {
		if o.String() == text {
			return o, nil
		}
	}
	return 0, &InvalidValueError{Kind: "relay outcome", Name: text}
}
