// Package etcd implements lacewingramp.Store as a client of the JSON gateway of
// etcd's v3 API, with net/http as the transport.
//
// A write whose response does not arrive returns lacewingramp.ErrUnknownOutcome. To
// find out whether it took effect, the writer has to read the key back and look for
// its edit id. A watch can stop delivering events without an error, so its user
// should also poll the revision of the key.
//
// # Usage
//
//	store := &etcd.Client{Address: "http://127.0.0.1:2379"}
//	kv, err := store.Get(ctx, lacewingramp.KeyTable)
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	maxResponseBytes = 16 << 20
	dialTimeout      = time.Second
	idleTimeout      = 5 * time.Second
)

// Client is a client of the store at one address. It is safe for concurrent use and
// must not be copied after its first use.
type Client struct {
	// Address is the base URL, such as http://127.0.0.1:2379. It is required.
	Address string

	once       sync.Once
	httpClient *http.Client
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.httpClient = &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout: idleTimeout,
		}}
	})
	return c.httpClient
}

// call sends a request and decodes the response. isWrite says whether the request
// changes the store, so that its outcome is unknown if no valid response arrives.
func (c *Client) call(ctx context.Context, path string, in, out any, isWrite bool) error {
	resp, err := c.post(ctx, c.client(), path, in)
	if err != nil {
		return classifyError(err, isWrite)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return classifyError(err, isWrite)
	}
	if resp.StatusCode != http.StatusOK {
		return classifyResponse(resp.StatusCode, raw, isWrite)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return classifyError(err, isWrite)
	}
	return nil
}

func (c *Client) post(ctx context.Context, h *http.Client, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return h.Do(req)
}

func classifyResponse(status int, raw []byte, isWrite bool) error {
	var e ErrorResponse
	// A body that is not JSON leaves e empty; the status still classifies the error.
	_ = json.Unmarshal(raw, &e)
	if e.Code == CodeNotFound {
		return lacewingramp.ErrLeaseExpired
	}
	if status == http.StatusServiceUnavailable {
		return lacewingramp.ErrUnreachable
	}
	return classifyError(errors.New(e.Message), isWrite)
}

func classifyError(err error, isWrite bool) error {
	var opErr *net.OpError
	// If no connection was established, the request was not sent.
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return lacewingramp.ErrUnreachable
	}
	if isWrite {
		return lacewingramp.ErrUnknownOutcome
	}
	return lacewingramp.ErrUnreachable
}

// Get returns the key with its value. If the key does not exist, its revision is 0.
func (c *Client) Get(ctx context.Context, key string) (lacewingramp.KeyValue, error) {
	return c.getKeyValue(ctx, key, false)
}

// Revision returns the revision of key, 0 if it does not exist. The value is not
// transferred.
func (c *Client) Revision(ctx context.Context, key string) (int64, error) {
	kv, err := c.getKeyValue(ctx, key, true)
	return kv.Revision, err
}

func (c *Client) getKeyValue(ctx context.Context, key string, keysOnly bool) (lacewingramp.KeyValue, error) {
	all, err := c.rangeKeyValues(ctx, RangeRequest{Key: []byte(key), KeysOnly: keysOnly})
	if err != nil || len(all) == 0 {
		return lacewingramp.KeyValue{Key: key}, err
	}
	return all[0], nil
}

// Range returns the keys that begin with prefix, with their values.
func (c *Client) Range(ctx context.Context, prefix string) ([]lacewingramp.KeyValue, error) {
	return c.rangeKeyValues(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))})
}

func (c *Client) rangeKeyValues(ctx context.Context, in RangeRequest) ([]lacewingramp.KeyValue, error) {
	var out RangeResponse
	if err := c.call(ctx, "/v3/kv/range", in, &out, false); err != nil {
		return nil, err
	}
	keyValues := make([]lacewingramp.KeyValue, 0, len(out.Pairs))
	for _, p := range out.Pairs {
		keyValues = append(keyValues, p.toKeyValue())
	}
	return keyValues, nil
}

func (p Pair) toKeyValue() lacewingramp.KeyValue {
	return lacewingramp.KeyValue{
		Key: string(p.Key), Value: p.Value,
		Revision: p.ModRevision, Lease: lacewingramp.LeaseID(p.Lease),
	}
}

// CompareAndSwap sets the value of key if its current revision is base, and returns the
// new revision. A base of 0 requires that the key does not exist. The store deletes
// the key when the lease ends, unless lease is 0.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (int64, error) {
	in := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: base}},
		Success: []Operation{{Put: &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}
	var out TxnResponse
	if err := c.call(ctx, "/v3/kv/txn", in, &out, true); err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, lacewingramp.ErrConflict
	}
	return out.Header.Revision, nil
}

// Delete deletes a key. It is no error if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string) error {
	var out struct{}
	return c.call(ctx, "/v3/kv/deleterange", DeleteRequest{Key: []byte(key)}, &out, true)
}

// GrantLease creates a lease with a time to live of ttl seconds.
func (c *Client) GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error) {
	var out LeaseResponse
	err := c.call(ctx, "/v3/lease/grant", GrantRequest{TTL: ttl}, &out, true)
	return lacewingramp.LeaseID(out.ID), err
}

// RenewLease resets the remaining time of a lease to its time to live. It returns
// lacewingramp.ErrLeaseExpired if the lease does not exist.
func (c *Client) RenewLease(ctx context.Context, id lacewingramp.LeaseID) error {
	var out RenewResponse
	if err := c.call(ctx, "/v3/lease/keepalive", RenewRequest{ID: int64(id)}, &out, true); err != nil {
		return err
	}
	if out.Result.TTL == 0 {
		return lacewingramp.ErrLeaseExpired
	}
	return nil
}
