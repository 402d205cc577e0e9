package lacewingramp

//go:generate stringer -type=TokenOutcome -linecomment

// TokenOutcome is the outcome of a request for a token of a target's limited rate.
type TokenOutcome uint8

// The outcomes of a request for a token. The comment after each constant is its text
// form.
//
//   - TokenGranted: the owner of the rate granted a token
//   - TokenRefused: the owner had none
//   - TokenLost: there was no reply in time, or the owner was not known
const (
	TokenGranted TokenOutcome = iota // granted
	TokenRefused                     // refused
	TokenLost                        // lost
)
