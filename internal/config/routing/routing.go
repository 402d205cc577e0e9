// Package routing looks up the route of a host and path, and the customer of an
// access key, in a Table whose routes are given by path prefixes.
//
// A Map is immutable. Each revision of the Table gets a Map of its own, so that
// a request sees the same revision from start to end.
//
// # Usage
//
//	m := routing.New(table)
//	route, ok := m.Route(host, path)
//	customer, ok := m.Customer(key)
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sort"
	"strings"

	"lacewingramp.example/lacewingramp"
)

// Map indexes a Table by the values that requests are matched by. hosts holds the
// routes of each host, those with the longest prefix first, and keys maps the
// hashes of keys to the names of their customers.
type Map struct {
	Table *lacewingramp.Table

	hosts     map[string][]*lacewingramp.Route
	services  map[string]*lacewingramp.Service
	customers map[string]*lacewingramp.Customer
	keys      map[string]string
}

// New returns the Map of a Table. The Table must not be changed afterwards.
func New(t *lacewingramp.Table) *Map {
	m := &Map{
		Table:     t,
		hosts:     make(map[string][]*lacewingramp.Route),
		services:  make(map[string]*lacewingramp.Service),
		customers: make(map[string]*lacewingramp.Customer),
		keys:      make(map[string]string),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Services {
		m.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Customers {
		m.customers[t.Customers[i].Name] = &t.Customers[i]
	}
	for _, k := range t.Keys {
		m.keys[k.Hash] = k.Customer
	}
	return m
}

// Route returns the host's route with the longest prefix that path begins with.
func (m *Map) Route(host, path string) (*lacewingramp.Route, bool) {
	for _, r := range m.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Customer returns the customer to whom a key in clear text belongs.
func (m *Map) Customer(key string) (*lacewingramp.Customer, bool) {
	name, ok := m.keys[Hash(key)]
	if !ok {
		return nil, false
	}
	c, ok := m.customers[name]
	return c, ok
}

// Service returns the service of a name.
func (m *Map) Service(name string) (*lacewingramp.Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Limits returns the limits of the customers that have one, by customer name.
// They apply to the whole fleet.
func (m *Map) Limits() map[string]lacewingramp.Limit {
	limits := make(map[string]lacewingramp.Limit, len(m.customers))
	for name, c := range m.customers {
		if c.Rate > 0 {
			limits[name] = lacewingramp.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	return limits
}

// AllowedRegions returns the regions that a host's requests are restricted to, or
// nil if none of its routes is restricted. If several are, it returns the regions of
// the one with the longest prefix.
func (m *Map) AllowedRegions(host string) lacewingramp.NameList {
	for _, r := range m.hosts[normalizeHost(host)] {
		if len(r.Regions) > 0 {
			return r.Regions
		}
	}
	return nil
}

// Hash returns the SHA-256 of a key in hexadecimal, as Tables store it.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
