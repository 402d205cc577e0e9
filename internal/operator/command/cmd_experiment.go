package command

import (
	"fmt"
	"text/tabwriter"

	"lacewingramp.example/lacewingramp/internal/proof/emulator"
)

// cmdExperiment compares policies of target selection by simulation.
type cmdExperiment struct {
	output

	Load string `long:"load" description:"name of the load to simulate; default: all"`
	Seed uint64 `long:"seed" default:"1" description:"random seed; the same seed gives the same results"`
}

// percent converts a fraction to a percentage.
const percent = 100

// Execute runs the simulations and prints one table per load, with a row for each policy.
// The column "worst 2 s" is the lowest fraction of answered requests that were answered in
// time, over all windows of 2 s. The column "known" is the fraction of requests whose
// object the target had cached, and "far" the fraction of responses from another region.
// The column "moved" is the largest change of the regions that a region's requests ran in,
// from one window of 2 s to the next, for the loads with several kinds of requests.
func (c *cmdExperiment) Execute([]string) error {
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	found := false
	for _, s := range append(emulator.Scenarios(), emulator.LargeScenarios()...) {
		found = c.printLoad(t, s, emulator.Policies()) || found
	}
	for _, s := range emulator.HardScenarios() {
		found = c.printLoad(t, s, emulator.HardPolicies()) || found
	}
	if !found {
		return fmt.Errorf("unknown load %q", c.Load)
	}
	return t.Flush()
}

// printLoad prints the table of a load, if it is to be simulated.
func (c *cmdExperiment) printLoad(t *tabwriter.Writer, s emulator.Scenario, policies []emulator.Policy) bool {
	if c.Load != "" && c.Load != s.Name {
		return false
	}
	_, _ = fmt.Fprintf(t, "\n%s: %s\n", s.Name, s.Description)
	_, _ = fmt.Fprintln(t, "choice\tin time %\tlate %\trefused %\tfailed %\tworst 2 s %\tknown %\tfar %\tmoved %\t")
	for _, p := range policies {
		c.printRow(t, p.Name(), emulator.Simulate(s, p, c.Seed))
	}
	return true
}

func (c *cmdExperiment) printRow(t *tabwriter.Writer, name string, r emulator.Result) {
	percentage := func(n, of int) float64 { return percent * float64(n) / float64(max(1, of)) }
	minInTimeRatio := 1.0
	for _, ratio := range r.InTimeRatios {
		minInTimeRatio = min(minInTimeRatio, ratio)
	}
	_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name,
		percentage(r.InTime, r.Requests), percentage(r.Late, r.Requests), percentage(r.Refused, r.Requests), percentage(r.Failed, r.Requests),
		percent*minInTimeRatio, percentage(r.CacheHits, r.Processed), percentage(r.CrossRegion, r.InTime+r.Late+r.Failed), percent*r.MaxRegionShift)
}
