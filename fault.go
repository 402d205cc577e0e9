package lacewingramp

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a Table. Kind and Index find the entry, Column the
// field by its name on the wire. Want says what is allowed.
type Fault struct {
	File   string `json:"file,omitempty"`
	Row    int    `json:"row,omitempty"`
	Kind   string `json:"kind"`
	Index  int    `json:"index"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Want   string `json:"want"`
}

// Error returns the place, the value and what is allowed, in one line.
func (f Fault) Error() string {
	place := fmt.Sprintf("%s %d", f.Kind, f.Index+1)
	if f.Row > 0 {
		place = fmt.Sprintf("%s: row %d", f.File, f.Row)
	}
	if f.Column != "" {
		place += fmt.Sprintf(", column %s", f.Column)
	}
	return fmt.Sprintf("%s: %q: want %s", place, f.Value, f.Want)
}

// Faults is the error of a Table with one mistake or more.
type Faults []Fault

// Error returns each fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}
