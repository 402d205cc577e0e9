// Package load drives callers against a deployment and measures what they
// see.
//
// A caller asks for a look-up, keeps the answer for its lifetime, tries the
// instances in order, and sends a request again only after the verdict that
// it did not run, or with the same idempotency key.
//
// # Usage
//
//	c := load.NewCaller(load.Identity{Customer: "refugio", Key: key, Domain: "uy1"}, addresses)
//	result := c.Do(ctx, load.Request{Service: "recipes", Method: "GET", Path: "/recipes/7"})
package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/entry/front"
	"lacewingramp.example/lacewingramp/internal/platform/target"
)

const (
	dialTimeout   = time.Second
	lookupTimeout = 2 * time.Second
	callTimeout   = 40 * time.Second
	connections   = 256
	triesMost     = 4
)

// Identity says who a caller is. Domain is where it stands.
type Identity struct {
	Customer string
	Key      string
	Domain   string
}

// Request is one request of a caller. With Once set it bears an idempotency
// key and is repeated with it when its end is unclear.
type Request struct {
	Service string
	Method  string
	Path    string
	Body    string
	Once    string
}

// Result is what a caller saw. Wrong says why an answer is not the one to
// its request.
type Result struct {
	Verdict lacewingramp.Verdict
	Cause   lacewingramp.Cause
	Status  int
	Took    time.Duration
	Tries   int
	Key     string
	Wrong   string
}

// Caller sends requests the way a well-behaved client does.
type Caller struct {
	identity Identity
	entries  []string
	client   *http.Client

	mu      sync.Mutex
	answers map[string]cached
}

type cached struct {
	answer front.Steered
	until  time.Time
}

// NewCaller returns a caller that knows some entry addresses to start from.
func NewCaller(i Identity, entries []string) *Caller {
	return &Caller{
		identity: i, entries: entries, answers: make(map[string]cached),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: connections,
		}},
	}
}

// lookup returns the answer in its lifetime, or asks for a new one. The last
// answer serves on where nobody can be asked.
func (c *Caller) lookup(ctx context.Context, service string, fresh bool) front.Steered {
	c.mu.Lock()
	known, ok := c.answers[service]
	c.mu.Unlock()
	if ok && !fresh && time.Now().Before(known.until) {
		return known.answer
	}
	addresses := append([]string(nil), c.entries...)
	for _, i := range known.answer.Instances {
		addresses = append(addresses, i.Address)
	}
	for _, a := range addresses {
		if s, err := c.ask(ctx, a, service); err == nil && len(s.Instances) > 0 {
			c.mu.Lock()
			c.answers[service] = cached{answer: s, until: time.Now().Add(time.Duration(s.Lifetime) * time.Second)}
			c.mu.Unlock()
			return s
		}
	}
	return known.answer
}

func (c *Caller) ask(ctx context.Context, address, service string) (front.Steered, error) {
	var s front.Steered
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"service": {service}, "customer": {c.identity.Customer}}
	if c.identity.Domain != "" {
		q.Set("domain", c.identity.Domain)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/steer?"+q.Encode(), nil)
	if err != nil {
		return s, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, errors.New(resp.Status)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Do sends a request until it has an answer or may not be sent again.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	begun := time.Now()
	steered := c.lookup(ctx, r.Service, false)
	key := ""
	if r.Once != "" {
		key = steered.Stamp + "." + r.Once
	}
	result := Result{Verdict: lacewingramp.NotRun, Cause: lacewingramp.CausePeer}
	for try := range triesMost {
		if try >= len(steered.Instances) {
			steered = c.lookup(ctx, r.Service, true)
		}
		if len(steered.Instances) == 0 {
			break
		}
		to := steered.Instances[try%len(steered.Instances)]
		result = c.send(ctx, to.Address, r, key)
		result.Tries = try + 1
		if !again(result, r) {
			break
		}
	}
	result.Took = time.Since(begun)
	result.Key = key
	return result
}

// again reports whether a request may be sent once more: after a refusal that
// another instance might not repeat, or with an idempotency key.
func again(r Result, q Request) bool {
	switch r.Cause {
	case lacewingramp.CauseNone, lacewingramp.CauseRate, lacewingramp.CauseKey, lacewingramp.CausePoison, lacewingramp.CauseIdempotency:
		return false
	default:
	}
	return r.Verdict == lacewingramp.NotRun || q.Once != "" || q.Method == http.MethodGet
}

func (c *Caller) send(ctx context.Context, address string, r Request, key string) Result {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Result{Cause: lacewingramp.CauseRoute}
	}
	if c.identity.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.identity.Key)
	}
	if key != "" {
		req.Header.Set(front.HeaderRepeat, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost(err)
	}
	return c.read(resp, body, r)
}

// lost is the result of a request without an answer. Only one that could not
// be sent has certainly not run.
func lost(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Result{Verdict: lacewingramp.NotRun, Cause: lacewingramp.CausePeer}
	}
	return Result{Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CausePeer}
}

func (c *Caller) read(resp *http.Response, body []byte, r Request) Result {
	out := Result{Status: resp.StatusCode}
	if err := out.Verdict.UnmarshalText([]byte(resp.Header.Get(front.HeaderVerdict))); err != nil {
		out.Wrong = "no verdict"
		return out
	}
	if cause := resp.Header.Get(front.HeaderCause); cause != "" {
		_ = out.Cause.UnmarshalText([]byte(cause))
		return out
	}
	if resp.StatusCode == http.StatusOK {
		out.Wrong = c.compare(body, r)
	}
	return out
}

// compare holds a stand-in target's echo against what was asked.
func (c *Caller) compare(body []byte, r Request) string {
	var e target.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return "the answer is not whole"
	}
	sum := sha256.Sum256([]byte(r.Body))
	switch {
	case e.URI != r.Path || e.Method != r.Method || e.Hash != hex.EncodeToString(sum[:]):
		return "the answer belongs to another request"
	case e.Customer != c.identity.Customer:
		return "the request ran for another customer"
	default:
		return ""
	}
}

// Close ends the caller's connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}
