package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/config/tablestore"
	"lacewingramp.example/lacewingramp/internal/operator/load"
	"lacewingramp.example/lacewingramp/internal/report/page"
)

// Parameters of the demonstration in Run.
const (
	readyTimeout       = 20 * time.Second
	loadDuration       = 2 * time.Second
	loadFraction       = 0.15
	maxConcurrent      = 32
	revokeTimeout      = 4 * time.Second
	revokePollInterval = 50 * time.Millisecond
)

// Run demonstrates a deployment of two instances and writes the results to w. It
// generates load, sends an order twice to show that it runs once, revokes a key to
// show that it is rejected, and prints the report of an instance.
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
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(readyCtx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "two instances answer callers at %v\n\n", d.CallerAddresses())
	if err := d.showLoad(ctx, w); err != nil {
		return err
	}
	if err := d.showIdempotency(ctx, w); err != nil {
		return err
	}
	if err := d.showRevocation(ctx, w); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	report := page.Of(d.Servers[0].Instance)
	return report.WriteText(w)
}

func (d *Deployment) showLoad(ctx context.Context, w io.Writer) error {
	keys := make(map[string]string)
	for _, customer := range d.Table.Customers {
		keys[customer.Name] = examples.KeyPrefix + customer.Name
	}
	summary := load.Run(ctx, load.Plan{
		Table: d.Table, EntryAddresses: d.CallerAddresses(), Keys: keys,
		RateFraction: loadFraction, Duration: loadDuration, MaxConcurrent: maxConcurrent, Seed: 1,
	})
	if err := summary.WriteText(w); err != nil {
		return err
	}
	if n := summary.Wrong(); n > 0 {
		return fmt.Errorf("%d responses did not belong to the caller's request", n)
	}
	return nil
}

const demoCustomer = "refugio"

func (d *Deployment) showIdempotency(ctx context.Context, w io.Writer) error {
	key := examples.KeyPrefix + demoCustomer
	caller := load.NewCaller(load.Identity{Customer: demoCustomer, Key: key, Domain: "uy1"}, d.CallerAddresses())
	defer caller.Close()
	request := load.Request{Service: "orders", Method: "POST", Path: "/orders", Body: `{"iron":1}`, IdempotencyID: "iron-1"}
	first := caller.Do(ctx, request)
	second := caller.Do(ctx, request)
	runs := 0
	for _, t := range d.Targets {
		runs += t.Runs().Keys[first.Key]
	}
	_, _ = fmt.Fprintf(w, "\nan order sent twice: %s and %s, it ran %d time\n", first.Verdict, second.Verdict, runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times, expected once", runs)
	}
	return nil
}

func (d *Deployment) showRevocation(ctx context.Context, w io.Writer) error {
	ts := d.TableStore()
	t, err := ts.Get(ctx)
	if err != nil {
		return err
	}
	for i, key := range t.Keys {
		if key.Customer == demoCustomer {
			t.Keys = append(t.Keys[:i], t.Keys[i+1:]...)
			break
		}
	}
	if _, err := ts.Put(ctx, t, tablestore.Commit{Operator: "trial", Base: t.Revision, Time: time.Now()}); err != nil {
		return err
	}
	startTime := time.Now()
	caller := load.NewCaller(load.Identity{Customer: demoCustomer, Key: examples.KeyPrefix + demoCustomer, Domain: "uy2"}, d.CallerAddresses())
	defer caller.Close()
	for time.Since(startTime) < revokeTimeout {
		r := caller.Do(ctx, load.Request{Service: "recipes", Method: "GET", Path: "/recipes/1"})
		if r.Status == 401 {
			_, _ = fmt.Fprintf(w, "a key revoked: refused after %s\n", time.Since(startTime).Round(time.Millisecond))
			return nil
		}
		time.Sleep(revokePollInterval)
	}
	return fmt.Errorf("the key is still accepted %s after it was revoked", revokeTimeout)
}
