package lacewingramp

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Maximum values in a Table.
const (
	maxRate      = 1e7
	maxSlots     = 1 << 16
	maxWeight    = 1e6
	maxBandwidth = 1e6
	hashBytes    = 32
)

const maxRouteDeadline = time.Hour

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check returns all invalid values of the table as TableErrors, or nil.
func (t *Table) Check() error {
	c := newChecker(t)
	c.topology()
	c.services()
	c.customers()
	c.limits()
	c.rollouts()
	c.blocks()
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

type nameSet map[string]struct{}

type checker struct {
	table     *Table
	faults    TableErrors
	names     map[string]nameSet
	serviceOf map[string]string
	mux       *http.ServeMux
}

func newChecker(t *Table) *checker {
	return &checker{
		table:     t,
		names:     make(map[string]nameSet),
		serviceOf: make(map[string]string),
		mux:       http.NewServeMux(),
	}
}

func (c *checker) fault(kind string, index int, column, value, expected string) {
	c.faults = append(c.faults, TableError{
		Kind: kind, Index: index, Column: column, Value: value, Expected: expected,
	})
}

func (c *checker) name(kind string, index int, name string) {
	if !namePattern.MatchString(name) {
		c.fault(kind, index, "name", name, "1 to 63 of a-z, 0-9, dot, dash and underscore")
	}
	c.unique(kind, index, name)
}

func (c *checker) unique(kind string, index int, name string) {
	set, ok := c.names[kind]
	if !ok {
		set = make(nameSet)
		c.names[kind] = set
	}
	if _, taken := set[name]; taken {
		c.fault(kind, index, "name", name, "a name that no other "+kind+" row has")
	}
	set[name] = struct{}{}
}

func (c *checker) reference(kind string, index int, column, name string) {
	if _, ok := c.names[column][name]; ok {
		return
	}
	c.fault(kind, index, column, name, "the name of a "+column+" row ("+c.knownNames(column)+")")
}

func (c *checker) knownNames(kind string) string {
	const maxNames = 5
	all := make([]string, 0, len(c.names[kind]))
	for n := range c.names[kind] {
		all = append(all, n)
	}
	sort.Strings(all)
	if len(all) == 0 {
		return "there is none"
	}
	if len(all) > maxNames {
		return strings.Join(all[:maxNames], ", ") + ", …"
	}
	return strings.Join(all, ", ")
}

func (c *checker) inRange(kind string, index int, column string, value, minValue, maxValue float64) {
	if math.IsNaN(value) || value < minValue || value > maxValue {
		c.fault(kind, index, column, formatNumber(value), "a number from "+formatNumber(minValue)+" to "+formatNumber(maxValue))
	}
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func (c *checker) topology() {
	for i, r := range c.table.Regions {
		c.name("region", i, r.Name)
		if _, err := time.LoadLocation(r.Timezone); err != nil || r.Timezone == "" {
			c.fault("region", i, "timezone", r.Timezone, "an IANA time zone such as America/Montevideo")
		}
	}
	for i, d := range c.table.Domains {
		c.name("domain", i, d.Name)
		c.reference("domain", i, "region", d.Region)
		c.inRange("domain", i, "weight", d.Weight, 0, maxWeight)
	}
}

func (c *checker) services() {
	for i, s := range c.table.Services {
		c.name("service", i, s.Name)
	}
	for i, r := range c.table.Routes {
		c.name("route", i, r.Name)
		c.routeServices(i, r)
		c.route(i, r)
	}
	for i, v := range c.table.Versions {
		c.name("version", i, v.Name)
		c.reference("version", i, "service", v.Service)
		c.serviceOf[v.Name] = v.Service
	}
	for i, t := range c.table.Targets {
		c.target(i, t)
	}
}

var routeMethods = nameSet{"GET": {}, "HEAD": {}, "POST": {}, "PUT": {}, "PATCH": {}, "DELETE": {}}

// routeServices checks that the services of a route exist.
func (c *checker) routeServices(index int, r Route) {
	if len(r.ServiceWeights) == 0 {
		c.reference("route", index, "service", r.Service)
		return
	}
	for _, w := range r.ServiceWeights {
		c.reference("route", index, "service", w.Service)
		c.inRange("route", index, "split", w.Weight, 0, maxWeight)
	}
}

func (c *checker) route(index int, r Route) {
	c.deadline(index, r)
	if r.Prefix != "" {
		c.prefix(index, r)
		return
	}
	if _, ok := routeMethods[r.Method]; !ok {
		c.fault("route", index, "method", r.Method, "one of GET, HEAD, POST, PUT, PATCH, DELETE")
	}
	if err := c.pattern(r.Method + " " + r.Path); err != nil || !strings.HasPrefix(r.Path, "/") {
		c.fault("route", index, "path", r.Path, "a path pattern of net/http such as /orders/{id}, other than that of another route")
	}
	if r.Path == "/steer" {
		c.fault("route", index, "path", r.Path, "a path other than /steer, which is reserved for lookups")
	}
}

// prefix checks a route that is matched by host and path prefix.
func (c *checker) prefix(index int, r Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.fault("route", index, "prefix", r.Prefix, "a path that begins and ends with a slash")
	}
	if r.Host == "" {
		c.fault("route", index, "host", r.Host, "the host that the prefix belongs to")
	}
	if r.AttemptLimit < 0 {
		c.fault("route", index, "attempts", strconv.Itoa(r.AttemptLimit), "0 or more")
	}
}

func (c *checker) deadline(index int, r Route) {
	deadline := time.Duration(r.Deadline)
	if deadline <= 0 || deadline > maxRouteDeadline {
		c.fault("route", index, "deadline", deadline.String(), "a duration over 0s and up to 1h")
	}
}

// pattern registers a route's pattern and returns an error if it is invalid or
// conflicts with another one. net/http panics in these cases.
func (c *checker) pattern(pattern string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	c.mux.Handle(pattern, http.NotFoundHandler())
	return nil
}

func (c *checker) target(index int, t Target) {
	c.name("target", index, t.Name)
	c.reference("target", index, "service", t.Service)
	c.reference("target", index, "domain", t.Domain)
	c.reference("target", index, "version", t.Version)
	if s, ok := c.serviceOf[t.Version]; ok && s != t.Service {
		c.fault("target", index, "version", t.Version, "a version of service "+t.Service)
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		c.fault("target", index, "address", t.Address, "an IP address and port such as 127.0.0.1:9000")
	}
	c.inRange("target", index, "slots", float64(t.Slots), 1, maxSlots)
}

func (c *checker) customers() {
	for i, u := range c.table.Customers {
		c.name("customer", i, u.Name)
		c.inRange("customer", i, "rate", u.Rate, 0, maxRate)
		c.inRange("customer", i, "burst", u.Burst, 1, maxRate)
		c.inRange("customer", i, "weight", u.Weight, 0, maxWeight)
	}
	hashes := make(nameSet)
	for i, k := range c.table.Keys {
		c.name("key", i, k.Name)
		c.reference("key", i, "customer", k.Customer)
		if raw, err := hex.DecodeString(k.Hash); err != nil || len(raw) != hashBytes {
			c.fault("key", i, "hash", k.Hash, "the SHA-256 of the key as 64 hex digits")
		}
		if _, taken := hashes[k.Hash]; taken {
			c.fault("key", i, "hash", k.Hash, "a hash that no other key row has")
		}
		hashes[k.Hash] = struct{}{}
	}
}

func (c *checker) limits() {
	for i, p := range c.table.Caps {
		c.name("cap", i, p.Name)
		c.reference("cap", i, "region", p.Region)
		c.inRange("cap", i, "rate", p.Rate, 0, maxRate)
		c.inRange("cap", i, "inflight", float64(p.Inflight), 0, maxRate)
		if p.Rate == 0 && p.Inflight == 0 {
			c.fault("cap", i, "rate", "0", "a rate or an inflight over 0")
		}
		if (p.From == 0) != (p.Until == 0) {
			c.fault("cap", i, "until", "", "both from and until, or neither")
		}
	}
	for i, l := range c.table.Links {
		c.name("link", i, l.Name)
		c.reference("link", i, "region", l.Region)
		if _, ok := c.names["region"][l.OtherRegion]; !ok || l.OtherRegion == l.Region {
			c.fault("link", i, "peer", l.OtherRegion, "the name of another region row ("+c.knownNames("region")+")")
		}
		c.inRange("link", i, "bandwidth", l.Bandwidth, 0, maxBandwidth)
	}
}

func (c *checker) rollouts() {
	for i, r := range c.table.Rollouts {
		c.name("rollout", i, r.Name)
		c.reference("rollout", i, "service", r.Service)
		c.reference("rollout", i, "version", r.Version)
		if s, ok := c.serviceOf[r.Version]; ok && s != r.Service {
			c.fault("rollout", i, "version", r.Version, "a version of service "+r.Service)
		}
		c.inRange("rollout", i, "share", r.CanaryFraction, 0, 1)
		if !r.Deadline.After(r.Start) {
			c.fault("rollout", i, "until", r.Deadline.Format(time.RFC3339), "a time after start")
		}
	}
}

func (c *checker) blocks() {
	for i, b := range c.table.Blocks {
		p, err := netip.ParsePrefix(b.Name)
		if err != nil || p != p.Masked() {
			c.fault("block", i, "name", b.Name, "a CIDR block such as 10.1.0.0/16 with no host bits set")
		}
		c.unique("block", i, b.Name)
		c.reference("block", i, "domain", b.Domain)
	}
}
