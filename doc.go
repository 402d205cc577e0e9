// Package lacewingramp holds the domain types and the interfaces of a global
// traffic steering system.
//
// Operators describe regions, failure domains, services, targets, customers,
// keys, caps and rollouts in one Table. Entry instances apply the newest Table,
// answer lookups, authenticate keys, enforce limits across the whole fleet and
// forward each request to a target.
//
// This package contains only data types and interfaces. Implementations live
// below internal/, grouped by area in two levels. Decisions are pure functions
// of their state, an event and the current time passed in, so that traces,
// property tests and running instances execute the same code.
//
// # Usage
//
// A decision returns either a result or an error that carries a Refusal:
//
//	if err := limiter.Take(now, subject); err != nil {
//		refusal := lacewingramp.RefusalOf(err)
//		if refusal.Verdict == lacewingramp.NotRun {
//			// The request did not run and can be retried safely.
//		}
//	}
//
// The Table is parsed by internal/config/sheet and persisted in a Store. An
// instance fetches a newer revision from the Store or from another instance.
package lacewingramp
