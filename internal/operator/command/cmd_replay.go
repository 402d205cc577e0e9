package command

import (
	"fmt"
	"os"
	"sort"

	"lacewingramp.example/lacewingramp/internal/trace/replay"
)

// cmdReplay replays a recorded trace of quota calls.
type cmdReplay struct {
	output

	Args struct {
		File string `positional-arg-name:"FILE" description:"trace as JSON lines"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replays the trace and fails if an outcome differs from the recorded one.
func (c *cmdReplay) Execute([]string) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	result, err := replay.Run(f)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	subjects := make([]string, 0, len(result.AdmittedTokens))
	for s := range result.AdmittedTokens {
		subjects = append(subjects, s)
	}
	sort.Strings(subjects)
	for _, s := range subjects {
		_, _ = fmt.Fprintf(c.out, "%s: %.0f admitted\n", s, result.AdmittedTokens[s])
	}
	for _, difference := range result.Differences {
		_, _ = fmt.Fprintln(c.out, difference)
	}
	if n := len(result.Differences); n > 0 {
		return fmt.Errorf("%d of %d outcomes differ from the trace", n, result.Calls)
	}
	_, err = fmt.Fprintf(c.out, "%d calls, all outcomes match the trace\n", result.Calls)
	return err
}
