package sheet

import (
	"bytes"
	"fmt"
	"strings"

	"lacewingramp.example/lacewingramp"
)

// Diff returns the CSV rows that differ between two tables: first those that are
// only in before, prefixed with "- ", then those that are only in after, prefixed
// with "+ ".
func Diff(before, after *lacewingramp.Table) ([]string, error) {
	old, err := encodeLines(before)
	if err != nil {
		return nil, err
	}
	next, err := encodeLines(after)
	if err != nil {
		return nil, err
	}
	out := linesOnlyIn("- ", old, next)
	return append(out, linesOnlyIn("+ ", next, old)...), nil
}

func linesOnlyIn(prefix string, lines, otherLines []string) []string {
	inOther := make(map[string]bool, len(otherLines))
	for _, l := range otherLines {
		inOther[l] = true
	}
	var out []string
	for _, l := range lines {
		if !inOther[l] {
			out = append(out, prefix+strings.TrimRight(l, ","))
		}
	}
	return out
}

func encodeLines(t *lacewingramp.Table) ([]string, error) {
	var b bytes.Buffer
	if err := Encode(&b, t); err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", t.Revision, err)
	}
	return strings.Split(strings.TrimSpace(b.String()), "\n"), nil
}
