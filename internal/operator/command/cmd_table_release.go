package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// cmdTableRelease frees the part of the limits that a lost domain still has.
type cmdTableRelease struct {
	output
	storeOptions

	Args struct {
		Domain string `positional-arg-name:"DOMAIN" description:"failure domain that is lost for good"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *cmdTableRelease) Execute([]string) error {
	l, ctx, cancel := c.ledger()
	defer cancel()
	t, err := l.Get(ctx)
	if err != nil {
		return err
	}
	for _, d := range t.Domains {
		if d.Name == c.Args.Domain && d.Weight > 0 {
			return fmt.Errorf("domain %s still has weight %g: put a table in which it has none first", d.Name, d.Weight)
		}
	}
	part, err := c.release(ctx, l.Store, t.Split)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "domain %s has given up %.1f %% of every customer's limit\n"+
		"if its instances still run, cut off, customers there can exceed their limits by that much until they end\n",
		c.Args.Domain, part.Customers.Of(100))
	return err
}

func (c *cmdTableRelease) release(ctx context.Context, s lacewingramp.Store, split int64) (quota.Part, error) {
	key := lacewingramp.KeyHoldings + c.Args.Domain
	item, err := s.Get(ctx, key)
	if err != nil {
		return quota.Part{}, err
	}
	if item.Revision == 0 {
		return quota.Part{}, fmt.Errorf("domain %s holds nothing", c.Args.Domain)
	}
	var h holding.Holding
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return quota.Part{}, err
	}
	old := h.Part
	h.Part, h.Split, h.Edit = quota.Part{Region: old.Region}, split, rand.Text()
	value, err := json.Marshal(h)
	if err != nil {
		return quota.Part{}, err
	}
	_, err = s.Swap(ctx, key, value, item.Revision, 0)
	return old, err
}
