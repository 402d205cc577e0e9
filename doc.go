// Package lacewingramp holds the domain types and the interfaces of a global
// traffic steering system.
//
// Operators describe regions, failure domains, services, targets, customers,
// keys, caps and rollouts in one Table. Entry instances apply the newest Table,
// answer lookups (which instances a caller should use), authenticate keys, enforce
// limits across the whole fleet and forward each request to a target.
//
// This package contains only data types, with their encoding and checks, and
// interfaces. Implementations live below internal/, grouped by area in two levels.
// Code that makes decisions does no I/O and reads no clock: the result depends only
// on its state, an event and the current time, which is passed in. Traces, property
// tests and running instances therefore execute the same code.
//
// # Usage
//
// A decision returns either a result or an error that wraps a Refusal. For example, a
// quota.Ledger (internal/limit/quota) decides whether a request may run by its limits:
//
//	if err := ledger.Take(now, subject); err != nil {
//		refusal := lacewingramp.RefusalOf(err)
//		if refusal.Verdict == lacewingramp.NotRun {
//			// The request did not run and can be retried safely.
//		}
//	}
//
// The Table is parsed by internal/config/sheet and persisted in a Store. An
// instance fetches a newer revision from the Store or from another instance.
package lacewingramp
