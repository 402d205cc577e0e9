package lacewingramp

import (
	"fmt"
	"strings"
)

// TableError is one invalid value in a Table. Kind is the kind of the entry that it
// belongs to, such as "route", Index the entry's index among those of its kind, and
// Column the JSON name of the field. File and Row are set if the Table was read from
// a file. Expected describes the valid values.
type TableError struct {
	File     string `json:"file,omitempty"`
	Row      int    `json:"row,omitempty"`
	Kind     string `json:"kind"`
	Index    int    `json:"index"`
	Column   string `json:"column"`
	Value    string `json:"value"`
	Expected string `json:"want"`
}

// Error formats the position, the value and the valid values in one line.
func (e TableError) Error() string {
	position := fmt.Sprintf("%s %d", e.Kind, e.Index+1)
	if e.Row > 0 {
		position = fmt.Sprintf("%s: row %d", e.File, e.Row)
	}
	if e.Column != "" {
		position += fmt.Sprintf(", column %s", e.Column)
	}
	return fmt.Sprintf("%s: %q: want %s", position, e.Value, e.Expected)
}

// TableErrors is the error returned for a Table with one or more invalid values.
type TableErrors []TableError

// Error formats one invalid value per line.
func (e TableErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fault := range e {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
