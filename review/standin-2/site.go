package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// site is a small installation: a store, upstreams of three services, an operator and
// machines, each of which runs the role of the deploy file as a process of its own.
type site struct {
	store    *store
	machines []*machine
	record   *record
	dir      string
	address  func(port int) string
	// ports holds free ports for further upstreams.
	ports []int
}

// options of a site.
type options struct {
	machines  int
	work      time.Duration
	bodyBytes int
	// rate is the usage cap of the tenant, 0 for none.
	rate float64
	// upstreams is the number of upstreams of each service, and further the number of those that
	// come later.
	upstreams int
	further   int
}

func newSite(o options, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/lacewingramp")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built")
	}
	s := &site{record: r, dir: dir}
	net2, net3 := 2+rand.IntN(250), rand.IntN(250)
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net2, net3, n) }
	ips := []string{ip(250)}
	for n := range o.machines {
		ips = append(ips, ip(n+1))
	}
	free, err := freePorts(ips, 5+3*o.upstreams+o.further)
	if err != nil {
		return nil, err
	}
	s.address = func(port int) string { return fmt.Sprintf("%s:%d", ip(250), port) }
	if s.store, err = newStore(s.address(free[0])); err != nil {
		return nil, err
	}
	p := ports{front: free[1], ready: free[2], control: free[3], directory: free[4], inner: 40000 + rand.IntN(20000)}
	zones := []string{"kochi-a", "kochi-b"}
	for n := range o.machines {
		s.machines = append(s.machines, &machine{
			name: fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zone: zones[n%2], region: "kerala", ip: ip(n + 1), ports: p,
			store: s.store.address, program: program, dir: dir, record: r,
		})
	}
	s.ports = free[5:]
	for _, service := range []string{"scan-desk", "signoff-ledger", "history-vault"} {
		for n := range o.upstreams {
			if _, err := s.addUpstream(o, service, zones[n%2], n); err != nil {
				return nil, err
			}
		}
	}
	s.store.put("op/config", manifest(o))
	for _, m := range s.machines {
		go m.run()
	}
	return s, nil
}

// addUpstream starts an upstream, which registers itself.
func (s *site) addUpstream(o options, service, zone string, n int) (*upstream, error) {
	u := &upstream{
		id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: s.address(s.ports[0]), slots: 8, queue: 24,
		work: o.work, bodyBytes: o.bodyBytes, record: s.record,
	}
	s.ports = s.ports[1:]
	if err := u.start(); err != nil {
		return nil, err
	}
	go u.register(s.store)
	return u, nil
}

// manifest is like the example of `fleetbench wire` for the small installation.
func manifest(o options) map[string]any {
	rule := func(name, prefix, kind, service string, priority int, aim, timeout float64) map[string]any {
		return map[string]any{
			"name": name, "routeType": kind, "targetLatencyS": aim, "priority": priority, "public": false, "affinity": true,
			"match":  map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeoutS": timeout, "maxAttempts": 2, "allowedRegions": []string{}},
		}
	}
	var clusters []any
	for _, name := range []string{"scan-desk", "signoff-ledger", "history-vault"} {
		clusters = append(clusters, map[string]any{"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 5.8})
	}
	return map[string]any{
		"version": "r7",
		"limits":  map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 67108864, "headerTimeoutS": headerTimeoutS, "idleTimeoutS": 15},
		"tenants": []any{map[string]any{"name": tenant, names["keys"]: []string{key}, "priority": 0, names["rate"]: o.rate, "burst": o.rate, "allowedRegions": []string{}}},
		"listeners": []any{map[string]any{"host": host, "policy": []any{
			rule("r-scan", "/scan/", "safe", "scan-desk", 2, 0.6, 2),
			rule("r-sign", "/sign/", "unsafe", "signoff-ledger", 1, 0.8, 2.5),
			rule("r-history", "/history/", "safe", "history-vault", 2, 1.5, 5),
		}}},
		"clusters": clusters,
	}
}

// Limits of the manifest.
const (
	maxHeaderBytes = 16384
	headerTimeoutS = 3
)

// awaitReady waits until all machines are ready, as the platform asks.
func (s *site) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := 0
		for _, m := range s.machines {
			if found, _ := ask(m, m); len(found) > 0 {
				ready++
			}
		}
		if ready == len(s.machines) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (s *site) close() {
	for _, m := range s.machines {
		m.stop()
	}
	_ = os.RemoveAll(s.dir)
}
