// Package trial runs a complete deployment in one process on the loopback
// interface: an in-memory store with etcd's API, stand-in targets, and entry
// instances that communicate over HTTP and gRPC. It is used by the command try and
// by tests.
//
// # Usage
//
//	d, err := trial.Open(ctx, table, []string{"uy1", "uy2"})
//	defer d.Close()
//	err = d.WaitReady(ctx)
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
	"lacewingramp.example/lacewingramp/internal/config/tablestore"
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
	anyPort           = "127.0.0.1:0"
	readyPollInterval = 20 * time.Millisecond
)

// targetServiceTime is the service time of the stand-in targets.
const targetServiceTime = 5 * time.Millisecond

// Deployment is a store, stand-in targets and entry instances in one process. Table
// is the table that it was opened with. Targets holds the stand-ins by target name.
// Network simulates isolated failure domains.
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

// Open starts a store that contains the table, one instance for each element of
// domains, and the targets in these domains. A domain that is listed twice gets two
// instances. Open sets the addresses of the started targets in t.
func Open(ctx context.Context, t *lacewingramp.Table, domains []string) (*Deployment, error) {
	return OpenWithTimer(ctx, t, domains, wall.Timer{})
}

// OpenWithTimer is like Open, but the instances use the given timer.
func OpenWithTimer(ctx context.Context, t *lacewingramp.Table, domains []string, timer lacewingramp.Timer) (*Deployment, error) {
	d := &Deployment{
		Table: t, Store: &memory.Store{}, Targets: make(map[string]*target.Target), Log: zerolog.Nop(),
		Timer: timer, Network: &Network{},
	}
	address, err := d.serve(gateway.New(d.Store))
	if err != nil {
		return nil, err
	}
	d.storeAddress = "http://" + address
	hasInstance := make(map[string]bool)
	for _, domain := range domains {
		hasInstance[domain] = true
	}
	for i := range t.Targets {
		if err := d.startTarget(&t.Targets[i], hasInstance); err != nil {
			d.Close()
			return nil, err
		}
	}
	ts := d.TableStore()
	if _, err := ts.Put(ctx, t, tablestore.Commit{Operator: "trial", Time: time.Now()}); err != nil {
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

// startTarget starts the stand-in for a target and sets its address in the table, if
// the target's domain has an instance.
func (d *Deployment) startTarget(t *lacewingramp.Target, hasInstance map[string]bool) error {
	if !hasInstance[t.Domain] {
		return nil
	}
	standIn := target.New(t.Name, t.Slots, target.Behaviour{Time: lacewingramp.Duration(targetServiceTime)})
	address, err := d.serve(standIn)
	if err != nil {
		return err
	}
	t.Address = address
	d.Targets[t.Name] = standIn
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

// TableStore returns a client for reading and committing the table in the store.
func (d *Deployment) TableStore() *tablestore.TableStore {
	return &tablestore.TableStore{Store: d.Client()}
}

// Client returns a new client of the store.
func (d *Deployment) Client() *etcd.Client {
	return &etcd.Client{Address: d.storeAddress}
}

// AddInstance starts an instance. If the store is down, the instance fetches the
// table from the peer addresses in seedAddresses.
func (d *Deployment) AddInstance(name, domain string, seedAddresses ...string) (*server.Server, error) {
	s, err := server.Open(server.Settings{
		Instance:     instance.Settings{Name: name, Domain: domain, SeedAddresses: seedAddresses},
		CallerListen: anyPort, PeerListen: anyPort, OperatorListen: anyPort,
		WrapPeer: func(p lacewingramp.Peer) lacewingramp.Peer {
			return &networkPeer{Peer: p, network: d.Network, domain: domain}
		},
	}, instance.Dependencies{
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

// CallerAddresses returns the addresses at which the instances listen for callers.
func (d *Deployment) CallerAddresses() []string {
	var all []string
	for _, s := range d.Servers {
		all = append(all, s.CallerAddress())
	}
	return all
}

// WaitReady waits until every instance is serving, every shard of their domains is
// held by an instance, and each instance regards all others as live.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting for the instances to become ready")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (d *Deployment) isReady() bool {
	heldShards := make(map[string]int)
	domains := make(map[string]bool)
	for _, s := range d.Servers {
		i := s.Instance
		if i.LifecycleState() != "serving" {
			return false
		}
		i.State.Lock()
		heldShards[i.State.Self.Domain] += len(i.State.Claims)
		domains[i.State.Self.Domain] = true
		liveMembers := 0
		for _, member := range i.State.Roster.Members() {
			if member.Live(time.Now()) {
				liveMembers++
			}
		}
		i.State.Unlock()
		if liveMembers < len(d.Servers)-1 {
			return false
		}
	}
	for domain := range domains {
		if heldShards[domain] != quota.Shards {
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
