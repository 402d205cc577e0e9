package command

import (
	"context"
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp/internal/operator/load"
)

// cmdLoad drives callers against a running deployment.
type cmdLoad struct {
	output
	fileArgument

	Entries  []string      `long:"entry" env:"LACEWINGRAMP_ENTRIES" env-delim:"," required:"yes" description:"caller address of an instance to ask first; may be repeated"`
	Prefix   string        `long:"key-prefix" env:"LACEWINGRAMP_KEY_PREFIX" default:"demo-" description:"text that makes a customer's name its key, as in the example tables"`
	Part     float64       `long:"part" env:"LACEWINGRAMP_PART" default:"0.5" description:"part of every customer's rate that is sent"`
	Duration time.Duration `long:"for" env:"LACEWINGRAMP_FOR" default:"10s" description:"how long requests are sent"`
	Most     int           `long:"most" env:"LACEWINGRAMP_MOST" default:"64" description:"requests of one stream under way at a time"`
	Seed     uint64        `long:"seed" env:"LACEWINGRAMP_SEED" default:"1" description:"seed of the requests' times"`
}

// Execute runs the command.
func (c *cmdLoad) Execute([]string) error {
	t, err := c.read()
	if err != nil {
		return err
	}
	keys := make(map[string]string)
	for _, u := range t.Customers {
		keys[u.Name] = c.Prefix + u.Name
	}
	s := load.Run(context.Background(), load.Plan{
		Table: t, Entries: c.Entries, Keys: keys, Part: c.Part,
		Duration: c.Duration, Most: c.Most, Seed: c.Seed,
	})
	if err := s.WriteText(c.out); err != nil {
		return err
	}
	if n := s.Wrong(); n > 0 {
		return fmt.Errorf("%d answers were not the caller's own", n)
	}
	return nil
}
