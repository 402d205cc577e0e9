package command

import "fmt"

// shownHashDigits is the number of hexadecimal digits that are printed of a key's
// hash.
const shownHashDigits = 12

// cmdKeyList lists keys.
type cmdKeyList struct {
	output
	storeOptions
}

// Execute prints the name, customer and shortened hash of each key.
func (c *cmdKeyList) Execute([]string) error {
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	t, err := ts.Get(ctx)
	if err != nil {
		return err
	}
	for _, key := range t.Keys {
		_, _ = fmt.Fprintf(c.out, "%-24s %-24s %s…\n", key.Name, key.Customer, key.Hash[:shownHashDigits])
	}
	return nil
}
