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

// Length of a trial.
const (
	readyTimeout  = 20 * time.Second
	loadTime      = 2 * time.Second
	loadPart      = 0.15
	underWay      = 32
	revokeTimeout = 4 * time.Second
	revokePeriod  = 50 * time.Millisecond
)

// Run shows a newcomer the whole path: look-up, key, limit, target, answer;
// an order that is repeated; a key that is revoked; and the report.
func Run(ctx context.Context, w io.Writer) error {
	t, err := sheet.Decode("examples/bank/table.csv", bytes.NewReader(examples.Bank))
	if err != nil {
		return err
	}
	f, err := Open(ctx, t, []string{"uy1", "uy2"})
	if err != nil {
		return err
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(ready); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "two instances answer callers at %v\n\n", f.Callers())
	if err := f.showLoad(ctx, w); err != nil {
		return err
	}
	if err := f.showRepeat(ctx, w); err != nil {
		return err
	}
	if err := f.showRevoke(ctx, w); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	p := page.Of(f.Servers[0].Instance)
	return p.WriteText(w)
}

func (f *Fleet) showLoad(ctx context.Context, w io.Writer) error {
	keys := make(map[string]string)
	for _, u := range f.Table.Customers {
		keys[u.Name] = examples.KeyPrefix + u.Name
	}
	s := load.Run(ctx, load.Plan{
		Table: f.Table, Entries: f.Callers(), Keys: keys,
		Part: loadPart, Duration: loadTime, Most: underWay, Seed: 1,
	})
	if err := s.WriteText(w); err != nil {
		return err
	}
	if n := s.Wrong(); n > 0 {
		return fmt.Errorf("%d answers were not the caller's own", n)
	}
	return nil
}

const shown = "refugio"

func (f *Fleet) showRepeat(ctx context.Context, w io.Writer) error {
	key := examples.KeyPrefix + shown
	c := load.NewCaller(load.Identity{Customer: shown, Key: key, Domain: "uy1"}, f.Callers())
	defer c.Close()
	q := load.Request{Service: "orders", Method: "POST", Path: "/orders", Body: `{"iron":1}`, IdempotencyID: "iron-1"}
	first := c.Do(ctx, q)
	again := c.Do(ctx, q)
	runs := 0
	for _, t := range f.Targets {
		runs += t.Runs().Keys[first.Key]
	}
	_, _ = fmt.Fprintf(w, "\nan order sent twice: %s and %s, it ran %d time\n", first.Verdict, again.Verdict, runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

func (f *Fleet) showRevoke(ctx context.Context, w io.Writer) error {
	l := f.Ledger()
	t, err := l.Get(ctx)
	if err != nil {
		return err
	}
	for i, k := range t.Keys {
		if k.Customer == shown {
			t.Keys = append(t.Keys[:i], t.Keys[i+1:]...)
			break
		}
	}
	if _, err := l.Put(ctx, t, ledger.Commit{Operator: "trial", Base: t.Revision, Moment: time.Now()}); err != nil {
		return err
	}
	begun := time.Now()
	c := load.NewCaller(load.Identity{Customer: shown, Key: examples.KeyPrefix + shown, Domain: "uy2"}, f.Callers())
	defer c.Close()
	for time.Since(begun) < revokeTimeout {
		r := c.Do(ctx, load.Request{Service: "recipes", Method: "GET", Path: "/recipes/1"})
		if r.Status == 401 {
			_, _ = fmt.Fprintf(w, "a key revoked: refused after %s\n", time.Since(begun).Round(time.Millisecond))
			return nil
		}
		time.Sleep(revokePeriod)
	}
	return fmt.Errorf("a revoked key still works after %s", revokeTimeout)
}
