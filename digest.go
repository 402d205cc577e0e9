package lacewingramp

import "time"

// Endpoint says how an instance is reached. Name is unique to one life of
// the instance.
//
// Born is the moment of its start in milliseconds since 1970, where two lives
// share an address.
type Endpoint struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Domain  string `json:"domain" cbor:"2,keyasint"`
	Peer    string `json:"peer" cbor:"3,keyasint"`
	Caller  string `json:"caller" cbor:"4,keyasint"`
	Leaving bool   `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"`
	Born    int64  `json:"born,omitempty" cbor:"6,keyasint,omitempty"`
	// Room is how many requests a second the instance can carry, 0 if that is not
	// known.
	Room int `json:"room,omitempty" cbor:"7,keyasint,omitempty"`
}

// Check reports an endpoint that can not be reached.
func (e *Endpoint) Check() error {
	if e.Name == "" || e.Domain == "" || e.Peer == "" {
		return &NameError{Kind: "instance", Name: e.Name}
	}
	return nil
}

// Claim is a shard of its failure domain that an instance holds.
type Claim struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// Room is what an instance can take on for one service: Free slots now, all
// its Slots, and how many requests wait.
type Room struct {
	Service string `json:"service"`
	Free    int    `json:"free"`
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"`
}

// Mark says how many targets died while they ran the request with this print,
// as seen by one instance.
type Mark struct {
	Print    uint64 `json:"print" cbor:"1,keyasint"`
	Instance string `json:"instance" cbor:"2,keyasint"`
	Deaths   int    `json:"deaths" cbor:"3,keyasint"`
}

// Evidence is what one instance has seen of one version on one route in one
// rollout. All numbers only rise, so that reports merge by their maximum.
type Evidence struct {
	Instance string `json:"instance" cbor:"1,keyasint"`
	Rollout  string `json:"rollout" cbor:"2,keyasint"`
	Service  string `json:"service" cbor:"3,keyasint"`
	Route    string `json:"route" cbor:"4,keyasint"`
	Version  string `json:"version" cbor:"5,keyasint"`
	Count    int64  `json:"count" cbor:"6,keyasint"`
	Failures int64  `json:"failures" cbor:"7,keyasint"`
	Slow     int64  `json:"slow" cbor:"8,keyasint"`
}

// Outcome is the end of a rollout, written once.
type Outcome struct {
	Rollout string    `json:"rollout" cbor:"1,keyasint"`
	Start   time.Time `json:"start" cbor:"2,keyasint"`
	State   string    `json:"state" cbor:"3,keyasint"`
	Reason  string    `json:"reason" cbor:"4,keyasint"`
	Moment  time.Time `json:"moment" cbor:"5,keyasint"`
}

// Part is the part of every limit that a failure domain uses: Customers of
// the customers' limits and Caps of its region's caps. Split is the revision
// of the Table whose weights it comes from.
type Part struct {
	Customers Units  `json:"customers"`
	Caps      Units  `json:"caps"`
	Region    string `json:"region"`
	Split     int64  `json:"split"`
}

// Digest is what an instance tells another at every heartbeat.
//
// Unconfirmed is how long ago the Table was confirmed to be the newest, by
// the store or by an instance that had asked it. Others carries second-hand
// digests of other failure domains with their age.
type Digest struct {
	Endpoint

	Revision    int64         `json:"revision"`
	Unconfirmed time.Duration `json:"unconfirmed"`
	Part        *Part         `json:"part,omitempty"`
	Claims      []Claim       `json:"claims,omitempty"`
	Rooms       []Room        `json:"rooms,omitempty"`
	Spares      []Spare       `json:"spares,omitempty"`
	Marks       []Mark        `json:"marks,omitempty"`
	Evidence    []Evidence    `json:"evidence,omitempty"`
	Outcomes    []Outcome     `json:"outcomes,omitempty"`
	Others      []Relayed     `json:"others,omitempty"`
}

// Relayed is a digest that an instance has heard from another, Age ago.
type Relayed struct {
	Age    time.Duration `json:"age"`
	Digest Digest        `json:"digest"`
}

// Give asks a holder for a shard. From a leaving holder it offers one.
type Give struct {
	From  string `json:"from"`
	Shard int    `json:"shard"`
	// Offer carries the shard to its new holder when a leaving instance
	// hands it over.
	Offer *Handed `json:"offer,omitempty"`
}

// Handed is a shard on its way to a new holder.
type Handed struct {
	Given  bool      `json:"given"`
	Shard  int       `json:"shard"`
	Epoch  int64     `json:"epoch"`
	Since  time.Time `json:"since"`
	Levels []Level   `json:"levels,omitempty"`
	Owed   []Owed    `json:"owed,omitempty"`
	Notes  []Note    `json:"notes,omitempty"`
}

// Level is the tokens of one subject that go with a shard.
type Level struct {
	Subject Subject `json:"subject"`
	Tokens  float64 `json:"tokens"`
}

// Note is the record of one idempotency key.
type Note struct {
	Key    string    `json:"key"`
	Print  uint64    `json:"print"`
	Begun  time.Time `json:"begun"`
	Answer *Answer   `json:"answer,omitempty"`
}
