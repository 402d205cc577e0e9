package command

import (
	"fmt"

	"lacewingramp.example/lacewingramp/internal/config/sheet"
)

// cmdTableGet prints the committed table as CSV.
type cmdTableGet struct {
	output
	storeOptions
}

// Execute prints the table as CSV, and its revision on the standard error.
func (c *cmdTableGet) Execute([]string) error {
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	t, err := ts.Get(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.err, "revision %d by %s\n", t.Revision, t.Operator)
	return sheet.Encode(c.out, t)
}
