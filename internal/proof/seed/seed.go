// Package seed makes property tests that use rapid run the same cases every time.
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

// SetDefaults sets rapid's seed, number of cases and number of steps in each case, and turns
// off its files of failed cases. It leaves a flag that does not have rapid's default,
// as it was set on the command line.
func SetDefaults(checks, steps string) {
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", checks)
	setDefault("rapid.steps", "30", steps)
	setDefault("rapid.nofailfile", "false", "true")
}

// setDefault sets a flag to value if it exists and has the value defaultValue.
func setDefault(name, defaultValue, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == defaultValue {
		_ = f.Value.Set(value)
	}
}
