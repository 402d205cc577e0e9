// Package index prepares a Table for requests: the route of a method and
// path, the customer of a key, and the limits that are counted over the fleet.
//
// An Index is immutable. A new revision gets a new one.
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

// Links count kilobytes.
const (
	bitsPerMegabit = 1e6
	bitsPerKilo    = 8 * 1e3
	// linkBurst is the part of a link's bandwidth, in seconds, that may pass
	// at once.
	linkBurst = 0.25
)

// capBurst is the part of a cap's rate, in seconds, that may start at once.
const capBurst = 0.1

// Index is a Table that is ready for requests.
type Index struct {
	Table *lacewingramp.Table

	mux       *http.ServeMux
	routes    map[string]*lacewingramp.Route
	patterns  map[string]*lacewingramp.Route
	customers map[string]*lacewingramp.Customer
	keys      map[[sha256.Size]byte]string
	domains   map[string]*lacewingramp.Domain
	schedules []Scheduled
}

// Scheduled is a cap with the times at which it holds.
type Scheduled struct {
	Cap      lacewingramp.Cap
	Subject  lacewingramp.Subject
	Schedule schedule.Schedule
}

// New prepares a Table that has been checked.
func New(t *lacewingramp.Table) *Index {
	x := &Index{
		Table:     t,
		mux:       http.NewServeMux(),
		routes:    make(map[string]*lacewingramp.Route),
		patterns:  make(map[string]*lacewingramp.Route),
		customers: make(map[string]*lacewingramp.Customer),
		keys:      make(map[[sha256.Size]byte]string),
		domains:   make(map[string]*lacewingramp.Domain),
	}
	x.addRoutes()
	for i := range t.Customers {
		x.customers[t.Customers[i].Name] = &t.Customers[i]
	}
	for i := range t.Domains {
		x.domains[t.Domains[i].Name] = &t.Domains[i]
	}
	x.addKeys()
	x.addCaps()
	return x
}

// addRoutes takes in the routes by method and path. Those by host and prefix are
// config/routing's, and are found by no request here.
func (x *Index) addRoutes() {
	for i := range x.Table.Routes {
		r := &x.Table.Routes[i]
		if r.Prefix != "" {
			continue
		}
		pattern := r.Method + " " + r.Path
		x.routes[r.Name] = r
		x.patterns[pattern] = r
		x.mux.Handle(pattern, http.NotFoundHandler())
	}
}

func (x *Index) addKeys() {
	for _, k := range x.Table.Keys {
		var h [sha256.Size]byte
		if n, err := hex.Decode(h[:], []byte(k.Hash)); err == nil && n == sha256.Size {
			x.keys[h] = k.Customer
		}
	}
}

func (x *Index) addCaps() {
	zones := make(map[string]string)
	for _, r := range x.Table.Regions {
		zones[r.Name] = r.Timezone
	}
	for _, c := range x.Table.Caps {
		x.schedules = append(x.schedules, Scheduled{
			Cap:      c,
			Subject:  lacewingramp.Subject{Kind: lacewingramp.SubjectCap, Name: c.Name},
			Schedule: schedule.New(c, zones[c.Region]),
		})
	}
}

// Match finds the route of a request.
func (x *Index) Match(r *http.Request) (*lacewingramp.Route, bool) {
	_, pattern := x.mux.Handler(r)
	route, ok := x.patterns[pattern]
	return route, ok
}

// Route finds a route by its name.
func (x *Index) Route(name string) (*lacewingramp.Route, bool) {
	r, ok := x.routes[name]
	return r, ok
}

// Customer finds the customer of a key. It is looked up by its SHA-256, so
// that the time it takes says nothing about the text of any key.
func (x *Index) Customer(key string) (*lacewingramp.Customer, bool) {
	h := sha256.Sum256([]byte(key))
	name, ok := x.keys[h]
	if !ok {
		return nil, false
	}
	return x.Named(name)
}

// Named finds a customer by its name.
func (x *Index) Named(name string) (*lacewingramp.Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// Domain finds a failure domain by its name.
func (x *Index) Domain(name string) (*lacewingramp.Domain, bool) {
	d, ok := x.domains[name]
	return d, ok
}

// Linked reports whether the bandwidth between two regions is bounded.
func (x *Index) Linked(from, to string) bool {
	for _, l := range x.Table.Links {
		if l.Bandwidth > 0 && (l.Region == from && l.OtherRegion == to || l.OtherRegion == from && l.Region == to) {
			return true
		}
	}
	return false
}

// Caps lists the caps of a region.
func (x *Index) Caps(region string) []Scheduled {
	var all []Scheduled
	for _, s := range x.schedules {
		if s.Cap.Region == region {
			all = append(all, s)
		}
	}
	return all
}

// Targets lists the targets of a failure domain.
func (x *Index) Targets(domain string) []lacewingramp.Target {
	var all []lacewingramp.Target
	for _, t := range x.Table.Targets {
		if t.Domain == domain {
			all = append(all, t)
		}
	}
	return all
}

// Quota returns what the quota of an instance in a region is made of. part is
// the part of its failure domain.
func (x *Index) Quota(region string, part quota.Part) quota.Config {
	c := quota.Config{
		Limits: make(map[lacewingramp.Subject]lacewingramp.Limit),
		Caps:   make(map[string]bool),
		Part:   part,
	}
	for _, u := range x.Table.Customers {
		s := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: u.Name}
		c.Limits[s] = lacewingramp.Limit{Rate: u.Rate, Burst: u.Burst}
	}
	for _, s := range x.Caps(region) {
		if s.Cap.Rate > 0 {
			c.Limits[s.Subject] = lacewingramp.Limit{Rate: s.Cap.Rate, Burst: math.Max(1, s.Cap.Rate*capBurst)}
			c.Caps[s.Cap.Name] = true
		}
	}
	for _, l := range x.Table.Links {
		kilos := l.Bandwidth * bitsPerMegabit / bitsPerKilo
		if kilos <= 0 {
			continue
		}
		limit := lacewingramp.Limit{Rate: kilos, Burst: kilos * linkBurst}
		c.Limits[LinkSubject(l.Region, l.OtherRegion)] = limit
		c.Limits[LinkSubject(l.OtherRegion, l.Region)] = limit
	}
	return c
}

// LinkSubject is the bandwidth from one region to another.
func LinkSubject(from, to string) lacewingramp.Subject {
	return lacewingramp.Subject{Kind: lacewingramp.SubjectLink, Name: from + ">" + to}
}
