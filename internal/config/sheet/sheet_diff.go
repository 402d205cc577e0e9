package sheet

import (
	"bytes"
	"fmt"
	"strings"

	"lacewingramp.example/lacewingramp"
)

// Diff returns the rows that stand in one table only, those of before marked
// with "-" and those of after with "+".
func Diff(before, after *lacewingramp.Table) ([]string, error) {
	old, err := lines(before)
	if err != nil {
		return nil, err
	}
	next, err := lines(after)
	if err != nil {
		return nil, err
	}
	out := missing("- ", old, next)
	return append(out, missing("+ ", next, old)...), nil
}

func missing(mark string, from, in []string) []string {
	have := make(map[string]bool, len(in))
	for _, l := range in {
		have[l] = true
	}
	var out []string
	for _, l := range from {
		if !have[l] {
			out = append(out, mark+strings.TrimRight(l, ","))
		}
	}
	return out
}

func lines(t *lacewingramp.Table) ([]string, error) {
	var b bytes.Buffer
	if err := Encode(&b, t); err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", t.Revision, err)
	}
	return strings.Split(strings.TrimSpace(b.String()), "\n"), nil
}
