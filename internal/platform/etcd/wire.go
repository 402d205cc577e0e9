package etcd

// The messages of etcd's v3 JSON API that are used here. Whole numbers of 64
// bits are strings, keys and values are base64, as encoding/json writes
// []byte.

// Header is part of every answer.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// Pair is a key with its value.
type Pair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	Pairs  []Pair `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction. Only MOD EQUAL is used.
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

// Operation is a step of a transaction.
type Operation struct {
	Put *PutRequest `json:"request_put,omitempty"`
}

// TxnRequest runs Success if every Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// GrantRequest opens a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// RenewRequest extends a lease.
type RenewRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse answers a GrantRequest. TTL is 0 where a lease has ended.
type LeaseResponse struct {
	ID    int64  `json:"ID,string"`
	TTL   int64  `json:"TTL,string,omitempty"`
	Error string `json:"error,omitempty"`
}

// RenewResponse answers a RenewRequest.
type RenewResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate says what a watch covers and where it starts.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one message of a watch's stream.
type WatchMessage struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the events of a message.
type WatchResult struct {
	Header   Header  `json:"header"`
	Events   []Event `json:"events,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
}

// EventDelete is the type of an event that removed its key.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string `json:"type,omitempty"`
	Pair Pair   `json:"kv"`
}

// ErrorResponse is the body of an answer that is not 200.
type ErrorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// CodeNotFound is the code of an unknown lease.
const CodeNotFound = 5

// PrefixEnd returns the end of the range of keys that begin with prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
