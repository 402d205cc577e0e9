package lacewingramp

import "time"

// Table is everything that operators declare.
//
// Revision rises by one with every committed change. Edit is the id of the
// change, which settles a write whose answer was lost. Split is the revision
// at which the regions or domains were last changed.
type Table struct {
	Revision int64     `json:"revision"`
	Split    int64     `json:"split"`
	Edit     string    `json:"edit"`
	Operator string    `json:"operator"`
	Moment   time.Time `json:"moment"`
	// History is the audit trail of the last edits, the newest last.
	History *History `json:"history,omitempty"`

	Regions   []Region   `json:"region,omitempty"`
	Domains   []Domain   `json:"domain,omitempty"`
	Services  []Service  `json:"service,omitempty"`
	Routes    []Route    `json:"route,omitempty"`
	Versions  []Version  `json:"version,omitempty"`
	Targets   []Target   `json:"target,omitempty"`
	Customers []Customer `json:"customer,omitempty"`
	Keys      []Key      `json:"key,omitempty"`
	Caps      []Cap      `json:"cap,omitempty"`
	Links     []Link     `json:"link,omitempty"`
	Rollouts  []Rollout  `json:"rollout,omitempty"`
	Blocks    []Block    `json:"block,omitempty"`

	// Bounds limits what callers may send.
	Bounds *Bounds `json:"bounds,omitempty"`
}

// Region is a group of failure domains in one place. Timezone is an IANA
// name in which the region's caps are read.
type Region struct {
	Name     string `json:"name"`
	Timezone string `json:"timezone"`
}

// Domain is a failure domain of a region. Weight is its part of every limit
// that is counted over the fleet.
type Domain struct {
	Name   string  `json:"name"`
	Region string  `json:"region"`
	Weight float64 `json:"weight"`
}

// Service is a group of routes that the same targets answer.
//
// Health is the path of its health check. Connections is how many a target
// accepts from all callers together, 0 for no limit. A target that has just
// started is slow for Warmup and takes at most Coldrate requests a second.
type Service struct {
	Name        string   `json:"name"`
	Health      string   `json:"health,omitempty"`
	Connections int      `json:"connections,omitempty"`
	Warmup      Duration `json:"warmup,omitempty"`
	Coldrate    float64  `json:"coldrate,omitempty"`
}

// Route is one method and path of a service, in the patterns of net/http, or
// a Host with a path Prefix, of which the longest that matches wins.
//
// Split divides a route among services by weight, in place of Service.
// Attempts is the largest number of targets that one request may be sent to.
// Objective is the time in which an answer is worth most to the caller. Rank
// orders routes by urgency, 0 first. Affinity says that a target answers
// faster for an object that it has handled lately. Regions, if any, are the
// only ones in which the route may run.
//
// An open route needs no key. An idempotent route may run more than once. A
// patient route waits behind others. Offline is how long keys are honoured
// while their revocation can not be confirmed, where 0 stands for
// DefaultOffline.
type Route struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Method     string   `json:"method"`
	Path       string   `json:"path"`
	Open       bool     `json:"open,omitempty"`
	Idempotent bool     `json:"idempotent,omitempty"`
	Patient    bool     `json:"patient,omitempty"`
	Deadline   Duration `json:"deadline"`
	Offline    Duration `json:"offline,omitempty"`
	Host       string   `json:"host,omitempty"`
	Prefix     string   `json:"prefix,omitempty"`
	Split      Split    `json:"split,omitempty"`
	Attempts   int      `json:"attempts,omitempty"`
	Objective  Duration `json:"objective,omitempty"`
	Rank       int      `json:"rank,omitempty"`
	Affinity   bool     `json:"affinity,omitempty"`
	Regions    Names    `json:"regions,omitempty"`
}

// Version is one version of a service.
type Version struct {
	Name    string `json:"name"`
	Service string `json:"service"`
}

// Target is one back end of a service. Slots is how many requests it runs at
// a time. A leaving target gets no new request.
type Target struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Customer is a tenant. Rate is in requests a second and Burst in requests,
// both over the whole fleet. Weight is its part of a full queue. Rank is its
// urgency, 0 first, which goes before that of a route. Regions, if any, are
// the only ones in which its requests may run.
type Customer struct {
	Name    string  `json:"name"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Weight  float64 `json:"weight"`
	Rank    int     `json:"rank,omitempty"`
	Regions Names   `json:"regions,omitempty"`
}

// Key grants a customer access. Hash is the SHA-256 of the key in hex.
type Key struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Hash     string `json:"hash"`
}

// Cap bounds what a region starts between two times of day. Rate is in
// requests a second, Inflight in requests at a time. A cap without times
// always holds.
type Cap struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	From     DayMinute `json:"from,omitempty"`
	Until    DayMinute `json:"until,omitempty"`
	Rate     float64   `json:"rate"`
	Inflight int       `json:"inflight"`
}

// Link is the network between two regions. Latency is one way. Bandwidth is
// in Mbit/s each way.
type Link struct {
	Name      string   `json:"name"`
	Region    string   `json:"region"`
	Peer      string   `json:"peer"`
	Latency   Duration `json:"latency"`
	Bandwidth float64  `json:"bandwidth"`
}

// Rollout moves a service's traffic to a version until Deadline or takes it
// back. Share is the largest part of traffic a version under test may get.
// A cancelled rollout is taken back.
type Rollout struct {
	Name      string    `json:"name"`
	Service   string    `json:"service"`
	Version   string    `json:"version"`
	Share     float64   `json:"share"`
	Start     time.Time `json:"start"`
	Deadline  time.Time `json:"until"`
	Cancelled bool      `json:"cancelled,omitempty"`
}

// Block is a range of client addresses in CIDR form and its failure domain.
type Block struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
}

// DefaultOffline is how long keys are honoured without confirmation on a
// route that states no time of its own.
const DefaultOffline = 15 * time.Minute

// HistoryLength is how many edits a Table remembers.
const HistoryLength = 100

// History is the audit trail of a Table. It is part of the Table, so that an
// edit and its entry are committed as one.
type History struct {
	Edits []Edit `json:"edits"`
}

// Edit is one entry of the audit trail: who changed what and when. Lines are
// the rows that went, marked "-", and came, marked "+".
type Edit struct {
	Revision int64     `json:"revision"`
	Edit     string    `json:"edit"`
	Operator string    `json:"operator"`
	Moment   time.Time `json:"moment"`
	Lines    []string  `json:"lines,omitempty"`
}
