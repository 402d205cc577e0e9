// Package record makes sure that a request with an idempotency key runs at
// most once, and that its retries get the first response.
//
// The record of a key is kept in one failure domain, its home, by the holder of
// the shard that the key hashes to. A lookup response contains a stamp of a
// domain and a time. If the caller prefixes its key with the stamp, any
// instance can find the home of the key. The home of a key without a stamp is
// chosen by a hash over the Table's domains.
//
// The records of a shard are handed over with the shard. If the holder crashes
// instead, the new holder has only the records from the time at which it took the
// shard: a key that was stamped later is new, and a request with any other key
// is refused because it may have run. No request runs twice.
//
// # Usage
//
//	key := record.Parse(customer, header, domains)
//	switch d := book.Begin(now, key, fingerprint); d.Kind {
//	case record.KindRun:    // run the request, then call book.Finish
//	case record.KindAnswer: // d.Answer is the first response
//	case record.KindWait:   // call Begin again when the first request has ended
//	case record.KindRefuse: // d.Refusal contains the reason
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

//go:generate stringer -type=Kind -linecomment

// Limits of the records, and the format of a stamp.
const (
	// Retention is how long a record is kept and a stamp is valid.
	Retention = 10 * time.Minute
	// maxClockSkew is the maximum difference between the clocks of two instances.
	maxClockSkew = 2 * time.Second
	// maxRecords is the maximum number of records of one shard. When it is reached,
	// the oldest are evicted, and the records count as complete only from the
	// start time of the last evicted one.
	maxRecords = 20000
	// stampParts is the number of dot-separated parts of a stamped key.
	stampParts = 3
	stampBase  = 36
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 200

// Key is a customer's idempotency key. Text is prefixed with the customer's name.
// Domain is the home of the key. StampedAt is the time of its stamp, zero if it has
// none.
type Key struct {
	Text      string
	Domain    string
	StampedAt time.Time
}

// Stamp returns the prefix that gives a key its home in a domain. A dot
// separates it from the rest of the key.
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

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of a Decision.
const (
	KindRun    Kind = iota // run
	KindAnswer             // answer
	KindWait               // wait
	KindRefuse             // refuse
)

// Decision says what to do with a request that has an idempotency key. Answer is
// set for KindAnswer, Refusal for KindRefuse.
type Decision struct {
	Kind    Kind
	Answer  *lacewingramp.Answer
	Refusal *lacewingramp.Refusal
}

// Book keeps the records of the shards that an instance holds. It is not safe
// for concurrent use.
type Book struct {
	shards [quota.Shards]*shard
}

type shard struct {
	completeSince time.Time
	records       map[string]*lacewingramp.IdempotencyRecord
}

// Hold starts to keep the records of a shard. The records are complete from
// completeSince on, which is zero if the shard never had another holder.
func (b *Book) Hold(n int, completeSince time.Time, records []lacewingramp.IdempotencyRecord) {
	s := &shard{completeSince: completeSince, records: make(map[string]*lacewingramp.IdempotencyRecord, len(records))}
	for i := range records {
		s.records[records[i].Key] = &records[i]
	}
	b.shards[n] = s
}

// Drop stops keeping the records of a shard and returns the arguments of Hold for
// its next holder.
func (b *Book) Drop(n int) (completeSince time.Time, records []lacewingramp.IdempotencyRecord) {
	s := b.shards[n]
	b.shards[n] = nil
	if s == nil {
		return time.Time{}, nil
	}
	for _, k := range s.records {
		records = append(records, *k)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return s.completeSince, records
}

// Busy reports whether a request of the shard is running. If so, the shard
// cannot be handed over yet.
func (b *Book) Busy(n int) bool {
	s := b.shards[n]
	if s == nil {
		return false
	}
	for _, k := range s.records {
		if k.Answer == nil {
			return true
		}
	}
	return false
}

// Begin decides what to do with a request. The caller must have checked that the
// instance holds the key's shard.
func (b *Book) Begin(now time.Time, k Key, fingerprint uint64) Decision {
	s := b.shards[k.Shard()]
	if s == nil {
		return refuse(lacewingramp.MayHaveRun, "the record of this key is not kept here")
	}
	if n, ok := s.records[k.Text]; ok {
		return decideRetry(n, fingerprint)
	}
	if !s.certainlyNew(now, k) {
		return refuse(lacewingramp.MayHaveRun, "an earlier request with this key may have run")
	}
	s.evict(now)
	s.records[k.Text] = &lacewingramp.IdempotencyRecord{Key: k.Text, Fingerprint: fingerprint, StartedAt: now}
	return Decision{Kind: KindRun}
}

func decideRetry(n *lacewingramp.IdempotencyRecord, fingerprint uint64) Decision {
	if n.Fingerprint != fingerprint {
		return refuse(lacewingramp.NotRun, "the key was used for another request")
	}
	if n.Answer == nil {
		return Decision{Kind: KindWait}
	}
	if n.Answer.Refusal != nil {
		return Decision{Kind: KindRefuse, Refusal: n.Answer.Refusal}
	}
	return Decision{Kind: KindAnswer, Answer: n.Answer}
}

func refuse(v lacewingramp.Verdict, detail string) Decision {
	return Decision{Kind: KindRefuse, Refusal: &lacewingramp.Refusal{
		Verdict: v, Cause: lacewingramp.CauseIdempotency, Detail: detail,
	}}
}

// certainlyNew reports whether it is certain that no request ran with a key that
// has no record.
func (s *shard) certainlyNew(now time.Time, k Key) bool {
	if k.StampedAt.IsZero() {
		return now.Sub(s.completeSince) > Retention
	}
	if now.Sub(k.StampedAt) > Retention-maxClockSkew || k.StampedAt.Sub(now) > maxClockSkew {
		return false
	}
	return k.StampedAt.After(s.completeSince.Add(maxClockSkew))
}

// evict deletes the finished records that are older than Retention, and the oldest
// of the others, if the shard has reached maxRecords.
func (s *shard) evict(now time.Time) {
	if len(s.records) < maxRecords {
		return
	}
	finished := make([]*lacewingramp.IdempotencyRecord, 0, len(s.records))
	for _, n := range s.records {
		if n.Answer != nil {
			finished = append(finished, n)
		}
	}
	sort.Slice(finished, func(i, j int) bool { return finished[i].StartedAt.Before(finished[j].StartedAt) })
	const evictDivisor = 4
	for i, n := range finished {
		expired := now.Sub(n.StartedAt) > Retention
		if !expired && i >= maxRecords/evictDivisor {
			return
		}
		if !expired {
			s.completeSince = n.StartedAt
		}
		delete(s.records, n.Key)
	}
}

// Finish records the response to a request for which Begin returned KindRun. After a
// refusal with the verdict NotRun the key may be used for a retry.
func (b *Book) Finish(k Key, a *lacewingramp.Answer) {
	s := b.shards[k.Shard()]
	if s == nil {
		return
	}
	n, ok := s.records[k.Text]
	if !ok {
		return
	}
	if a.Refusal != nil && a.Refusal.Verdict == lacewingramp.NotRun {
		delete(s.records, k.Text)
		return
	}
	n.Answer = a
}
