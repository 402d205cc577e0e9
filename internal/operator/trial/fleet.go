// Package trial runs a whole deployment in one process on loopback: the store
// behind its wire protocol, small targets, and entry instances that speak
// real HTTP and gRPC. The embedded default and focused tests use it.
//
// # Usage
//
//	f, err := trial.Open(ctx, table, []string{"uy1", "uy2"})
//	defer f.Close()
//	err = f.Ready(ctx)
package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/ledger"
	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/entry/server"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
	"lacewingramp.example/lacewingramp/internal/platform/gateway"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
	"lacewingramp.example/lacewingramp/internal/platform/target"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

const (
	anyPort     = "127.0.0.1:0"
	readyPeriod = 20 * time.Millisecond
)

// targetTime is how long a request runs on a stand-in target.
const targetTime = 5 * time.Millisecond

// Fleet is a deployment in one process.
type Fleet struct {
	Table   *lacewingramp.Table
	Store   *memory.Store
	Targets map[string]*target.Target
	Servers []*server.Server
	Log     zerolog.Logger
	Timer   lacewingramp.Timer
	Net     *Net

	storeAddress string
	closers      []func()
}

// Open starts the store with the table in it, its targets, and an instance
// for each domain that is named. The addresses of the table's targets are
// replaced.
func Open(ctx context.Context, t *lacewingramp.Table, domains []string) (*Fleet, error) {
	return OpenAt(ctx, t, domains, wall.Timer{})
}

// OpenAt is Open with another time service.
func OpenAt(ctx context.Context, t *lacewingramp.Table, domains []string, timer lacewingramp.Timer) (*Fleet, error) {
	f := &Fleet{
		Table: t, Store: &memory.Store{}, Targets: make(map[string]*target.Target), Log: zerolog.Nop(),
		Timer: timer, Net: &Net{},
	}
	address, err := f.serve(gateway.New(f.Store))
	if err != nil {
		return nil, err
	}
	f.storeAddress = "http://" + address
	used := make(map[string]bool)
	for _, d := range domains {
		used[d] = true
	}
	for i := range t.Targets {
		if err := f.openTarget(&t.Targets[i], used); err != nil {
			f.Close()
			return nil, err
		}
	}
	l := f.Ledger()
	if _, err := l.Put(ctx, t, ledger.Commit{Operator: "trial", Moment: time.Now()}); err != nil {
		f.Close()
		return nil, err
	}
	for n, d := range domains {
		if _, err := f.Join(fmt.Sprintf("%s-%d", d, n), d); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// openTarget starts the targets of domains that have an instance.
func (f *Fleet) openTarget(t *lacewingramp.Target, used map[string]bool) error {
	if !used[t.Domain] {
		return nil
	}
	k := target.New(t.Name, t.Slots, target.Behaviour{Time: lacewingramp.Duration(targetTime)})
	address, err := f.serve(k)
	if err != nil {
		return err
	}
	t.Address = address
	f.Targets[t.Name] = k
	return nil
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// Ledger returns a ledger over the wire protocol of the store.
func (f *Fleet) Ledger() *ledger.Ledger {
	return &ledger.Ledger{Store: f.Client()}
}

// Client returns a client of the store.
func (f *Fleet) Client() *etcd.Client {
	return &etcd.Client{Address: f.storeAddress}
}

// Join starts another instance.
func (f *Fleet) Join(name, domain string, seeds ...string) (*server.Server, error) {
	s, err := server.Open(server.Settings{
		Instance:     instance.Settings{Name: name, Domain: domain, Seeds: seeds},
		CallerListen: anyPort, PeerListen: anyPort, OperatorListen: anyPort,
		Wrap: func(p lacewingramp.Peer) lacewingramp.Peer { return &cutPeer{Peer: p, net: f.Net, domain: domain} },
	}, instance.Parts{
		Store: &cutStore{Store: f.Client(), net: f.Net, domain: domain},
		Timer: f.Timer, Log: f.Log.With().Str("instance", name).Logger(),
	})
	if err != nil {
		return nil, err
	}
	f.Net.place(s.PeerAddress(), domain)
	s.Start()
	f.Servers = append(f.Servers, s)
	return s, nil
}

// Callers lists the addresses that answer callers.
func (f *Fleet) Callers() []string {
	var all []string
	for _, s := range f.Servers {
		all = append(all, s.CallerAddress())
	}
	return all
}

// Ready waits until every instance serves and every shard of their domains is
// held, and each instance has heard of all the others.
func (f *Fleet) Ready(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return errors.New("the instances did not get ready in time")
		case <-time.After(readyPeriod):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	held := make(map[string]int)
	domains := make(map[string]bool)
	for _, s := range f.Servers {
		i := s.Instance
		if i.Life() != "serving" {
			return false
		}
		i.State.Lock()
		held[i.State.Self.Domain] += len(i.State.Claims)
		domains[i.State.Self.Domain] = true
		heard := 0
		for _, m := range i.State.Roster.Members() {
			if m.Live(time.Now()) {
				heard++
			}
		}
		i.State.Unlock()
		if heard < len(f.Servers)-1 {
			return false
		}
	}
	for d := range domains {
		if held[d] != quota.Shards {
			return false
		}
	}
	return true
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Instance.Close()
		s.Kill()
	}
	for _, c := range f.closers {
		c()
	}
}
