// Package record makes sure that a request with an idempotency key runs at
// most once, and that its repeats get the first answer.
//
// The record of a key lives in one failure domain, its home, at the holder of
// the shard that the key hashes to. A look-up answer carries a stamp with a
// domain and a time; a caller puts it before its key, and so a repeat finds
// its home from anywhere. A key without a stamp has its home by a hash over
// the Table's domains.
//
// A record goes with its shard when that is handed over. Where the holder has
// died, the new one knows since when it has kept the shard: a key stamped
// later is new, and for any other the answer is that it may have run. Nothing
// ever runs a second time.
//
// # Usage
//
//	key := record.Parse(header, domains)
//	switch v := book.Begin(now, shard, key, print); v.Kind {
//	case record.KindRun:    // run it, then book.Finish
//	case record.KindAnswer: // v.Answer is the first answer
//	case record.KindWait:   // ask again when the first one has ended
//	case record.KindRefuse: // v.Refusal says why
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

// Policy.
const (
	// Window is how long a record is kept and a stamp is good for.
	Window = 10 * time.Minute
	// skew is the largest difference between the clocks of two instances.
	skew = 2 * time.Second
	// notesMost bounds the records of one shard. Where there are more, the
	// oldest go, and the shard counts as kept since the last of these.
	notesMost = 20000
	// stampParts is the number of dot-separated parts of a stamped key.
	stampParts = 3
	stampBase  = 36
)

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 200

// Key is a caller's idempotency key. Moment is zero where it bears no stamp.
type Key struct {
	Text   string
	Domain string
	Moment time.Time
}

// Stamp returns the prefix under which a key has its home in a domain.
func Stamp(domain string, now time.Time) string {
	return domain + "." + strconv.FormatInt(now.UnixMilli(), stampBase)
}

// Parse reads a customer's idempotency key. domains are those of the Table.
func Parse(customer, text string, domains []lacewingramp.Domain) Key {
	k := Key{Text: customer + "/" + text}
	parts := strings.SplitN(text, ".", stampParts)
	if len(parts) == stampParts {
		ms, err := strconv.ParseInt(parts[1], stampBase, 64)
		if err == nil && isDomain(parts[0], domains) {
			k.Domain = parts[0]
			k.Moment = time.UnixMilli(ms)
			return k
		}
	}
	k.Domain = home(k.Text, domains)
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

// home chooses a domain by rendezvous hash, so that a new domain takes over
// only its own part of the keys.
func home(text string, domains []lacewingramp.Domain) string {
	best := ""
	var most uint64
	for _, d := range domains {
		h := xxhash.Sum64String(d.Name + "\x00" + text)
		if best == "" || h > most || (h == most && d.Name < best) {
			best, most = d.Name, h
		}
	}
	return best
}

// Shard returns the shard of its home domain that keeps a key's record.
func (k Key) Shard() int {
	return int(xxhash.Sum64String(k.Text) % quota.Shards)
}

// Kind says what to do with a request.
type Kind uint8

// The kinds of decision.
const (
	KindRun    Kind = iota // run
	KindAnswer             // answer
	KindWait               // wait
	KindRefuse             // refuse
)

// Decision is what to do with a request that bears an idempotency key.
type Decision struct {
	Kind    Kind
	Answer  *lacewingramp.Answer
	Refusal *lacewingramp.Refusal
}

// Book keeps the records of the shards that an instance holds. It is not safe
// for use by more than one goroutine.
type Book struct {
	shards [quota.Shards]*shard
}

type shard struct {
	since time.Time
	notes map[string]*lacewingramp.IdempotencyRecord
}

// Hold starts a shard. since is the time from which on every record of the
// shard is known, zero where the shard never had another holder.
func (b *Book) Hold(n int, since time.Time, notes []lacewingramp.IdempotencyRecord) {
	s := &shard{since: since, notes: make(map[string]*lacewingramp.IdempotencyRecord, len(notes))}
	for i := range notes {
		s.notes[notes[i].Key] = &notes[i]
	}
	b.shards[n] = s
}

// Drop ends a shard and returns what its next holder needs.
func (b *Book) Drop(n int) (since time.Time, notes []lacewingramp.IdempotencyRecord) {
	s := b.shards[n]
	b.shards[n] = nil
	if s == nil {
		return time.Time{}, nil
	}
	for _, k := range s.notes {
		notes = append(notes, *k)
	}
	sort.Slice(notes, func(i, j int) bool { return notes[i].Key < notes[j].Key })
	return s.since, notes
}

// Busy reports whether a request of the shard is running, so that the shard
// can not be handed over yet.
func (b *Book) Busy(n int) bool {
	s := b.shards[n]
	if s == nil {
		return false
	}
	for _, k := range s.notes {
		if k.Answer == nil {
			return true
		}
	}
	return false
}

// Begin decides on a request. The caller has made sure that the instance
// holds the key's shard.
func (b *Book) Begin(now time.Time, k Key, print uint64) Decision {
	s := b.shards[k.Shard()]
	if s == nil {
		return refuse(lacewingramp.MayHaveRun, "the record of this key is not kept here")
	}
	if n, ok := s.notes[k.Text]; ok {
		return again(n, print)
	}
	if !s.fresh(now, k) {
		return refuse(lacewingramp.MayHaveRun, "an earlier request with this key may have run")
	}
	s.trim(now)
	s.notes[k.Text] = &lacewingramp.IdempotencyRecord{Key: k.Text, Fingerprint: print, StartedAt: now}
	return Decision{Kind: KindRun}
}

func again(n *lacewingramp.IdempotencyRecord, print uint64) Decision {
	if n.Fingerprint != print {
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

// fresh reports whether a key without a record has certainly not run.
func (s *shard) fresh(now time.Time, k Key) bool {
	if k.Moment.IsZero() {
		return now.Sub(s.since) > Window
	}
	if now.Sub(k.Moment) > Window-skew || k.Moment.Sub(now) > skew {
		return false
	}
	return k.Moment.After(s.since.Add(skew))
}

// trim forgets records that are older than Window, and the oldest ones where
// there are too many.
func (s *shard) trim(now time.Time) {
	if len(s.notes) < notesMost {
		return
	}
	all := make([]*lacewingramp.IdempotencyRecord, 0, len(s.notes))
	for _, n := range s.notes {
		if n.Answer != nil {
			all = append(all, n)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].StartedAt.Before(all[j].StartedAt) })
	const part = 4
	for i, n := range all {
		old := now.Sub(n.StartedAt) > Window
		if !old && i >= notesMost/part {
			return
		}
		if !old {
			s.since = n.StartedAt
		}
		delete(s.notes, n.Key)
	}
}

// Finish keeps the answer of a request that Begin let run. A refusal with the
// verdict NotRun frees the key for another try.
func (b *Book) Finish(k Key, a *lacewingramp.Answer) {
	s := b.shards[k.Shard()]
	if s == nil {
		return
	}
	n, ok := s.notes[k.Text]
	if !ok {
		return
	}
	if a.Refusal != nil && a.Refusal.Verdict == lacewingramp.NotRun {
		delete(s.notes, k.Text)
		return
	}
	n.Answer = a
}
