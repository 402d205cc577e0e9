package command

import (
	"fmt"
	"time"
)

// cmdTableLog prints the audit trail of the table's edits.
type cmdTableLog struct {
	output
	storeOptions
}

// Execute prints each edit with its removed and added rows.
func (c *cmdTableLog) Execute([]string) error {
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	t, err := ts.Get(ctx)
	if err != nil || t.AuditTrail == nil {
		return err
	}
	for _, edit := range t.AuditTrail.Edits {
		_, _ = fmt.Fprintf(c.out, "revision %d  %s  %s  edit %s\n", edit.Revision, edit.Time.Format(time.RFC3339), edit.Operator, edit.Edit)
		for _, line := range edit.Lines {
			_, _ = fmt.Fprintln(c.out, "  "+line)
		}
	}
	return nil
}
