package etcd

// This file has the messages of etcd's v3 JSON API that Client uses. The API encodes
// 64-bit integers as strings, and keys and values in base64, as encoding/json does
// with []byte.

// Header is part of every response. Revision is the store's current revision.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// Pair is a key and its value. ModRevision is the revision of the last change of
// the key. Lease is 0 if the key has no lease.
type Pair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to, but not including, RangeEnd, or Key
// alone if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest: the keys that exist.
type RangeResponse struct {
	Header Header `json:"header"`
	Pairs  []Pair `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction. Client uses only one kind, with the Target
// MOD and the Result EQUAL: the revision of the key's last change is ModRevision.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Operation is an operation in a transaction.
type Operation struct {
	Put *PutRequest `json:"request_put,omitempty"`
}

// TxnRequest is a transaction: the operations in Success are executed if all
// conditions in Compare are met.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse is the response to a TxnRequest. Succeeded reports whether the
// conditions were met.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// GrantRequest creates a lease with a time to live of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// RenewRequest renews a lease.
type RenewRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to a GrantRequest, and part of a RenewResponse.
// TTL is 0 if the lease does not exist.
type LeaseResponse struct {
	ID    int64  `json:"ID,string"`
	TTL   int64  `json:"TTL,string,omitempty"`
	Error string `json:"error,omitempty"`
}

// RenewResponse is the response to a RenewRequest.
type RenewResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate has the range of keys of a watch and the revision at which it starts.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one message in the response stream of a watch.
type WatchMessage struct {
	Result WatchResult `json:"result"`
}

// WatchResult has the events of a WatchMessage.
type WatchResult struct {
	Header   Header  `json:"header"`
	Events   []Event `json:"events,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
}

// EventDelete is the type of an event for the deletion of a key.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string `json:"type,omitempty"`
	Pair Pair   `json:"kv"`
}

// ErrorResponse is the body of a response whose status is not 200.
type ErrorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// CodeNotFound is the gRPC status code of the response to a request with a lease that
// does not exist.
const CodeNotFound = 5

// PrefixEnd returns the RangeEnd for all keys that begin with prefix: the first key
// after them.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// The prefix is empty or has only 0xff bytes, so that no greater key exists. In the
	// API, a RangeEnd of one zero byte means that there is no upper bound.
	return []byte{0}
}
