package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// cmdTableRelease releases the share of the limits that a permanently lost failure
// domain still holds, so that the other domains can use it.
type cmdTableRelease struct {
	output
	storeOptions

	Args struct {
		Domain string `positional-arg-name:"DOMAIN" description:"failure domain that is permanently lost"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sets the domain's share of the limits in the store to zero. The domain's
// weight in the table must be 0.
func (c *cmdTableRelease) Execute([]string) error {
	ts, ctx, cancel := c.tablestore()
	defer cancel()
	t, err := ts.Get(ctx)
	if err != nil {
		return err
	}
	for _, d := range t.Domains {
		if d.Name == c.Args.Domain && d.Weight > 0 {
			return fmt.Errorf("domain %s still has weight %g: commit a table in which its weight is 0 first", d.Name, d.Weight)
		}
	}
	shares, err := c.release(ctx, ts.Store, t.Split)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "domain %s released %.1f %% of every customer's limit\n"+
		"if its instances are still running but partitioned, customers can exceed their limits by that share until they stop\n",
		c.Args.Domain, shares.Customers.Of(100))
	return err
}

func (c *cmdTableRelease) release(ctx context.Context, store lacewingramp.Store, split int64) (quota.DomainShares, error) {
	key := lacewingramp.KeyAssignments + c.Args.Domain
	kv, err := store.Get(ctx, key)
	if err != nil {
		return quota.DomainShares{}, err
	}
	if kv.Revision == 0 {
		return quota.DomainShares{}, fmt.Errorf("domain %s holds no share of the limits", c.Args.Domain)
	}
	var stored assignment.Assignment
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		return quota.DomainShares{}, err
	}
	released := stored.DomainShares
	stored.DomainShares, stored.Split, stored.WriteID = quota.DomainShares{Region: released.Region}, split, rand.Text()
	value, err := json.Marshal(stored)
	if err != nil {
		return quota.DomainShares{}, err
	}
	_, err = store.CompareAndSwap(ctx, key, value, kv.Revision, 0)
	return released, err
}
