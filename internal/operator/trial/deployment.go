// Package trial runs a complete deployment in one process on the loopback
// interface: a store behind etcd's API, stand-in targets, and entry instances that
// communicate over HTTP and gRPC. The command try and tests use it.
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

// targetTime is the service time of the stand-in targets.
const targetTime = 5 * time.Millisecond

// Deployment is a store, targets and entry instances in one process.
type Deployment struct {
	Table   *lacewingramp.Table
	Store   *memory.Store
	Targets map[string]*target.Target
	Servers []*server.Server
	Log     zerolog.Logger
	Timer   lacewingramp.Timer
	Network *Network

	storeAddress string
	closers      []func()
}

// Open starts a store that contains the table, an instance in each of the domains,
// which may occur more than once, and the targets in these domains. It replaces the
// addresses of these targets in the table.
func Open(ctx context.Context, t *lacewingramp.Table, domains []string) (*Deployment, error) {
	return OpenAt(ctx, t, domains, wall.Timer{})
}

// OpenAt is Open with the given timer.
func OpenAt(ctx context.Context, t *lacewingramp.Table, domains []string, timer lacewingramp.Timer) (*Deployment, error) {
	d := &Deployment{
		Table: t, Store: &memory.Store{}, Targets: make(map[string]*target.Target), Log: zerolog.Nop(),
		Timer: timer, Network: &Network{},
	}
	address, err := d.serve(gateway.New(d.Store))
	if err != nil {
		return nil, err
	}
	d.storeAddress = "http://" + address
	withInstance := make(map[string]bool)
	for _, domain := range domains {
		withInstance[domain] = true
	}
	for i := range t.Targets {
		if err := d.startTarget(&t.Targets[i], withInstance); err != nil {
			d.Close()
			return nil, err
		}
	}
	l := d.Ledger()
	if _, err := l.Put(ctx, t, ledger.Commit{Operator: "trial", Moment: time.Now()}); err != nil {
		d.Close()
		return nil, err
	}
	for n, domain := range domains {
		if _, err := d.AddInstance(fmt.Sprintf("%s-%d", domain, n), domain); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// startTarget starts a target if its domain has an instance.
func (d *Deployment) startTarget(t *lacewingramp.Target, withInstance map[string]bool) error {
	if !withInstance[t.Domain] {
		return nil
	}
	k := target.New(t.Name, t.Slots, target.Behaviour{Time: lacewingramp.Duration(targetTime)})
	address, err := d.serve(k)
	if err != nil {
		return err
	}
	t.Address = address
	d.Targets[t.Name] = k
	return nil
}

func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// Ledger returns a ledger that uses a client of the store.
func (d *Deployment) Ledger() *ledger.Ledger {
	return &ledger.Ledger{Store: d.Client()}
}

// Client returns a client of the store.
func (d *Deployment) Client() *etcd.Client {
	return &etcd.Client{Address: d.storeAddress}
}

// AddInstance starts an instance.
func (d *Deployment) AddInstance(name, domain string, seeds ...string) (*server.Server, error) {
	s, err := server.Open(server.Settings{
		Instance:     instance.Settings{Name: name, Domain: domain, Seeds: seeds},
		CallerListen: anyPort, PeerListen: anyPort, OperatorListen: anyPort,
		WrapPeer: func(p lacewingramp.Peer) lacewingramp.Peer {
			return &networkPeer{Peer: p, network: d.Network, domain: domain}
		},
	}, instance.Parts{
		Store: &networkStore{Store: d.Client(), network: d.Network, domain: domain},
		Timer: d.Timer, Log: d.Log.With().Str("instance", name).Logger(),
	})
	if err != nil {
		return nil, err
	}
	d.Network.setDomain(s.PeerAddress(), domain)
	s.Start()
	d.Servers = append(d.Servers, s)
	return s, nil
}

// Callers returns the addresses at which the instances accept requests of callers.
func (d *Deployment) Callers() []string {
	var all []string
	for _, s := range d.Servers {
		all = append(all, s.CallerAddress())
	}
	return all
}

// WaitReady waits until every instance is serving, every shard of their domains is
// held, and each instance has heard from all others.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return errors.New("time-out while waiting for the instances to become ready")
		case <-time.After(readyPeriod):
		}
	}
	return nil
}

func (d *Deployment) isReady() bool {
	held := make(map[string]int)
	domains := make(map[string]bool)
	for _, s := range d.Servers {
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
		if heard < len(d.Servers)-1 {
			return false
		}
	}
	for domain := range domains {
		if held[domain] != quota.Shards {
			return false
		}
	}
	return true
}

// Close terminates all instances without a graceful shutdown, then the targets and
// the store.
func (d *Deployment) Close() {
	for _, s := range d.Servers {
		s.Instance.Close()
		s.Kill()
	}
	for _, c := range d.closers {
		c()
	}
}
