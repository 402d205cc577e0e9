package lacewingramp

import "time"

// Endpoint is the identity of an instance and the addresses it is reached at by
// other instances and by callers. Leaving is set while the instance drains before
// it stops.
//
// StartMillis is the start time in milliseconds since 1970. It distinguishes the
// runs of an instance that keeps its name and address when it restarts. If it is 0,
// Name is unique to one run.
type Endpoint struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Domain      string `json:"domain" cbor:"2,keyasint"`
	Peer        string `json:"peer" cbor:"3,keyasint"`
	Caller      string `json:"caller" cbor:"4,keyasint"`
	Leaving     bool   `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"`
	StartMillis int64  `json:"born,omitempty" cbor:"6,keyasint,omitempty"`
	// Capacity is the estimated capacity of the instance in requests per second, 0 if
	// unknown.
	Capacity int `json:"room,omitempty" cbor:"7,keyasint,omitempty"`
	// Relay is the address for requests that other instances relay, "" if there is none.
	Relay string `json:"relay,omitempty" cbor:"8,keyasint,omitempty"`
}

// maxEndpointField is the maximum length of each text of an Endpoint, in bytes. A name is a part of
// a key of the store, which is shorter.
const maxEndpointField = 256

// Check returns an error for an endpoint without a name, domain or peer address, or with a text that
// is too long.
func (e *Endpoint) Check() error {
	if e.Name == "" || e.Domain == "" || e.Peer == "" {
		return &InvalidValueError{Kind: "instance", Name: e.Name}
	}
	for _, text := range []string{e.Name, e.Domain, e.Peer, e.Caller, e.Relay} {
		if len(text) > maxEndpointField {
			return &InvalidValueError{Kind: "instance", Name: e.Name}
		}
	}
	return nil
}

// EndpointNames returns the names of instances, in the same order.
func EndpointNames(instances []Endpoint) []string {
	names := make([]string, len(instances))
	for i, e := range instances {
		names[i] = e.Name
	}
	return names
}

// ShardClaim states that an instance holds a shard of its failure domain. The epoch
// rises each time the shard changes its holder.
type ShardClaim struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// ServiceCapacity is the capacity of an instance for one service: the slots that
// are free now, all slots, and the number of queued requests.
type ServiceCapacity struct {
	Service string `json:"service"`
	Free    int    `json:"free"`
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"`
}

// CrashCount is the number of targets that one instance saw crash while they ran a
// request with this fingerprint.
type CrashCount struct {
	Fingerprint uint64 `json:"print" cbor:"1,keyasint"`
	Instance    string `json:"instance" cbor:"2,keyasint"`
	Crashes     int    `json:"deaths" cbor:"3,keyasint"`
}

// TargetGroups is the number of groups that the targets of a service are divided into by
// their names.
const TargetGroups = 8

// TargetGroup holds the request counters of one instance for the targets of one group.
// Compared is the number of requests whose latency was compared with the old version's,
// of which Slow were slow, and Loaded that of requests to targets that were as busy as the
// old version's usually are.
type TargetGroup struct {
	_            struct{} `cbor:",toarray"`
	RequestCount int64    `json:"count"`
	Failures     int64    `json:"failures"`
	Compared     int64    `json:"compared"`
	Slow         int64    `json:"slow"`
	Loaded       int64    `json:"loaded"`
}

// RolloutStats holds the request counters of one instance for one version on one
// route during a rollout. RequestCount includes Failures and Slow, the numbers of
// failed and of slow requests. Counters never decrease, so reports are merged by
// taking the maximum. LoadedFailures is the number of failures among the requests that the
// Groups count as loaded. Groups divides them by groups of targets, at most TargetGroups;
// earlier versions of the program send none.
type RolloutStats struct {
	Instance     string `json:"instance" cbor:"1,keyasint"`
	Rollout      string `json:"rollout" cbor:"2,keyasint"`
	Service      string `json:"service" cbor:"3,keyasint"`
	Route        string `json:"route" cbor:"4,keyasint"`
	Version      string `json:"version" cbor:"5,keyasint"`
	RequestCount int64  `json:"count" cbor:"6,keyasint"`
	Failures     int64  `json:"failures" cbor:"7,keyasint"`
	Slow         int64  `json:"slow" cbor:"8,keyasint"`

	Groups []TargetGroup `json:"groups,omitempty" cbor:"9,keyasint,omitempty"`

	LoadedFailures int64 `json:"strained,omitempty" cbor:"10,keyasint,omitempty"`
}

// Check returns an error for stats that no instance sends.
func (s *RolloutStats) Check() error {
	valid := s.RequestCount >= 0 && s.Failures >= 0 && s.Slow >= 0 && s.LoadedFailures >= 0 && len(s.Groups) <= TargetGroups
	for _, g := range s.Groups {
		valid = valid && g.RequestCount >= 0 && g.Failures >= 0 && g.Compared >= 0 && g.Slow >= 0 && g.Loaded >= 0
	}
	if !valid {
		return &InvalidValueError{Kind: "rollout stats", Name: s.Instance}
	}
	return nil
}

// RolloutOutcome is the final state of a rollout. The first one that is written to the store
// stands. Recorded is set if the store has it; before that, it is what the sender has decided
// for itself. Earlier versions of the program never set it.
type RolloutOutcome struct {
	Rollout   string    `json:"rollout" cbor:"1,keyasint"`
	Start     time.Time `json:"start" cbor:"2,keyasint"`
	State     string    `json:"state" cbor:"3,keyasint"`
	Reason    string    `json:"reason" cbor:"4,keyasint"`
	DecidedAt time.Time `json:"moment" cbor:"5,keyasint"`
	Recorded  bool      `json:"recorded,omitempty" cbor:"6,keyasint,omitempty"`
}

// DomainShares holds the shares of the fleet-wide limits that a failure domain uses:
// Customers of the customers' limits and Caps of its region's caps. Split is the
// revision of the Table from whose domain weights the shares were computed.
type DomainShares struct {
	Customers LimitFraction `json:"customers"`
	Caps      LimitFraction `json:"caps"`
	Region    string        `json:"region"`
	Split     int64         `json:"split"`
}

// Digest is the state that two instances exchange periodically over a Peer
// connection.
//
// SinceConfirmed is the time since the Table was last confirmed to be the newest,
// by the store or by an instance that had asked the store. Claims lists the shards
// that the sender holds, Capacities its capacity for each service, and Spares the quota
// that it can lend. Relayed holds digests that the sender received from instances in
// other failure domains.
type Digest struct {
	Endpoint

	Revision       int64             `json:"revision"`
	SinceConfirmed time.Duration     `json:"unconfirmed"`
	DomainShares   *DomainShares     `json:"part,omitempty"`
	Claims         []ShardClaim      `json:"claims,omitempty"`
	Capacities     []ServiceCapacity `json:"rooms,omitempty"`
	Spares         []SpareQuota      `json:"spares,omitempty"`
	CrashCounts    []CrashCount      `json:"marks,omitempty"`
	RolloutStats   []RolloutStats    `json:"evidence,omitempty"`
	Outcomes       []RolloutOutcome  `json:"outcomes,omitempty"`
	Relayed        []RelayedDigest   `json:"others,omitempty"`
}

// RelayedDigest is a digest received from another instance and its age.
type RelayedDigest struct {
	Age    time.Duration `json:"age"`
	Digest Digest        `json:"digest"`
}

// Handover asks the holder of a shard to hand it over, or offers a shard.
type Handover struct {
	From  string `json:"from"`
	Shard int    `json:"shard"`
	// Offer is the shard that the sender hands over to the receiver because it is
	// leaving, nil if the sender asks for a shard.
	Offer *ShardTransfer `json:"offer,omitempty"`
}

// ShardTransfer is the state of a shard that is handed over to a new holder.
// Granted is false, and the other fields are empty, if the shard is not handed
// over. The idempotency records of the shard are complete from
// RecordsCompleteSince on, which is zero if the shard never had another holder.
type ShardTransfer struct {
	Granted              bool                `json:"given"`
	Shard                int                 `json:"shard"`
	Epoch                int64               `json:"epoch"`
	RecordsCompleteSince time.Time           `json:"since"`
	Balances             []Balance           `json:"levels,omitempty"`
	Outstanding          []Outstanding       `json:"owed,omitempty"`
	IdempotencyRecords   []IdempotencyRecord `json:"notes,omitempty"`
}

// Balance is the token balance of one subject that is handed over with a shard.
type Balance struct {
	Subject Subject `json:"subject"`
	Tokens  float64 `json:"tokens"`
}

// IdempotencyRecord is the record of one idempotency key. Fingerprint identifies the
// content of the first request with the key, StartedAt is the time at which that
// request started, and Response the reply to it, nil while it runs.
type IdempotencyRecord struct {
	Key         string    `json:"key"`
	Fingerprint uint64    `json:"print"`
	StartedAt   time.Time `json:"begun"`
	Response    *Response `json:"answer,omitempty"`
}
