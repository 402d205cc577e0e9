package command

import (
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp/internal/config/tablestore"
)

// cmdTablePut commits a table file.
type cmdTablePut struct {
	output
	storeOptions
	operatorOptions
	fileArgument

	Base int64 `long:"base" env:"LACEWINGRAMP_BASE" default:"-1" description:"revision that the edit is based on, as printed by table get or diff; -1 for any"`
}

// Execute reads the table file and commits it.
func (c *cmdTablePut) Execute([]string) error {
	next, err := c.read()
	if err != nil {
		return err
	}
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	t, err := ts.Put(ctx, next, tablestore.Commit{Operator: c.Operator, Base: c.Base, Time: time.Now()})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "revision %d committed, edit %s\n", t.Revision, t.Edit)
	return err
}
