// Package kv is the interface to the platform's key-value service and its
// client, which speaks the published etcd v3 JSON gateway.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors that callers tell apart.
const (
	// ErrUnavailable: no answer. A write may still have taken effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrNotDone: the service refused the call, or it was never sent.
	// Nothing was done.
	ErrNotDone = errors.ConstError("key-value service refused the call")
	// ErrLeaseNotFound: the lease has lapsed or was revoked.
	ErrLeaseNotFound = errors.ConstError("lease not found")
	// ErrCompacted: the watch starts at a revision that is no longer kept.
	ErrCompacted = errors.ConstError("revision compacted")
)

// Pair is a key with its value. ModRevision is the store revision of the last
// write; CreateRevision that of the key's creation. Lease is zero for none.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Compare is one condition of a transaction. With Missing set the key must not
// exist, else its ModRevision must equal ModRevision.
type Compare struct {
	Key         string
	Missing     bool
	ModRevision int64
}

// Op is one operation of a transaction. Put and Delete are writes; a Get reads
// Key, or with Prefix all keys that start with it.
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

// Put writes a key. lease may be zero.
func Put(key string, value []byte, lease int64) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete removes a key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// DeletePrefix removes every key that starts with prefix.
func DeletePrefix(prefix string) Op { return Op{Kind: OpDelete, Key: prefix, Prefix: true} }

// Get reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// GetPrefix reads every key that starts with prefix.
func GetPrefix(prefix string) Op { return Op{Kind: OpGet, Key: prefix, Prefix: true} }

// Txn does Then if all of If hold, else Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the answer to a Txn. Reads has one entry per OpGet of the branch
// that was taken, in order.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Reads     [][]Pair
}

// Event is one change seen by a watch. Deleted events carry only the key and
// the revision.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Store is what leverstile needs of the key-value service. Each method counts
// as one call there, a waiting Watch as one too.
type Store interface {
	// Range reads all keys that start with prefix, and the revision read at.
	Range(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Do runs a transaction. On ErrUnavailable it may have taken effect.
	Do(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive extends a lease to its full TTL from now.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls handle for each batch of changes after revision, until ctx
	// ends or the service breaks it off; it returns the reason.
	Watch(ctx context.Context, prefix string, after int64, handle func(rev int64, events []Event)) error
}
