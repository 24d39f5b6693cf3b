package kv

import "strconv"

// JSON messages of the etcd v3 gateway (etcd API reference v3.5, generated
// by grpc-gateway): byte fields are base64, 64-bit numbers are strings.

// Int64 is a 64-bit number that JSON carries as a string.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (n Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON accepts both a quoted and an unquoted number.
func (n *Int64) UnmarshalJSON(b []byte) error {
	if len(b) >= 2 && b[0] == '"' {
		b = b[1 : len(b)-1]
	}
	v, err := strconv.ParseInt(string(b), 10, 64)
	*n = Int64(v)
	return err
}

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Compare targets, compare results, event types and gRPC status codes.
const (
	TargetMod      = "MOD"
	TargetCreate   = "CREATE"
	ResultEqual    = "EQUAL"
	EventPut       = "PUT"
	EventDelete    = "DELETE"
	codeNotFound   = 5  // gRPC status NOT_FOUND
	codeOutOfRange = 11 // gRPC status OUT_OF_RANGE
)

// WirePair is mvccpb.KeyValue.
type WirePair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// WireHeader is etcdserverpb.ResponseHeader.
type WireHeader struct {
	Revision Int64 `json:"revision,omitempty"`
}

// WireRange is a range request.
type WireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// WireRangeResponse answers a range request.
type WireRangeResponse struct {
	Header WireHeader `json:"header"`
	Pairs  []WirePair `json:"kvs,omitempty"`
}

// WirePut is a put request.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// WireCompare is a transaction's condition.
type WireCompare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    *Int64 `json:"mod_revision,omitempty"`
	CreateRevision *Int64 `json:"create_revision,omitempty"`
}

// WireOp is a transaction's operation; exactly one field is set.
type WireOp struct {
	Range  *WireRange `json:"request_range,omitempty"`
	Put    *WirePut   `json:"request_put,omitempty"`
	Delete *WireRange `json:"request_delete_range,omitempty"`
}

// WireTxn is a transaction.
type WireTxn struct {
	Compare []WireCompare `json:"compare,omitempty"`
	Success []WireOp      `json:"success,omitempty"`
	Failure []WireOp      `json:"failure,omitempty"`
}

// WireOpResponse answers a WireOp.
type WireOpResponse struct {
	Range *WireRangeResponse `json:"response_range,omitempty"`
}

// WireTxnResponse answers a transaction.
type WireTxnResponse struct {
	Header    WireHeader       `json:"header"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []WireOpResponse `json:"responses,omitempty"`
}

// WireLease is a lease request or its answer. TTL is in seconds.
type WireLease struct {
	ID  Int64 `json:"ID,omitempty"`
	TTL Int64 `json:"TTL,omitempty"`
}

// WireKeepAlive answers a keep-alive; a TTL of zero means that the lease doesn't exist.
type WireKeepAlive struct {
	Result WireLease `json:"result"`
}

// WireWatch is the first message of a watch.
type WireWatch struct {
	Create WireWatchCreate `json:"create_request"`
}

// WireWatchCreate is the key range and the start revision of a watch.
type WireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// WireWatchResponse is one message of a watch.
type WireWatchResponse struct {
	Result struct {
		Header          WireHeader  `json:"header"`
		Created         bool        `json:"created,omitempty"`
		Canceled        bool        `json:"canceled,omitempty"`
		CompactRevision Int64       `json:"compact_revision,omitempty"`
		Events          []WireEvent `json:"events,omitempty"`
	} `json:"result"`
}

// WireEvent is one change; an empty type means a put.
type WireEvent struct {
	Type string   `json:"type,omitempty"`
	Pair WirePair `json:"kv"`
}

// WireError is the gateway's error body.
type WireError struct {
	Error string `json:"error"`
	Code  int    `json:"code"`
}

// PrefixEnd returns the end of the range of keys that start with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
