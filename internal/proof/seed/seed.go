// Package seed gives property tests the same cases in every run.
//
// # Usage
//
//	func TestQuota(t *testing.T) {
//		seed.Fix("2000", "60")
//		ginkgo.RunSpecs(t, "quota")
//	}
//
// Flags on the command line, such as -rapid.seed, go before.
package seed

import "flag"

// Fix sets rapid's seed, and the number of cases and of steps in each, where
// the command line has not.
func Fix(checks, steps string) {
	preset("rapid.seed", "0", "1")
	preset("rapid.checks", "100", checks)
	preset("rapid.steps", "30", steps)
	preset("rapid.nofailfile", "false", "true")
}

// preset changes a flag that has its default value.
func preset(name, usual, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == usual {
		_ = f.Value.Set(value)
	}
}
