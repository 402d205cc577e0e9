// Package lacewingramp holds the domain types and the interfaces of a global
// traffic steering system.
//
// Operators describe regions, failure domains, services, targets, customers,
// keys, caps and rollouts in one Table. Entry instances take the newest Table
// into force, answer look-ups, check keys, hold limits over the whole fleet
// and carry each request to a target.
//
// Everything in this package is data or an interface. Implementations live
// below internal/, two levels deep by area. Decisions are pure functions of
// their state, an event and the time they are given, so that a trace, a
// property test and a running instance drive the same code.
//
// # Usage
//
// A caller of a decision receives either a result or a Refusal:
//
//	if err := limiter.Take(now, subject); err != nil {
//		refusal := lacewingramp.RefusalOf(err)
//		if refusal.Verdict == lacewingramp.NotRun {
//			// It is safe to send the request again.
//		}
//	}
//
// The Table is read with internal/config/sheet, kept by a Store and spread
// between instances as part of a Digest.
package lacewingramp
