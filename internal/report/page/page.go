// Package page provides the report of an instance for operators, as JSON and as text.
//
// # Usage
//
//	r := page.Of(instance)
//	r.WriteText(os.Stdout)
package page

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/report/tally"
)

// Report is the report of one instance. Unconfirmed is the time since the Table was last
// known to be the newest. Suspended is set while the instance uses none of its quota
// because its process was paused and it may have lost its shards. Shards are the shards
// that it holds. Instances are its peers. Limits are the limits of the customers, and
// Capacities the slots by service. Requests counts the requests of callers by customer
// and route, and Work the internal events that they caused.
type Report struct {
	Instance       string                         `json:"instance"`
	Domain         string                         `json:"domain"`
	LifecycleState string                         `json:"life"`
	Revision       int64                          `json:"revision"`
	Unconfirmed    lacewingramp.Duration          `json:"unconfirmed"`
	Suspended      bool                           `json:"suspended"`
	Shards         []int                          `json:"shards"`
	Instances      []PeerStatus                   `json:"instances"`
	Limits         []quota.SubjectState           `json:"limits"`
	Capacities     []lacewingramp.ServiceCapacity `json:"rooms"`
	Caps           []Cap                          `json:"caps"`
	Rollouts       []rollout.Status               `json:"rollouts"`
	Requests       []tally.Row                    `json:"requests"`
	Work           Work                           `json:"work"`
	Faults         Faults                         `json:"faults"`
}

// PeerStatus is the state of a peer as far as this instance knows it. Age is the time
// since the instance last heard from the peer. Live is set if that was recently. Shards
// is the number of shards that the peer claims to hold.
type PeerStatus struct {
	Instance string                `json:"instance"`
	Domain   string                `json:"domain"`
	Revision int64                 `json:"revision"`
	Age      lacewingramp.Duration `json:"age"`
	Live     bool                  `json:"live"`
	Leaving  bool                  `json:"leaving"`
	Shards   int                   `json:"shards"`
}

// Cap is a cap of the instance's region. InForce is set while it is in force. Allowed is
// the number of requests that this instance may run concurrently as its share of the
// cap, Running the number that it runs now, and PeakRunning the maximum number that it
// has run concurrently while the cap was in force.
type Cap struct {
	Name        string `json:"name"`
	InForce     bool   `json:"holds"`
	Allowed     int    `json:"allowed"`
	Running     int    `json:"running"`
	PeakRunning int    `json:"worst"`
}

// Work counts events of request handling. Attempts counts requests sent to targets,
// Retries the repeated ones among them, Hops requests forwarded to peers, Queued requests
// that were queued for a slot, WaitedForQuota requests that waited for a token of the
// customer's limit, and Crashes attempts during which the target crashed.
type Work struct {
	Attempts       int64 `json:"attempts"`
	Retries        int64 `json:"retries"`
	Hops           int64 `json:"hops"`
	Queued         int64 `json:"queued"`
	WaitedForQuota int64 `json:"waited"`
	Crashes        int64 `json:"deaths"`
}

// Faults counts events that operators may have to investigate. OlderTables counts the
// Tables read from the store that were older than the one in force, and InvalidTables
// those that could not be decoded or failed their check. Pauses counts the attempts to
// end a suspension after the process was paused, ForfeitedShards the shards that another
// instance has taken over, and Store the failed calls to the store.
type Faults struct {
	OlderTables     int64 `json:"older"`
	InvalidTables   int64 `json:"bad"`
	Pauses          int64 `json:"pauses"`
	ForfeitedShards int64 `json:"forfeits"`
	Store           int64 `json:"store"`
}

// Of returns the report of an instance.
func Of(i *instance.Instance) Report {
	now := i.Timer.Now()
	s := i.State
	r := Report{
		Instance: s.Self.Name, Domain: s.Self.Domain, LifecycleState: string(i.LifecycleState()),
		Requests: i.Tally.Rows(), Work: workOf(i), Faults: faultsOf(i),
	}
	s.Lock()
	defer s.Unlock()
	r.Unconfirmed = roundToMilliseconds(now.Sub(s.TableConfirmedAt))
	r.Suspended = s.Quota.Suspended(now)
	r.Shards = s.Quota.HeldShards()
	r.Capacities = s.Pool.Capacities(now)
	for _, m := range s.Roster.Members() {
		r.Instances = append(r.Instances, PeerStatus{
			Instance: m.Digest.Name, Domain: m.Digest.Domain, Revision: m.Digest.Revision,
			Age: roundToMilliseconds(now.Sub(m.HeardAt)), Live: m.Live(now), Leaving: m.Digest.Leaving, Shards: len(m.Digest.Claims),
		})
	}
	r.Rollouts = s.Rollouts.Statuses(now)
	tableIndex := s.Index()
	if tableIndex == nil {
		return r
	}
	r.Revision = tableIndex.Table.Revision
	for _, customer := range tableIndex.Table.Customers {
		r.Limits = append(r.Limits, s.Quota.SubjectState(lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: customer.Name}))
	}
	for _, c := range i.Dispatcher.Caps(now) {
		r.Caps = append(r.Caps, Cap(c))
	}
	return r
}

func roundToMilliseconds(d time.Duration) lacewingramp.Duration {
	return lacewingramp.Duration(d.Round(time.Millisecond))
}

func workOf(i *instance.Instance) Work {
	s := i.Dispatcher.Stats()
	return Work{
		Attempts: s.Attempts.Load(), Retries: s.Retries.Load(), Hops: s.Hops.Load(),
		Queued: s.Queued.Load(), WaitedForQuota: s.WaitedForQuota.Load(), Crashes: s.Crashes.Load(),
	}
}

func faultsOf(i *instance.Instance) Faults {
	f := i.Faults()
	return Faults{
		OlderTables: f.OlderTables.Load(), InvalidTables: f.InvalidTables.Load(), Pauses: f.Pauses.Load(),
		ForfeitedShards: f.ForfeitedShards.Load(), Store: f.Store.Load(),
	}
}

// WriteText writes the report as text for a terminal with 80 columns.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "instance %s  domain %s  %s  revision %d\n", r.Instance, r.Domain, r.LifecycleState, r.Revision)
	fmt.Fprintf(&b, "table confirmed %s ago  shards %d of %d", time.Duration(r.Unconfirmed), len(r.Shards), quota.Shards)
	if r.Suspended {
		b.WriteString("  suspended after a pause")
	}
	b.WriteString("\n")
	r.writeInstances(&b)
	r.writeLimits(&b)
	r.writeCapacity(&b)
	r.writeRollouts(&b)
	r.writeRequests(&b)
	fmt.Fprintf(&b, "\nwork     attempts %d  retries %d  hops %d  queued %d  waited %d  deaths %d\n",
		r.Work.Attempts, r.Work.Retries, r.Work.Hops, r.Work.Queued, r.Work.WaitedForQuota, r.Work.Crashes)
	fmt.Fprintf(&b, "faults   older tables %d  bad tables %d  pauses %d  forfeits %d  store %d\n",
		r.Faults.OlderTables, r.Faults.InvalidTables, r.Faults.Pauses, r.Faults.ForfeitedShards, r.Faults.Store)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) writeInstances(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-28s %-10s %9s %8s %7s  %s\n", "instance", "domain", "revision", "heard", "shards", "state")
	for _, peer := range r.Instances {
		state := "live"
		if !peer.Live {
			state = "silent"
		}
		if peer.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(b, "%-28s %-10s %9d %8s %7d  %s\n", peer.Instance, peer.Domain, peer.Revision, time.Duration(peer.Age), peer.Shards, state)
	}
}

func (r *Report) writeLimits(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-28s %9s %9s %9s %6s %8s\n", "customer", "share", "level", "demand", "lent", "borrowed")
	for _, l := range r.Limits {
		share := float64(l.Own.Rate) / float64(lacewingramp.WholeLimit)
		fmt.Fprintf(b, "%-28s %8.2f%% %9.1f %7.1f/s %6d %8d\n", l.Subject.Name, share*100, l.Balance, l.Demand, l.Lent, l.Borrowed)
	}
}

func (r *Report) writeCapacity(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-28s %9s %9s %9s\n", "service", "slots", "free", "waiting")
	for _, capacity := range r.Capacities {
		fmt.Fprintf(b, "%-28s %9d %9d %9d\n", capacity.Service, capacity.Slots, capacity.Free, capacity.Waiting)
	}
	for _, c := range r.Caps {
		state := "not in force"
		if c.InForce {
			state = "in force"
		}
		fmt.Fprintf(b, "cap %-24s %s, %d of %d running here, %d at worst\n", c.Name, state, c.Running, c.Allowed, c.PeakRunning)
	}
}

func (r *Report) writeRollouts(b *strings.Builder) {
	for _, status := range r.Rollouts {
		fmt.Fprintf(b, "rollout %s of %s to %s: %s, share %.1f%%, seen %d here and elsewhere", status.Rollout, status.Service, status.Version, status.State, status.Share*100, status.Requests)
		if status.Reason != "" {
			fmt.Fprintf(b, "\n  %s", status.Reason)
		}
		b.WriteString("\n")
	}
}

func (r *Report) writeRequests(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-16s %-14s %8s %7s %9s %9s  %s\n", "customer", "route", "ran", "unclear", "p50", "p99", "not run")
	for _, row := range r.Requests {
		fmt.Fprintf(b, "%-16s %-14s %8d %7d %9s %9s  %s\n", orDash(row.Customer), orDash(row.Route), row.Ran, row.Unclear,
			time.Duration(row.P50).Round(time.Microsecond), time.Duration(row.P99).Round(time.Microsecond), formatRefused(row.Refused))
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatRefused(all map[lacewingramp.Cause]int64) string {
	parts := make([]string, 0, len(all))
	for c, n := range all {
		parts = append(parts, fmt.Sprintf("%s %d", c, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
