package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/ledger"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/operator/load"
	"lacewingramp.example/lacewingramp/internal/report/page"
)

// Durations, load and time-outs of Run.
const (
	readyTimeout  = 20 * time.Second
	loadTime      = 2 * time.Second
	loadFraction  = 0.15
	maxInFlight   = 32
	revokeTimeout = 4 * time.Second
	revokePeriod  = 50 * time.Millisecond
)

// Run demonstrates a deployment of two instances: a load of callers, an order that is
// sent twice but runs once, a key that is rejected after it is revoked, and the
// report of an instance.
func Run(ctx context.Context, w io.Writer) error {
	t, err := sheet.Decode("examples/bank/table.csv", bytes.NewReader(examples.Bank))
	if err != nil {
		return err
	}
	d, err := Open(ctx, t, []string{"uy1", "uy2"})
	if err != nil {
		return err
	}
	defer d.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(ready); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "two instances answer callers at %v\n\n", d.Callers())
	if err := d.showLoad(ctx, w); err != nil {
		return err
	}
	if err := d.showRepeat(ctx, w); err != nil {
		return err
	}
	if err := d.showRevoke(ctx, w); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	p := page.Of(d.Servers[0].Instance)
	return p.WriteText(w)
}

func (d *Deployment) showLoad(ctx context.Context, w io.Writer) error {
	keys := make(map[string]string)
	for _, u := range d.Table.Customers {
		keys[u.Name] = examples.KeyPrefix + u.Name
	}
	s := load.Run(ctx, load.Plan{
		Table: d.Table, Entries: d.Callers(), Keys: keys,
		RateFraction: loadFraction, Duration: loadTime, MaxConcurrent: maxInFlight, Seed: 1,
	})
	if err := s.WriteText(w); err != nil {
		return err
	}
	if n := s.Wrong(); n > 0 {
		return fmt.Errorf("%d responses did not belong to the caller's request", n)
	}
	return nil
}

const demoCustomer = "refugio"

func (d *Deployment) showRepeat(ctx context.Context, w io.Writer) error {
	key := examples.KeyPrefix + demoCustomer
	c := load.NewCaller(load.Identity{Customer: demoCustomer, Key: key, Domain: "uy1"}, d.Callers())
	defer c.Close()
	q := load.Request{Service: "orders", Method: "POST", Path: "/orders", Body: `{"iron":1}`, IdempotencyID: "iron-1"}
	first := c.Do(ctx, q)
	again := c.Do(ctx, q)
	runs := 0
	for _, t := range d.Targets {
		runs += t.Runs().Keys[first.Key]
	}
	_, _ = fmt.Fprintf(w, "\nan order sent twice: %s and %s, it ran %d time\n", first.Verdict, again.Verdict, runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

func (d *Deployment) showRevoke(ctx context.Context, w io.Writer) error {
	l := d.Ledger()
	t, err := l.Get(ctx)
	if err != nil {
		return err
	}
	for i, k := range t.Keys {
		if k.Customer == demoCustomer {
			t.Keys = append(t.Keys[:i], t.Keys[i+1:]...)
			break
		}
	}
	if _, err := l.Put(ctx, t, ledger.Commit{Operator: "trial", Base: t.Revision, Moment: time.Now()}); err != nil {
		return err
	}
	startTime := time.Now()
	c := load.NewCaller(load.Identity{Customer: demoCustomer, Key: examples.KeyPrefix + demoCustomer, Domain: "uy2"}, d.Callers())
	defer c.Close()
	for time.Since(startTime) < revokeTimeout {
		r := c.Do(ctx, load.Request{Service: "recipes", Method: "GET", Path: "/recipes/1"})
		if r.Status == 401 {
			_, _ = fmt.Fprintf(w, "a key revoked: refused after %s\n", time.Since(startTime).Round(time.Millisecond))
			return nil
		}
		time.Sleep(revokePeriod)
	}
	return fmt.Errorf("a revoked key still works after %s", revokeTimeout)
}
