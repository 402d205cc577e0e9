package command

import "fmt"

// cmdTableCheck checks a table file.
type cmdTableCheck struct {
	output
	fileArgument
}

// Execute reads and checks the table file and prints how many rows it has.
func (c *cmdTableCheck) Execute([]string) error {
	t, err := c.read()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: %d regions, %d domains, %d targets, %d customers, %d keys: ok\n",
		c.Args.File, len(t.Regions), len(t.Domains), len(t.Targets), len(t.Customers), len(t.Keys))
	return err
}
