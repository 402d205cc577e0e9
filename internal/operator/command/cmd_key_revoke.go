package command

import (
	"fmt"
	"slices"

	"lacewingramp.example/lacewingramp"
)

// cmdKeyRevoke revokes a key.
type cmdKeyRevoke struct {
	output
	storeOptions
	operatorOptions

	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes the key from the table and commits it.
func (c *cmdKeyRevoke) Execute([]string) error {
	t, err := editTable(&c.storeOptions, c.Operator, func(t *lacewingramp.Table) error {
		n := len(t.Keys)
		t.Keys = slices.DeleteFunc(t.Keys, func(key lacewingramp.AccessKey) bool { return key.Name == c.Args.Name })
		if len(t.Keys) == n {
			return fmt.Errorf("unknown key %q", c.Args.Name)
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "revision %d committed, key %s revoked\n", t.Revision, c.Args.Name)
	return err
}
