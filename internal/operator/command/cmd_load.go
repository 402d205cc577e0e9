package command

import (
	"context"
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp/internal/operator/load"
)

// cmdLoad generates load against a running deployment.
type cmdLoad struct {
	output
	fileArgument

	EntryAddresses []string      `long:"entry" env:"LACEWINGRAMP_ENTRIES" env-delim:"," required:"yes" description:"caller address of an instance to send the first lookup to; may be repeated"`
	KeyPrefix      string        `long:"key-prefix" env:"LACEWINGRAMP_KEY_PREFIX" default:"demo-" description:"text before a customer's name in its key; the example tables use demo-"`
	RateFraction   float64       `long:"part" env:"LACEWINGRAMP_PART" default:"0.5" description:"request rate of each customer, as a fraction of its rate limit"`
	Duration       time.Duration `long:"for" env:"LACEWINGRAMP_FOR" default:"10s" description:"how long to send requests"`
	MaxConcurrent  int           `long:"most" env:"LACEWINGRAMP_MOST" default:"64" description:"maximum number of concurrent requests per customer, route and domain"`
	Seed           uint64        `long:"seed" env:"LACEWINGRAMP_SEED" default:"1" description:"random seed of the request times"`
}

// Execute runs the load and prints a summary. It fails if a caller received a
// response that belongs to another request.
func (c *cmdLoad) Execute([]string) error {
	t, err := c.read()
	if err != nil {
		return err
	}
	keys := make(map[string]string)
	for _, customer := range t.Customers {
		keys[customer.Name] = c.KeyPrefix + customer.Name
	}
	summary := load.Run(context.Background(), load.Plan{
		Table: t, EntryAddresses: c.EntryAddresses, Keys: keys, RateFraction: c.RateFraction,
		Duration: c.Duration, MaxConcurrent: c.MaxConcurrent, Seed: c.Seed,
	})
	if err := summary.WriteText(c.out); err != nil {
		return err
	}
	if n := summary.Wrong(); n > 0 {
		return fmt.Errorf("%d responses did not belong to the caller's request", n)
	}
	return nil
}
