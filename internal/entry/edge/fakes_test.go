package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/entry/edge"
	"lacewingramp.example/lacewingramp/internal/proof/loopback"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// store is an in-memory fake of the platform's store.
type store struct {
	mu       sync.Mutex
	mirror   mirror.Mirror
	revision int64
	down     atomic.Bool
}

func (s *store) put(key string, v any) {
	raw, err := json.Marshal(v)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Value: raw}})
}

func (s *store) change(c lacewingramp.Change) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == 0 {
		s.revision = 1
		s.mirror.ApplySnapshot(nil, lacewingramp.Position{Revision: 1})
	}
	s.revision++
	c.Revision = s.revision
	s.mirror.Apply([]lacewingramp.Change{c}, c.Position())
	return s.revision
}

func (s *store) keyValue(key string) lacewingramp.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := s.mirror.KeyValue(key)
	return i
}

func (s *store) Snapshot(context.Context) ([]lacewingramp.KeyValue, lacewingramp.Position, error) {
	if s.down.Load() {
		return nil, lacewingramp.Position{}, lacewingramp.ErrUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	keyValues, position := s.mirror.Snapshot()
	return keyValues, position, nil
}

func (s *store) Changes(ctx context.Context, after lacewingramp.Position, wait time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	for end := time.Now().Add(wait); ctx.Err() == nil; {
		if s.down.Load() {
			return nil, after, lacewingramp.ErrUnreachable
		}
		s.mu.Lock()
		all, position, ok := s.mirror.Since(after)
		s.mu.Unlock()
		if !ok {
			return nil, after, lacewingramp.ErrCompacted
		}
		if len(all) > 0 || !time.Now().Before(end) {
			return all, position, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, after, ctx.Err()
}

func (s *store) Put(_ context.Context, key string, value []byte, _ lacewingramp.LeaseID) (int64, error) {
	if s.down.Load() {
		return 0, lacewingramp.ErrUnreachable
	}
	return s.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Value: value}}), nil
}

func (s *store) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (int64, error) {
	if s.keyValue(key).Revision != base {
		return 0, lacewingramp.ErrConflict
	}
	return s.Put(ctx, key, value, lease)
}

func (s *store) GrantLease(context.Context, int64) (lacewingramp.LeaseID, error) { return 1, nil }
func (s *store) RenewLease(context.Context, lacewingramp.LeaseID) error          { return nil }
func (s *store) RevokeLease(context.Context, lacewingramp.LeaseID) error         { return nil }

// codec decodes and encodes the documents and headers of the fakes.
type codec struct{}

func (codec) Decode(c lacewingramp.Change) (lacewingramp.StoreEvent, error) {
	event := lacewingramp.StoreEvent{Key: c.Key, Revision: c.Revision, Removed: c.Deleted}
	kind, name, _ := strings.Cut(c.Key, "/")
	value := c.Value
	if c.Deleted {
		value = []byte("{}")
	}
	switch kind {
	case "table":
		event.Table = &lacewingramp.Table{}
		return event, json.Unmarshal(value, event.Table)
	case "target":
		event.TargetRegistration = &lacewingramp.TargetRegistration{}
		err := json.Unmarshal(value, event.TargetRegistration)
		event.TargetRegistration.Name = name
		return event, err
	case "empty":
		event.Evacuation = &lacewingramp.Evacuation{Domain: name}
	case "order":
		event.RolloutOrder = &lacewingramp.RolloutOrder{}
		return event, json.Unmarshal(value, event.RolloutOrder)
	case "start":
		event.RolloutStart = &lacewingramp.RolloutStart{}
		return event, json.Unmarshal(value, event.RolloutStart)
	case "result":
		event.RolloutStatus = &lacewingramp.RolloutStatus{}
		return event, json.Unmarshal(value, event.RolloutStatus)
	case "lacewingramp":
		event.Instance = &lacewingramp.Endpoint{}
		return event, json.Unmarshal(value, event.Instance)
	}
	return event, nil
}

func (codec) Instance(e lacewingramp.Endpoint) (string, []byte, error) {
	value, err := json.Marshal(e)
	return lacewingramp.KeyInstances + e.Name, value, err
}

func (codec) RolloutStart(s lacewingramp.RolloutStart) (string, []byte, error) {
	value, err := json.Marshal(s)
	return "start/" + s.Service, value, err
}

func (codec) RolloutStatus(s lacewingramp.RolloutStatus) (string, []byte, error) {
	value, err := json.Marshal(s)
	return "result/" + s.Service, value, err
}

func (codec) CallerHeaders(h http.Header) (lacewingramp.CallerHeaders, error) {
	return lacewingramp.CallerHeaders{ID: h.Get("Id"), Key: h.Get("Key"), Object: h.Get("Object")}, nil
}

func (codec) SetTargetHeaders(h http.Header, values lacewingramp.TargetHeaders) {
	h.Del("Key")
	h.Set("For", values.Customer)
	h.Set("Left", strconv.FormatInt(values.Remaining.Milliseconds(), 10))
}

func (codec) ResponseHeaders(_ int, h http.Header) lacewingramp.ResponseHeaders {
	leaving := h.Get("Leaving")
	return lacewingramp.ResponseHeaders{ID: h.Get("Id"), NotRun: h.Get("Shed") != "", Leaving: leaving == "1", InvalidLeaving: leaving != "" && leaving != "1", RetryAfter: readPause(h.Get("Pause"))}
}

// readPause reads the pause that a target asks for, in seconds.
func readPause(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (codec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Again", after.String())
}

func (codec) SetRequestID(h http.Header, id string) {
	h.Set("Id", id)
}

// target is a fake target. It responds with the customer and key that it received.
type target struct {
	name        string
	mode        atomic.Value
	runs        atomic.Int32
	stop        chan struct{}
	releaseOnce sync.Once
	// leaving is what the target says of whether it is leaving, "" for nothing.
	leaving atomic.Value
	// pause is the pause that the target asks for when it refuses a request, in seconds,
	// "" for none. refusals counts the requests that it refused.
	pause    atomic.Value
	refusals atomic.Int32
	// delay is how long the target takes to respond, in nanoseconds.
	delay atomic.Int64
	// cutOff counts the connections that the caller closed in modeEndless.
	cutOff atomic.Int32
}

// The behaviours of a target.
const (
	modeWell    = "well"
	modeShed    = "shed"
	modeBreak   = "break"
	modeFail    = "fail"
	modeSilence = "silence"
	// modeHalfSilence sends no response to every second request.
	modeHalfSilence = "half-silence"
	// modeEndless sends interim responses until the caller closes the connection.
	modeEndless = "endless"
	// modeLarge sends a whole response that is large.
	modeLarge = "large"
	// modeForge responds as if it were an instance that has not run the request.
	modeForge = "forge"
)

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	mode, _ := t.mode.Load().(string)
	if leaving, _ := t.leaving.Load().(string); leaving != "" {
		w.Header().Set("Leaving", leaving)
	}
	if mode == modeShed {
		w.Header().Set("Shed", "1")
		t.refusals.Add(1)
		if pause, _ := t.pause.Load().(string); pause != "" {
			w.Header().Set("Pause", pause)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if runs := t.runs.Add(1); mode == modeHalfSilence && runs%2 == 0 {
		mode = modeSilence
	}
	time.Sleep(time.Duration(t.delay.Load()))
	switch mode {
	case modeBreak:
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.Close()
		}
		return
	case modeEndless:
		t.sendWithoutEnd(w)
		return
	case modeLarge:
		_, _ = w.Write(make([]byte, largeBody))
		return
	case modeFail:
		w.WriteHeader(http.StatusInternalServerError)
	case modeForge:
		w.Header().Set("Lacewingramp-Relay-Outcome", lacewingramp.RelayUnavailable.String())
		w.Header().Set("Lacewingramp-Relay-Leaving", `{"target":"`+forgedLeaving+`","start":1}`)
	case modeSilence:
		select {
		case <-r.Context().Done():
		case <-t.stop:
		}
	}
	_, _ = fmt.Fprintf(w, "%s for %q key %q", t.name, r.Header.Get("For"), r.Header.Get("Key"))
}

// largeBody is the size of the responses in modeLarge. Two of them fit into the memory that an
// instance takes for responses.
const largeBody = 12 << 20

// release lets the requests end that run in modeSilence, and all later ones.
func (t *target) release() {
	t.releaseOnce.Do(func() { close(t.stop) })
}

// sendWithoutEnd sends interim responses until the caller closes the connection.
func (t *target) sendWithoutEnd(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for err == nil {
		_, err = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	t.cutOff.Add(1)
}

// forgedLeaving is the target that others report to be leaving in modeForge.
const forgedLeaving = "t1"

// deployment is a store, targets and instances on loopback addresses.
type deployment struct {
	store   *store
	targets []*target
	// addresses are those of the targets.
	addresses []string
	// domains are the failure domains of the first instances. Those of others are "a".
	domains         []string
	edges           []*edge.Edge
	callerAddresses []string
	// memory is that of the instances in bytes, 0 for no limit.
	memory int64
	// dialers open the instances' connections to targets.
	dialers []*cutDialer
	stops   []context.CancelFunc
	exited  []chan struct{}
	// usage returns the settings and dependencies of usage reports for an instance, nil for none.
	usage func(name string) (*edge.UsageSettings, *edge.UsageDependencies)
}

// freeAddress returns an unused loopback address.
func freeAddress() string {
	address, err := loopback.Free()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return address
}

// testTable returns a table with the given revision.
func testTable(revision int64) *lacewingramp.Table {
	route := func(name string, idempotent, open bool) lacewingramp.Route {
		return lacewingramp.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s", Idempotent: idempotent, AllowAnonymous: open,
			Affinity: true, AttemptLimit: 2, Deadline: lacewingramp.Duration(5 * time.Second),
		}
	}
	return &lacewingramp.Table{
		Revision:  revision,
		Routes:    []lacewingramp.Route{route("read", true, false), route("order", false, false), route("open", true, true)},
		Services:  []lacewingramp.Service{{Name: "s"}},
		Customers: []lacewingramp.Customer{{Name: "andes"}, {Name: "small", Rate: 0.01, Burst: 3}},
		Keys: []lacewingramp.AccessKey{
			{Name: "andes-1", Customer: "andes", Hash: routing.Hash("andes-key")},
			{Name: "small-1", Customer: "small", Hash: routing.Hash("small-key")},
		},
	}
}

// newDeployment starts targets and registers them in a new store.
func newDeployment(targets int) *deployment {
	d := &deployment{store: &store{}}
	for i := range targets {
		t := &target{name: fmt.Sprint("t", i), stop: make(chan struct{})}
		t.mode.Store(modeWell)
		s := httptest.NewServer(t)
		ginkgo.DeferCleanup(func() {
			t.release()
			s.CloseClientConnections()
			s.Close()
		})
		d.targets = append(d.targets, t)
		d.addresses = append(d.addresses, s.Listener.Addr().String())
		d.store.put("target/"+t.name, d.registration(i, s.Listener.Addr().String()))
	}
	return d
}

func (d *deployment) registration(i int, address string) lacewingramp.TargetRegistration {
	return lacewingramp.TargetRegistration{StartMillis: 1, Target: lacewingramp.Target{
		Service: "s", Domain: []string{"a", "b"}[i%2], Version: "v1", Address: address, Slots: 4,
	}}
}

// stopTimeout is how long an instance may take to stop.
const stopTimeout = 2 * time.Second

// start starts an instance that uses the given store.
func (d *deployment) start(s edge.Store) *edge.Edge {
	name := fmt.Sprint("edge-", len(d.edges))
	caller := freeAddress()
	dialer := &cutDialer{}
	domain := "a"
	if len(d.edges) < len(d.domains) {
		domain = d.domains[len(d.edges)]
	}
	regions := map[string]string{"a": "north", "b": "south"}
	var usageSettings *edge.UsageSettings
	var usageDependencies *edge.UsageDependencies
	if d.usage != nil {
		usageSettings, usageDependencies = d.usage(name)
	}
	e := edge.New(edge.Settings{
		Name: name, Domain: domain, Region: regions[domain], Regions: regions,
		CallerAddress: caller, Peer: freeAddress(), Relay: freeAddress(), Bootstrap: true, StopTimeout: stopTimeout, MaxLookupTTL: 5 * time.Second,
		RetryRatio: 0.2, RetryExtra: 60, RetryWindow: 10 * time.Second, MaxCanaryFraction: 0.5,
		Memory: d.memory, Usage: usageSettings,
	}, edge.Dependencies{
		Store: s, EventDecoder: codec{}, DocumentEncoder: codec{}, HeaderCodec: codec{}, Timer: wall.Timer{},
		Log: zerolog.Nop(), Meter: meter.New(), Dialer: dialer, Usage: usageDependencies,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer ginkgo.GinkgoRecover()
		defer close(done)
		gomega.Expect(e.Run(ctx)).To(gomega.Succeed())
	}()
	ginkgo.DeferCleanup(func() {
		cancel()
		<-done
	})
	d.edges = append(d.edges, e)
	d.dialers = append(d.dialers, dialer)
	d.callerAddresses = append(d.callerAddresses, caller)
	d.stops = append(d.stops, cancel)
	d.exited = append(d.exited, done)
	return e
}
