package command

import (
	"fmt"

	"lacewingramp.example/lacewingramp/internal/config/sheet"
)

// cmdTableDiff compares a table file with the committed table.
type cmdTableDiff struct {
	output
	storeOptions
	fileArgument
}

// Execute prints the rows that differ and the revision of the committed table.
func (c *cmdTableDiff) Execute([]string) error {
	next, err := c.read()
	if err != nil {
		return err
	}
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	current, err := ts.Get(ctx)
	if err != nil {
		return err
	}
	lines, err := sheet.Diff(current, next)
	if err != nil {
		return err
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(c.out, line)
	}
	_, err = fmt.Fprintf(c.out, "base %d, %d rows differ\n", current.Revision, len(lines))
	return err
}
