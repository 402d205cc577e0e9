// Package index provides lookups in a Table that are needed to handle requests:
// the route for a method and path, the customer for a key, and the limits that
// all instances enforce together.
//
// An Index is immutable. A new one is created for each revision of the Table.
//
// # Usage
//
//	i := index.New(table)
//	route, ok := i.Match(request)
//	customer, ok := i.Customer(key)
package index

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/limit/schedule"
)

// A token of a link's limit is a kilobyte.
const (
	bitsPerMegabit  = 1e6
	bitsPerKilobyte = 8 * 1e3
	// linkBurstSeconds determines the burst of a link, which is the amount of
	// data that the link transfers in this time at its maximum bandwidth.
	linkBurstSeconds = 0.25
)

// capBurstSeconds determines the burst of a cap, which is the number of requests
// that the cap's rate allows in this time, but at least 1.
const capBurstSeconds = 0.1

// Index holds a Table and the maps for lookups in it.
type Index struct {
	Table *lacewingramp.Table

	mux                *http.ServeMux
	routesByName       map[string]*lacewingramp.Route
	routesByPattern    map[string]*lacewingramp.Route
	customersByName    map[string]*lacewingramp.Customer
	customersByKeyHash map[[sha256.Size]byte]string
	domainsByName      map[string]*lacewingramp.Domain
	scheduledCaps      []ScheduledCap
}

// ScheduledCap is a cap, the subject of its limit, and the schedule of the times at
// which the cap applies.
type ScheduledCap struct {
	Cap      lacewingramp.Cap
	Subject  lacewingramp.Subject
	Schedule schedule.Schedule
}

// New returns the Index of a valid Table.
func New(t *lacewingramp.Table) *Index {
	x := &Index{
		Table:              t,
		mux:                http.NewServeMux(),
		routesByName:       make(map[string]*lacewingramp.Route),
		routesByPattern:    make(map[string]*lacewingramp.Route),
		customersByName:    make(map[string]*lacewingramp.Customer),
		customersByKeyHash: make(map[[sha256.Size]byte]string),
		domainsByName:      make(map[string]*lacewingramp.Domain),
	}
	x.addRoutes()
	for i := range t.Customers {
		x.customersByName[t.Customers[i].Name] = &t.Customers[i]
	}
	for i := range t.Domains {
		x.domainsByName[t.Domains[i].Name] = &t.Domains[i]
	}
	x.addKeys()
	x.addCaps()
	return x
}

// addRoutes adds the routes that select requests by method and path. Those that
// select by host and path prefix are left out: package config/routing matches them.
func (x *Index) addRoutes() {
	for i := range x.Table.Routes {
		r := &x.Table.Routes[i]
		if r.Prefix != "" {
			continue
		}
		pattern := r.Method + " " + r.Path
		x.routesByName[r.Name] = r
		x.routesByPattern[pattern] = r
		x.mux.Handle(pattern, http.NotFoundHandler())
	}
}

func (x *Index) addKeys() {
	for _, k := range x.Table.Keys {
		var h [sha256.Size]byte
		if n, err := hex.Decode(h[:], []byte(k.Hash)); err == nil && n == sha256.Size {
			x.customersByKeyHash[h] = k.Customer
		}
	}
}

func (x *Index) addCaps() {
	zones := make(map[string]string)
	for _, r := range x.Table.Regions {
		zones[r.Name] = r.Timezone
	}
	for _, c := range x.Table.Caps {
		x.scheduledCaps = append(x.scheduledCaps, ScheduledCap{
			Cap:      c,
			Subject:  lacewingramp.Subject{Kind: lacewingramp.SubjectCap, Name: c.Name},
			Schedule: schedule.New(c, zones[c.Region]),
		})
	}
}

// Match returns the route whose method and path match a request. It never returns a
// route that selects requests by host and path prefix.
func (x *Index) Match(r *http.Request) (*lacewingramp.Route, bool) {
	_, pattern := x.mux.Handler(r)
	route, ok := x.routesByPattern[pattern]
	return route, ok
}

// Route returns the route with the name. Routes that select requests by host and path
// prefix are not found.
func (x *Index) Route(name string) (*lacewingramp.Route, bool) {
	r, ok := x.routesByName[name]
	return r, ok
}

// Customer returns the customer that a key belongs to. Keys are looked up by
// their SHA-256 hash, so that the time of a lookup reveals nothing about the
// text of a key.
func (x *Index) Customer(key string) (*lacewingramp.Customer, bool) {
	h := sha256.Sum256([]byte(key))
	name, ok := x.customersByKeyHash[h]
	if !ok {
		return nil, false
	}
	return x.CustomerByName(name)
}

// CustomerByName returns the customer with the name.
func (x *Index) CustomerByName(name string) (*lacewingramp.Customer, bool) {
	c, ok := x.customersByName[name]
	return c, ok
}

// Domain returns the failure domain with the name.
func (x *Index) Domain(name string) (*lacewingramp.Domain, bool) {
	d, ok := x.domainsByName[name]
	return d, ok
}

// BandwidthLimited reports whether the bandwidth between two regions is limited.
func (x *Index) BandwidthLimited(from, to string) bool {
	for _, l := range x.Table.Links {
		if l.Bandwidth > 0 && (l.Region == from && l.OtherRegion == to || l.OtherRegion == from && l.Region == to) {
			return true
		}
	}
	return false
}

// Caps returns the caps of a region, whether or not they apply at present.
func (x *Index) Caps(region string) []ScheduledCap {
	var all []ScheduledCap
	for _, s := range x.scheduledCaps {
		if s.Cap.Region == region {
			all = append(all, s)
		}
	}
	return all
}

// Targets returns the targets in a failure domain, for all services.
func (x *Index) Targets(domain string) []lacewingramp.Target {
	var all []lacewingramp.Target
	for _, t := range x.Table.Targets {
		if t.Domain == domain {
			all = append(all, t)
		}
	}
	return all
}

// Quota returns the configuration of the quota of an instance in a region. shares are
// the shares of the limits that the instance's failure domain has. The limit of a
// link applies to each direction separately.
func (x *Index) Quota(region string, shares quota.DomainShares) quota.Config {
	c := quota.Config{
		Limits:       make(map[lacewingramp.Subject]lacewingramp.Limit),
		Caps:         make(map[string]bool),
		DomainShares: shares,
	}
	for _, customer := range x.Table.Customers {
		s := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: customer.Name}
		c.Limits[s] = lacewingramp.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	for _, s := range x.Caps(region) {
		if s.Cap.Rate > 0 {
			c.Limits[s.Subject] = lacewingramp.Limit{Rate: s.Cap.Rate, Burst: math.Max(1, s.Cap.Rate*capBurstSeconds)}
			c.Caps[s.Cap.Name] = true
		}
	}
	for _, l := range x.Table.Links {
		kilobytesPerSecond := l.Bandwidth * bitsPerMegabit / bitsPerKilobyte
		if kilobytesPerSecond <= 0 {
			continue
		}
		limit := lacewingramp.Limit{Rate: kilobytesPerSecond, Burst: kilobytesPerSecond * linkBurstSeconds}
		c.Limits[LinkSubject(l.Region, l.OtherRegion)] = limit
		c.Limits[LinkSubject(l.OtherRegion, l.Region)] = limit
	}
	return c
}

// LinkSubject returns the subject of the bandwidth limit from one region to
// another.
func LinkSubject(from, to string) lacewingramp.Subject {
	return lacewingramp.Subject{Kind: lacewingramp.SubjectLink, Name: from + ">" + to}
}
