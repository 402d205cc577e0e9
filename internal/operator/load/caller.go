// Package load generates the load of callers on a deployment and measures the
// responses.
//
// A caller looks up the instances for a service, caches the response for its
// lifetime and tries the instances in order. It retries a request only if the
// request did not run, is a GET, or has an idempotency key, which stays the same.
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
	dialTimeout        = time.Second
	lookupTimeout      = 2 * time.Second
	requestTimeout     = 40 * time.Second
	maxIdleConnections = 256
	maxTries           = 4
)

// Identity identifies a caller: its customer, its key and the failure domain that
// it runs in.
type Identity struct {
	Customer string
	Key      string
	Domain   string
}

// Request is a request of a caller. If IdempotencyID is set, the request has an
// idempotency key made from it, and is retried with that key if its outcome is
// unknown.
type Request struct {
	Service       string
	Method        string
	Path          string
	Body          string
	IdempotencyID string
}

// Result is the result of a request. Status is the HTTP status of the last response,
// Tries the number of tries, Latency the total duration of all tries and lookups, and
// Key the idempotency key. Wrong says why the response is not valid for the request;
// it is empty for a valid response.
type Result struct {
	Verdict lacewingramp.Verdict
	Cause   lacewingramp.Cause
	Status  int
	Latency time.Duration
	Tries   int
	Key     string
	Wrong   string
}

// Caller sends requests the way that callers should, which the package documentation
// describes. It is safe for concurrent use.
type Caller struct {
	identity       Identity
	entryAddresses []string
	client         *http.Client

	mu      sync.Mutex
	lookups map[string]cachedLookup
}

// cachedLookup is the response to a lookup and the time until which it may be used.
type cachedLookup struct {
	response  front.LookupResponse
	expiresAt time.Time
}

// NewCaller returns a caller that sends its first lookup to an entry instance at one of
// entryAddresses.
func NewCaller(i Identity, entryAddresses []string) *Caller {
	return &Caller{
		identity: i, entryAddresses: entryAddresses, lookups: make(map[string]cachedLookup),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
		}},
	}
}

// lookup returns the cached response to a lookup, or sends a new lookup if the
// cached one has expired or refresh is set. If no instance answers the lookup, it
// returns the cached response, even if that has expired.
func (c *Caller) lookup(ctx context.Context, service string, refresh bool) front.LookupResponse {
	c.mu.Lock()
	cached, ok := c.lookups[service]
	c.mu.Unlock()
	if ok && !refresh && time.Now().Before(cached.expiresAt) {
		return cached.response
	}
	addresses := append([]string(nil), c.entryAddresses...)
	for _, i := range cached.response.Instances {
		addresses = append(addresses, i.Address)
	}
	for _, address := range addresses {
		if fresh, err := c.fetchLookup(ctx, address, service); err == nil && len(fresh.Instances) > 0 {
			c.mu.Lock()
			c.lookups[service] = cachedLookup{response: fresh, expiresAt: time.Now().Add(time.Duration(fresh.Lifetime) * time.Second)}
			c.mu.Unlock()
			return fresh
		}
	}
	return cached.response
}

func (c *Caller) fetchLookup(ctx context.Context, address, service string) (front.LookupResponse, error) {
	var response front.LookupResponse
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "customer": {c.identity.Customer}}
	if c.identity.Domain != "" {
		query.Set("domain", c.identity.Domain)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/steer?"+query.Encode(), nil)
	if err != nil {
		return response, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return response, errors.New(resp.Status)
	}
	return response, json.NewDecoder(resp.Body).Decode(&response)
}

// Do sends a request and retries it until there is a response, it may not be
// retried, or the maximum number of tries is reached.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	started := time.Now()
	response := c.lookup(ctx, r.Service, false)
	key := ""
	if r.IdempotencyID != "" {
		key = response.Stamp + "." + r.IdempotencyID
	}
	result := Result{Verdict: lacewingramp.NotRun, Cause: lacewingramp.CausePeer}
	for try := range maxTries {
		if try >= len(response.Instances) {
			response = c.lookup(ctx, r.Service, true)
		}
		if len(response.Instances) == 0 {
			break
		}
		instance := response.Instances[try%len(response.Instances)]
		result = c.send(ctx, instance.Address, r, key)
		result.Tries = try + 1
		if !mayRetry(result, r) {
			break
		}
	}
	result.Latency = time.Since(started)
	result.Key = key
	return result
}

// mayRetry reports whether a request may be sent again. It may not if a target responded,
// or if it was refused with a cause for which other instances would refuse it as well.
// Otherwise it may if it did not run, is a GET or has an idempotency key.
func mayRetry(result Result, request Request) bool {
	switch result.Cause {
	case lacewingramp.CauseNone, lacewingramp.CauseRate, lacewingramp.CauseKey, lacewingramp.CausePoison, lacewingramp.CauseIdempotency:
		return false
	default:
	}
	return result.Verdict == lacewingramp.NotRun || request.IdempotencyID != "" || request.Method == http.MethodGet
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
		req.Header.Set(front.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return transportFailure(err)
	}
	return c.parseResponse(resp, body, r)
}

// transportFailure returns the result of a request without a complete response. The
// request certainly did not run only if no connection could be established.
func transportFailure(err error) Result {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return Result{Verdict: lacewingramp.NotRun, Cause: lacewingramp.CausePeer}
	}
	return Result{Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CausePeer}
}

func (c *Caller) parseResponse(resp *http.Response, body []byte, r Request) Result {
	result := Result{Status: resp.StatusCode}
	if err := result.Verdict.UnmarshalText([]byte(resp.Header.Get(front.HeaderVerdict))); err != nil {
		result.Wrong = "no verdict"
		return result
	}
	if cause := resp.Header.Get(front.HeaderCause); cause != "" {
		_ = result.Cause.UnmarshalText([]byte(cause))
		return result
	}
	if resp.StatusCode == http.StatusOK {
		result.Wrong = c.checkEcho(body, r)
	}
	return result
}

// checkEcho compares the echo of a stand-in target with the request. It returns why
// the response is not valid, or an empty string if it is.
func (c *Caller) checkEcho(body []byte, r Request) string {
	var echo target.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return "the response body is not a valid echo"
	}
	sum := sha256.Sum256([]byte(r.Body))
	switch {
	case echo.URI != r.Path || echo.Method != r.Method || echo.Hash != hex.EncodeToString(sum[:]):
		return "the response belongs to another request"
	case echo.Customer != c.identity.Customer:
		return "the request ran for another customer"
	default:
		return ""
	}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}
