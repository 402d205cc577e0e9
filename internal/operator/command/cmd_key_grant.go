package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"lacewingramp.example/lacewingramp"
)

// cmdKeyGrant grants a customer a key.
type cmdKeyGrant struct {
	output
	storeOptions
	operatorOptions

	Args struct {
		Name     string `positional-arg-name:"NAME" description:"name of the key"`
		Customer string `positional-arg-name:"CUSTOMER" description:"customer that gets it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *cmdKeyGrant) Execute([]string) error {
	key := rand.Text() + rand.Text()
	sum := sha256.Sum256([]byte(key))
	row := lacewingramp.Key{Name: c.Args.Name, Customer: c.Args.Customer, Hash: hex.EncodeToString(sum[:])}
	t, err := edit(&c.storeOptions, c.Operator, func(t *lacewingramp.Table) error {
		t.Keys = append(t.Keys, row)
		return nil
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.err, "revision %d committed; the key is shown only once:\n", t.Revision)
	_, err = fmt.Fprintln(c.out, key)
	return err
}
