package lacewingramp

import "time"

// Table is the configuration that operators declare.
//
// Revision rises by one with every committed edit. Edit is the id of the last edit,
// by which the writer determines the outcome of a write whose response was lost.
// Split is the revision of the last edit that changed regions or domains, and with
// them the division of fleet-wide limits among the domains.
type Table struct {
	Revision int64     `json:"revision"`
	Split    int64     `json:"split"`
	Edit     string    `json:"edit"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"moment"`
	// AuditTrail lists the most recent edits, oldest first.
	AuditTrail *AuditTrail `json:"history,omitempty"`

	Regions   []Region      `json:"region,omitempty"`
	Domains   []Domain      `json:"domain,omitempty"`
	Services  []Service     `json:"service,omitempty"`
	Routes    []Route       `json:"route,omitempty"`
	Versions  []Version     `json:"version,omitempty"`
	Targets   []Target      `json:"target,omitempty"`
	Customers []Customer    `json:"customer,omitempty"`
	Keys      []AccessKey   `json:"key,omitempty"`
	Caps      []Cap         `json:"cap,omitempty"`
	Links     []Link        `json:"link,omitempty"`
	Rollouts  []Rollout     `json:"rollout,omitempty"`
	Blocks    []CallerBlock `json:"block,omitempty"`

	// Bounds limits what callers may send.
	Bounds *Bounds `json:"bounds,omitempty"`
}

// Region is a group of failure domains in one place. Timezone is the IANA name of
// the time zone that applies to the region's caps.
type Region struct {
	Name     string `json:"name"`
	Timezone string `json:"timezone"`
}

// Domain is a failure domain of a region. Its share of every fleet-wide limit is
// proportional to Weight.
type Domain struct {
	Name   string  `json:"name"`
	Region string  `json:"region"`
	Weight float64 `json:"weight"`
}

// Service is a group of routes that the same targets serve.
//
// HealthCheckPath is the path of its health check. MaxConnections is the maximum
// number of connections that a target accepts from all its clients together, 0 for
// no limit. A target is slow for the duration Warmup after its start and serves at
// most ColdRate requests per second during that time.
type Service struct {
	Name            string   `json:"name"`
	HealthCheckPath string   `json:"health,omitempty"`
	MaxConnections  int      `json:"connections,omitempty"`
	Warmup          Duration `json:"warmup,omitempty"`
	ColdRate        float64  `json:"coldrate,omitempty"`
}

// Route selects requests either by method and path, as a pattern of net/http, or by
// Host and path Prefix, of which the longest match wins.
//
// ServiceWeights divides the requests among services by weight and replaces Service.
// AttemptLimit is the maximum number of targets that one request is sent to,
// including the first. LatencyObjective is the response time after which a response
// is worth less to the caller. PriorityClass is the priority of the route; 0 is the
// highest. Affinity is set if a target responds faster to requests whose affinity key
// it has handled recently. If Regions is not empty, requests may only run there.
//
// Upload is set for a route whose requests have large bodies.
//
// A route with AllowAnonymous needs no key. A request to an idempotent route may
// run more than once. Requests to a deferrable route queue behind those to other
// routes. MaxUnconfirmed is how long keys are accepted while the instance cannot
// confirm that no newer Table revokes them; 0 stands for DefaultMaxUnconfirmed.
type Route struct {
	Name             string         `json:"name"`
	Service          string         `json:"service"`
	Method           string         `json:"method"`
	Path             string         `json:"path"`
	AllowAnonymous   bool           `json:"open,omitempty"`
	Idempotent       bool           `json:"idempotent,omitempty"`
	Deferrable       bool           `json:"patient,omitempty"`
	Deadline         Duration       `json:"deadline"`
	MaxUnconfirmed   Duration       `json:"offline,omitempty"`
	Host             string         `json:"host,omitempty"`
	Prefix           string         `json:"prefix,omitempty"`
	ServiceWeights   ServiceWeights `json:"split,omitempty"`
	AttemptLimit     int            `json:"attempts,omitempty"`
	LatencyObjective Duration       `json:"objective,omitempty"`
	PriorityClass    int            `json:"rank,omitempty"`
	Affinity         bool           `json:"affinity,omitempty"`
	Regions          NameList       `json:"regions,omitempty"`
	Upload           bool           `json:"upload,omitempty"`
}

// Version is one version of a service.
type Version struct {
	Name    string `json:"name"`
	Service string `json:"service"`
}

// Target is one back end of a service. Slots is the maximum number of requests that
// it runs concurrently. A leaving target receives no new requests.
type Target struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Customer is a tenant. Rate is in requests per second and Burst in requests, both
// fleet-wide. Weight is its weight in the fair queueing of requests that wait for a
// slot. PriorityClass is its priority, where 0 is the highest; it takes precedence
// over that of a route. If Regions is not empty, its requests may only run there.
type Customer struct {
	Name          string   `json:"name"`
	Rate          float64  `json:"rate"`
	Burst         float64  `json:"burst"`
	Weight        float64  `json:"weight"`
	PriorityClass int      `json:"rank,omitempty"`
	Regions       NameList `json:"regions,omitempty"`
}

// AccessKey is a key with which a customer authenticates its requests. Hash is the
// SHA-256 of the key in hex.
type AccessKey struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Hash     string `json:"hash"`
}

// Cap limits the requests of a region between two times of day. Rate is the maximum
// number of requests started per second, and Inflight that of requests that run
// concurrently; 0 means no limit. A cap without times applies at all times.
type Cap struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	From     TimeOfDay `json:"from,omitempty"`
	Until    TimeOfDay `json:"until,omitempty"`
	Rate     float64   `json:"rate"`
	Inflight int       `json:"inflight"`
}

// Link is the network connection between two regions, Region and OtherRegion.
// Latency is one way. Bandwidth is in Mbit/s in each direction.
type Link struct {
	Name        string   `json:"name"`
	Region      string   `json:"region"`
	OtherRegion string   `json:"peer"`
	Latency     Duration `json:"latency"`
	Bandwidth   float64  `json:"bandwidth"`
}

// Rollout moves the traffic of a service to a new version until Deadline, or rolls
// it back. CanaryFraction is the maximum fraction of the requests since Start that the
// new version receives until the rollout is done. A cancelled rollout is rolled back.
type Rollout struct {
	Name           string    `json:"name"`
	Service        string    `json:"service"`
	Version        string    `json:"version"`
	CanaryFraction float64   `json:"share"`
	Start          time.Time `json:"start"`
	Deadline       time.Time `json:"until"`
	Cancelled      bool      `json:"cancelled,omitempty"`
}

// CallerBlock assigns the callers in a CIDR block to a failure domain. Name is
// the block.
type CallerBlock struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
}

// DefaultMaxUnconfirmed is the MaxUnconfirmed of routes that do not set it.
const DefaultMaxUnconfirmed = 15 * time.Minute

// MaxEdits is the maximum number of edits in the audit trail of a Table.
const MaxEdits = 100

// AuditTrail is the audit trail of a Table. It is part of the Table, so that an edit
// and its audit entry are committed atomically.
type AuditTrail struct {
	Edits []Edit `json:"edits"`
}

// Edit is an edit of the Table, as recorded in its audit trail. The field Edit is the
// id of the edit. Lines are the removed rows, marked "-", and the added rows, marked
// "+".
type Edit struct {
	Revision int64     `json:"revision"`
	Edit     string    `json:"edit"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"moment"`
	Lines    []string  `json:"lines,omitempty"`
}
