// Package seed makes property tests that use rapid (pgregory.net/rapid) run the same
// cases every time.
//
// # Usage
//
//	func TestQuota(t *testing.T) {
//		seed.SetDefaults("2000", "60")
//		ginkgo.RunSpecs(t, "quota")
//	}
//
// Flags on the command line, such as -rapid.seed, take precedence.
package seed

import "flag"

// SetDefaults sets rapid's seed to 1, its number of test cases to checks and the number
// of steps in each test case to steps, and disables the files in which rapid saves
// failed test cases. A flag whose value differs from rapid's default was set on the
// command line and is left unchanged.
func SetDefaults(checks, steps string) {
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", checks)
	setDefault("rapid.steps", "30", steps)
	setDefault("rapid.nofailfile", "false", "true")
}

// setDefault sets a flag to value if the flag exists and its value is rapid's default,
// rapidDefault.
func setDefault(name, rapidDefault, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == rapidDefault {
		_ = f.Value.Set(value)
	}
}
