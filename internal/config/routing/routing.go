// Package routing finds the route of a host and path, and the customer of a
// key, in a Table whose routes are prefixes.
//
// A Map is immutable. A new revision of the Table gets a new one, so that a
// request sees one revision from begin to end.
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

// Map is a Table that is ready for requests.
type Map struct {
	Table *lacewingramp.Table

	hosts     map[string][]*lacewingramp.Route
	services  map[string]*lacewingramp.Service
	customers map[string]*lacewingramp.Customer
	keys      map[string]string
}

// New prepares a Table.
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
	for _, list := range m.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
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

// Route finds the route with the longest prefix of a path.
func (m *Map) Route(host, path string) (*lacewingramp.Route, bool) {
	for _, r := range m.hosts[bare(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// bare returns a host in small letters and without its port.
func bare(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Customer finds the customer of a key by the key's hash.
func (m *Map) Customer(key string) (*lacewingramp.Customer, bool) {
	name, ok := m.keys[Hash(key)]
	if !ok {
		return nil, false
	}
	c, ok := m.customers[name]
	return c, ok
}

// Service finds a service by its name.
func (m *Map) Service(name string) (*lacewingramp.Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Limits returns the customers' limits over the whole fleet.
func (m *Map) Limits() map[string]lacewingramp.Limit {
	all := make(map[string]lacewingramp.Limit, len(m.customers))
	for name, c := range m.customers {
		if c.Rate > 0 {
			all[name] = lacewingramp.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	return all
}

// Homes returns the regions in which all routes of a host may run, or nil.
func (m *Map) Homes(host string) lacewingramp.Names {
	for _, r := range m.hosts[bare(host)] {
		if len(r.Regions) > 0 {
			return r.Regions
		}
	}
	return nil
}

// Hash returns the SHA-256 of a key in hex, the form in which a Table keeps it.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
