// Package etcd is a lacewingramp.Store over the published v3 JSON API of
// etcd, with net/http as the only transport.
//
// A write whose answer does not arrive ends in lacewingramp.ErrUnknownOutcome: the
// writer reads the key back and looks for its edit id. A watch can go silent
// without an error, so a follower also reads the key's revision now and then.
//
// # Usage
//
//	store := &etcd.Client{Address: "http://127.0.0.1:2379"}
//	item, err := store.Get(ctx, lacewingramp.KeyTable)
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
	maxAnswerBytes = 16 << 20
	dialTimeout    = time.Second
	idleTimeout    = 5 * time.Second
)

// Client calls one address of the store. The zero value of every field but
// Address is ready.
type Client struct {
	// Address is the base URL, such as http://127.0.0.1:2379.
	Address string

	once  sync.Once
	calls *http.Client
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.calls = &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout: idleTimeout,
		}}
	})
	return c.calls
}

// call posts a message and decodes the answer. write says whether a missing
// answer may hide an effect.
func (c *Client) call(ctx context.Context, path string, in, out any, write bool) error {
	resp, err := c.post(ctx, c.client(), path, in)
	if err != nil {
		return failure(err, write)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failure(err, write)
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp.StatusCode, raw, write)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return failure(err, write)
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

func answerError(status int, raw []byte, write bool) error {
	var e ErrorResponse
	_ = json.Unmarshal(raw, &e)
	if e.Code == CodeNotFound {
		return lacewingramp.ErrLeaseExpired
	}
	if status == http.StatusServiceUnavailable {
		return lacewingramp.ErrUnreachable
	}
	return failure(errors.New(e.Message), write)
}

func failure(err error, write bool) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return lacewingramp.ErrUnreachable
	}
	if write {
		return lacewingramp.ErrUnknownOutcome
	}
	return lacewingramp.ErrUnreachable
}

// Get returns the item of key.
func (c *Client) Get(ctx context.Context, key string) (lacewingramp.Item, error) {
	return c.one(ctx, key, false)
}

// Revision returns the revision of key without its value.
func (c *Client) Revision(ctx context.Context, key string) (int64, error) {
	i, err := c.one(ctx, key, true)
	return i.Revision, err
}

func (c *Client) one(ctx context.Context, key string, keysOnly bool) (lacewingramp.Item, error) {
	all, err := c.scan(ctx, RangeRequest{Key: []byte(key), KeysOnly: keysOnly})
	if err != nil || len(all) == 0 {
		return lacewingramp.Item{Key: key}, err
	}
	return all[0], nil
}

// Range returns the items whose keys begin with prefix.
func (c *Client) Range(ctx context.Context, prefix string) ([]lacewingramp.Item, error) {
	return c.scan(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))})
}

func (c *Client) scan(ctx context.Context, in RangeRequest) ([]lacewingramp.Item, error) {
	var out RangeResponse
	if err := c.call(ctx, "/v3/kv/range", in, &out, false); err != nil {
		return nil, err
	}
	items := make([]lacewingramp.Item, 0, len(out.Pairs))
	for _, p := range out.Pairs {
		items = append(items, p.item())
	}
	return items, nil
}

func (p Pair) item() lacewingramp.Item {
	return lacewingramp.Item{
		Key: string(p.Key), Value: p.Value,
		Revision: p.ModRevision, Lease: lacewingramp.LeaseID(p.Lease),
	}
}

// CompareAndSwap writes value if the key's revision is base.
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

// Delete removes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	var out struct{}
	return c.call(ctx, "/v3/kv/deleterange", DeleteRequest{Key: []byte(key)}, &out, true)
}

// GrantLease opens a lease of ttl seconds.
func (c *Client) GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error) {
	var out LeaseResponse
	err := c.call(ctx, "/v3/lease/grant", GrantRequest{TTL: ttl}, &out, true)
	return lacewingramp.LeaseID(out.ID), err
}

// RenewLease extends a lease by its ttl.
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
