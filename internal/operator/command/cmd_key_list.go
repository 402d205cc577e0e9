package command

import "fmt"

// hashShown is how much of a key's hash is printed.
const hashShown = 12

// cmdKeyList lists keys.
type cmdKeyList struct {
	output
	storeOptions
}

// Execute runs the command.
func (c *cmdKeyList) Execute([]string) error {
	l, ctx, cancel := c.ledger()
	defer cancel()
	t, err := l.Get(ctx)
	if err != nil {
		return err
	}
	for _, k := range t.Keys {
		_, _ = fmt.Fprintf(c.out, "%-24s %-24s %s…\n", k.Name, k.Customer, k.Hash[:hashShown])
	}
	return nil
}
