package lacewingramp

import (
	"fmt"
	"strings"
)

// TableError is one invalid value in a Table. Kind and Index identify the entry, and
// Column the field by its JSON name. File and Row are set if the Table was read
// from a file. Expected describes the valid values.
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
func (f TableError) Error() string {
	place := fmt.Sprintf("%s %d", f.Kind, f.Index+1)
	if f.Row > 0 {
		place = fmt.Sprintf("%s: row %d", f.File, f.Row)
	}
	if f.Column != "" {
		place += fmt.Sprintf(", column %s", f.Column)
	}
	return fmt.Sprintf("%s: %q: want %s", place, f.Value, f.Expected)
}

// TableErrors is the error returned for a Table with one or more invalid values.
type TableErrors []TableError

// Error formats one fault per line.
func (f TableErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
