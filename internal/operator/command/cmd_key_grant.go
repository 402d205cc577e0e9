package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"lacewingramp.example/lacewingramp"
)

// cmdKeyGrant creates a key for a customer.
type cmdKeyGrant struct {
	output
	storeOptions
	operatorOptions

	Args struct {
		Name     string `positional-arg-name:"NAME" description:"name of the key"`
		Customer string `positional-arg-name:"CUSTOMER" description:"customer that the key belongs to"`
	} `positional-args:"yes" required:"yes"`
}

// Execute commits the hash of a new random key and prints the key.
func (c *cmdKeyGrant) Execute([]string) error {
	key := rand.Text() + rand.Text()
	sum := sha256.Sum256([]byte(key))
	newKey := lacewingramp.AccessKey{Name: c.Args.Name, Customer: c.Args.Customer, Hash: hex.EncodeToString(sum[:])}
	t, err := editTable(&c.storeOptions, c.Operator, func(t *lacewingramp.Table) error {
		t.Keys = append(t.Keys, newKey)
		return nil
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.err, "revision %d committed; the key is shown only once:\n", t.Revision)
	_, err = fmt.Fprintln(c.out, key)
	return err
}
