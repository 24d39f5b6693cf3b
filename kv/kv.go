// Package kv is the interface to the platform's key-value service and its
// client, which speaks the published etcd v3 JSON gateway.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors that callers distinguish.
const (
	// ErrUnavailable means that no answer came. A write may still have taken effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrNotDone means that the service refused the call or that it was never sent:
	// it had no effect.
	ErrNotDone = errors.ConstError("key-value service refused the call")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.ConstError("lease not found")
	// ErrCompacted means that the watch starts at a revision that is no longer kept.
	ErrCompacted = errors.ConstError("revision compacted")
)

// Pair is a key with its value. ModRevision is the store revision of the last
// write, CreateRevision that of the key's creation. Lease is zero for none.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Compare is one condition of a transaction. With Missing set the key must not
// exist, otherwise the key's ModRevision must equal ModRevision.
type Compare struct {
	Key         string
	Missing     bool
	ModRevision int64
}

// Op is one operation of a transaction. OpPut and OpDelete are writes; an OpGet
// reads Key, or with Prefix all keys that start with it.
type Op struct {
	Kind   OpKind
	Key    string
	Prefix bool
	Value  []byte
	Lease  int64
}

// OpKind is the kind of an Op.
type OpKind int

// Kinds of operations.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Put returns an operation that writes a key; lease may be zero.
func Put(key string, value []byte, lease int64) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete returns an operation that removes a key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// DeletePrefix returns an operation that removes every key that starts with prefix.
func DeletePrefix(prefix string) Op { return Op{Kind: OpDelete, Key: prefix, Prefix: true} }

// Get returns an operation that reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// GetPrefix returns an operation that reads every key that starts with prefix.
func GetPrefix(prefix string) Op { return Op{Kind: OpGet, Key: prefix, Prefix: true} }

// Txn runs Then if all conditions of If hold, otherwise Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the answer to a Txn. Reads has one entry for each OpGet of the
// executed branch, in order.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Reads     [][]Pair
}

// Event is one change that a watch reports. Deleted events carry only the key and
// the revision.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Store is the part of the key-value service that leverstile uses. Each method
// counts as one call at the service, and so does a waiting Watch.
type Store interface {
	// Range reads all keys that start with prefix, and returns the revision of the read.
	Range(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Do runs a transaction. After ErrUnavailable it may have taken effect.
	Do(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease for its full TTL from now.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls handle for each batch of changes after the revision, until ctx
	// ends or the service ends the watch; it returns the reason.
	Watch(ctx context.Context, prefix string, after int64, handle func(rev int64, events []Event)) error
}
