// Package record makes sure that a request with an idempotency key runs at most
// once, and that its retries get the first response.
//
// The record of a key is kept in one failure domain, the key's home. There it is
// kept by the instance that holds the shard to which the key hashes. A lookup
// response contains a stamp, which consists of a domain and the current time. If the
// caller prefixes its key with the stamp, that domain is the home of the key, and
// every instance can see it from the key. The home of a key without a stamp is chosen
// by hashing over the Table's domains.
//
// The records of a shard are handed over with the shard. If the holder crashes
// instead, its records are lost, and the new holder has only those from the time at
// which it took the shard. A key with a later stamp is certainly new. A request with
// an earlier stamp, or with none, is refused for a time because an earlier request
// with its key may have run. So no request runs twice.
//
// # Usage
//
//	key := record.Parse(customer, header, domains)
//	switch d := ledger.Begin(now, key, fingerprint); d.Action {
//	case record.ActionRun:     // run the request, then call ledger.Finish
//	case record.ActionRespond: // d.Response is the first response
//	case record.ActionWait:    // the first request is running; call Begin again later
//	case record.ActionRefuse:  // d.Refusal contains the reason
//	}
package record

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

//go:generate stringer -type=Action -linecomment

// Limits of the records, and the format of a stamp.
const (
	// Retention is how long a record is kept and a stamp is valid.
	Retention = 10 * time.Minute
	// maxClockSkew is the assumed maximum difference between the clocks of two
	// instances.
	maxClockSkew = 2 * time.Second
	// maxRecords is the number of records of one shard at which expired and, if
	// necessary, the oldest finished records are evicted. The shard's records then
	// count as complete only from the start time of the last record that was evicted
	// before it expired.
	maxRecords = 20000
	// stampParts is the number of dot-separated parts of a stamped key: the domain,
	// the time and the rest, which may contain further dots.
	stampParts = 3
	stampBase  = 36
)

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 200

// Key is a customer's idempotency key. Text starts with the customer's name, so that
// keys of different customers differ. Domain is the home of the key. StampedAt is the
// time in its stamp, zero if it has none.
type Key struct {
	Text      string
	Domain    string
	StampedAt time.Time
}

// Stamp returns the prefix that makes a domain the home of a key. A dot separates it
// from the rest of the key.
func Stamp(domain string, now time.Time) string {
	return domain + "." + strconv.FormatInt(now.UnixMilli(), stampBase)
}

// Parse parses a customer's idempotency key. domains are those of the Table.
func Parse(customer, text string, domains []lacewingramp.Domain) Key {
	k := Key{Text: customer + "/" + text}
	parts := strings.SplitN(text, ".", stampParts)
	if len(parts) == stampParts {
		ms, err := strconv.ParseInt(parts[1], stampBase, 64)
		if err == nil && isDomain(parts[0], domains) {
			k.Domain = parts[0]
			k.StampedAt = time.UnixMilli(ms)
			return k
		}
	}
	k.Domain = homeDomain(k.Text, domains)
	return k
}

func isDomain(name string, domains []lacewingramp.Domain) bool {
	for _, d := range domains {
		if d.Name == name {
			return true
		}
	}
	return false
}

// homeDomain chooses a domain by rendezvous hashing, so that adding a domain moves
// only the keys that the new domain gets.
func homeDomain(text string, domains []lacewingramp.Domain) string {
	best := ""
	var highest uint64
	for _, d := range domains {
		h := xxhash.Sum64String(d.Name + "\x00" + text)
		if best == "" || h > highest || (h == highest && d.Name < best) {
			best, highest = d.Name, h
		}
	}
	return best
}

// Shard returns the shard of the home domain that keeps the key's record.
func (k Key) Shard() int {
	return int(xxhash.Sum64String(k.Text) % quota.Shards)
}

// Action is what a Decision says to do.
type Action uint8

// The actions. The comment after each constant is its text form.
const (
	ActionRun     Action = iota // run
	ActionRespond               // answer
	ActionWait                  // wait
	ActionRefuse                // refuse
)

// Decision says what to do with a request that has an idempotency key. Response is
// set for ActionRespond, Refusal for ActionRefuse.
type Decision struct {
	Action   Action
	Response *lacewingramp.Response
	Refusal  *lacewingramp.Refusal
}

// Ledger keeps the records of the shards that an instance holds. It is not safe
// for concurrent use.
type Ledger struct {
	shards [quota.Shards]*shard
}

type shard struct {
	completeSince time.Time
	records       map[string]*lacewingramp.IdempotencyRecord
}

// Hold starts to keep the records of a shard. The records are complete from
// completeSince on, which is zero if the shard never had another holder.
func (l *Ledger) Hold(n int, completeSince time.Time, records []lacewingramp.IdempotencyRecord) {
	s := &shard{completeSince: completeSince, records: make(map[string]*lacewingramp.IdempotencyRecord, len(records))}
	for i := range records {
		s.records[records[i].Key] = &records[i]
	}
	l.shards[n] = s
}

// Drop stops keeping the records of a shard and returns the arguments of Hold for
// its next holder.
func (l *Ledger) Drop(n int) (completeSince time.Time, records []lacewingramp.IdempotencyRecord) {
	s := l.shards[n]
	l.shards[n] = nil
	if s == nil {
		return time.Time{}, nil
	}
	for _, r := range s.records {
		records = append(records, *r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return s.completeSince, records
}

// Running reports whether a request of the shard is running. If so, the shard
// cannot be handed over yet.
func (l *Ledger) Running(n int) bool {
	s := l.shards[n]
	if s == nil {
		return false
	}
	for _, r := range s.records {
		if r.Response == nil {
			return true
		}
	}
	return false
}

// Begin decides what to do with a request. The caller must have checked that the
// instance holds the key's shard.
func (l *Ledger) Begin(now time.Time, k Key, fingerprint uint64) Decision {
	s := l.shards[k.Shard()]
	if s == nil {
		return refuse(lacewingramp.MayHaveRun, "the record of this key is not kept here")
	}
	if r, ok := s.records[k.Text]; ok {
		return decideRetry(r, fingerprint)
	}
	if !s.certainlyNew(now, k) {
		return refuse(lacewingramp.MayHaveRun, "an earlier request with this key may have run")
	}
	s.evict(now)
	s.records[k.Text] = &lacewingramp.IdempotencyRecord{Key: k.Text, Fingerprint: fingerprint, StartedAt: now}
	return Decision{Action: ActionRun}
}

func decideRetry(r *lacewingramp.IdempotencyRecord, fingerprint uint64) Decision {
	if r.Fingerprint != fingerprint {
		return refuse(lacewingramp.NotRun, "the key was used for another request")
	}
	if r.Response == nil {
		return Decision{Action: ActionWait}
	}
	if r.Response.Refusal != nil {
		return Decision{Action: ActionRefuse, Refusal: r.Response.Refusal}
	}
	return Decision{Action: ActionRespond, Response: r.Response}
}

func refuse(v lacewingramp.Verdict, detail string) Decision {
	return Decision{Action: ActionRefuse, Refusal: &lacewingramp.Refusal{
		Verdict: v, Cause: lacewingramp.CauseIdempotency, Detail: detail,
	}}
}

// certainlyNew reports whether it is certain that no earlier request with the key ran,
// given that there is no record of the key. A stamp that is older than Retention or
// in the future proves nothing.
func (s *shard) certainlyNew(now time.Time, k Key) bool {
	if k.StampedAt.IsZero() {
		return now.Sub(s.completeSince) > Retention
	}
	if now.Sub(k.StampedAt) > Retention-maxClockSkew || k.StampedAt.Sub(now) > maxClockSkew {
		return false
	}
	return k.StampedAt.After(s.completeSince.Add(maxClockSkew))
}

// evict deletes records if the shard has reached maxRecords: the finished ones that
// are older than Retention, and further finished ones, oldest first, until a quarter
// of maxRecords is deleted.
func (s *shard) evict(now time.Time) {
	if len(s.records) < maxRecords {
		return
	}
	finished := make([]*lacewingramp.IdempotencyRecord, 0, len(s.records))
	for _, r := range s.records {
		if r.Response != nil {
			finished = append(finished, r)
		}
	}
	sort.Slice(finished, func(i, j int) bool { return finished[i].StartedAt.Before(finished[j].StartedAt) })
	const evictDivisor = 4
	for i, r := range finished {
		expired := now.Sub(r.StartedAt) > Retention
		if !expired && i >= maxRecords/evictDivisor {
			return
		}
		if !expired {
			s.completeSince = r.StartedAt
		}
		delete(s.records, r.Key)
	}
}

// Finish records the reply to a request for which Begin returned ActionRun. A refusal
// with the verdict NotRun deletes the record instead, so that the request can be
// retried with the same key.
func (l *Ledger) Finish(k Key, resp *lacewingramp.Response) {
	s := l.shards[k.Shard()]
	if s == nil {
		return
	}
	r, ok := s.records[k.Text]
	if !ok {
		return
	}
	if resp.Refusal != nil && resp.Refusal.Verdict == lacewingramp.NotRun {
		delete(s.records, k.Text)
		return
	}
	r.Response = resp
}
