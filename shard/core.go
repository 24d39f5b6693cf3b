// Package shard keeps a piece of state that is owned by one entry at a time.
//
// Ownership is a key under the owner's store lease together with a term, a
// number that only grows. Changes are records in a journal in the store,
// committed in groups; each commit is conditional on the term, so that a former
// owner can't write after a takeover. See docs/design/ownership.md.
//
// Core does no I/O: it is given clock readings and answers of the store, and
// returns the store operations to perform next.
package shard

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/kv"
)

// Machine is the state machine to which a shard's records are applied. All
// methods are called from the goroutine that drives the Core.
type Machine interface {
	// Reset empties the state.
	Reset()
	// Restore adds one part of a snapshot.
	Restore(part []byte) error
	// Apply applies one journal record during recovery.
	Apply(record []byte) error
	// Snapshot returns the whole state in parts of at most maxBytes.
	Snapshot(maxBytes int) ([][]byte, error)
}

// Phase is an entry's progress towards owning a shard.
type Phase int

const (
	// Idle means that the entry is not the owner.
	Idle Phase = iota
	// Acquiring means that it tries to become the owner.
	Acquiring
	// Loading means that it is the owner and reads the snapshot and journal.
	Loading
	// Owning means that it is the owner and records may be proposed.
	Owning
	// Releasing means that it is the owner and commits the remaining records
	// before it gives up ownership.
	Releasing
)

// Params are the fixed parameters of a Core.
type Params struct {
	// Name identifies the shard in the store's keys.
	Name string
	// Self is the id of this entry process.
	Self string
	// CommitEvery is the minimum time between two commits.
	CommitEvery time.Duration
	// RetryEvery is the wait after a store call without an answer.
	RetryEvery time.Duration
	// MaxValueBytes bounds the size of a journal value or snapshot part.
	MaxValueBytes int
	// SnapshotBytes is the size of the journal at which a snapshot is written.
	SnapshotBytes int
	// NoTermCheck commits without checking the term; tests use it to show that
	// their checks detect it.
	NoTermCheck bool
}

// Default values of Params.
const (
	DefaultCommitEvery   = 100 * time.Millisecond
	DefaultRetryEvery    = 500 * time.Millisecond
	DefaultMaxValueBytes = 700_000 // base64 in JSON stays under the store's 1 MB
	DefaultSnapshotBytes = 2_000_000
)

// Op is a store call that the caller of Core must make. Its answer is passed to
// Core.Answer with the same ID. Txn is nil for a range read of Prefix.
type Op struct {
	ID     uint64
	Prefix string
	Txn    *kv.Txn
}

// Answer is the outcome of an Op.
type Answer struct {
	ID    uint64
	Err   error
	Pairs []kv.Pair
	Txn   kv.TxnResult
}

type opKind int

const (
	opReadMeta opKind = iota
	opAcquire
	opLoad
	opCommit
	opSnapshotPart
	opSnapshotHead
	opRelease
)

// Core is the ownership and journal of one shard at one entry. It isn't safe
// for concurrent use.
type Core struct {
	params  Params
	machine Machine

	phase  Phase
	wanted bool
	// lease is the entry's store lease; decisions end at leaseUntil, which is
	// no later than the lease's end in the store.
	lease      int64
	leaseUntil time.Duration

	term         uint64
	termRevision int64
	// acquireTxn is the acquisition to try next, built from the keys just read.
	acquireTxn *kv.Txn

	// generation counts snapshots; seq numbers the journal values within a
	// generation.
	generation   uint64
	seq          uint64
	headRevision int64
	journalBytes int

	// proposed is the number of records proposed in this term, committed the
	// number of those that are durable. Invariant: committed <= proposed.
	proposed  uint64
	committed uint64
	queue     [][]byte

	chunk    *chunk
	snapshot *snapshot

	pendingOp   uint64
	pendingKind opKind
	nextOp      uint64
	notBefore   time.Duration
	lastCommit  time.Duration
	lastAnswer  time.Duration
}

// chunk is a group of records being committed as one journal value.
type chunk struct {
	txn      kv.Txn
	upTo     uint64
	byteSize int
}

// snapshot is a snapshot being written part by part, with the head last.
type snapshot struct {
	parts      [][]byte
	next       int
	upTo       uint64
	generation uint64
}

// New returns a Core that doesn't own its shard yet.
func New(params Params, machine Machine) *Core {
	return &Core{params: params, machine: machine}
}

// WatchPrefix is the prefix of the keys that every entry watches.
const WatchPrefix = "/leverstile/watch/"

// OwnerPrefix is the prefix of the owner keys, below WatchPrefix.
const OwnerPrefix = WatchPrefix + "owner/"

const dataPrefix = "/leverstile/shard/"

// OwnerKey returns the key that exists while a shard has an owner.
func OwnerKey(name string) string { return OwnerPrefix + name }

func (c *Core) prefix() string { return dataPrefix + c.params.Name + "/" }

func (c *Core) termKey() string { return c.prefix() + "term" }

func (c *Core) headKey() string { return c.prefix() + "head" }

func (c *Core) logPrefix(gen uint64) string {
	return fmt.Sprintf("%slog/%016x/", c.prefix(), gen)
}

func (c *Core) snapshotPrefix(gen uint64) string {
	return fmt.Sprintf("%ssnap/%016x/", c.prefix(), gen)
}

func (c *Core) logKey() string { return fmt.Sprintf("%s%016x", c.logPrefix(c.generation), c.seq) }

// Phase returns the current phase.
func (c *Core) Phase() Phase { return c.phase }

// Term returns the current term, or the last one in which this entry was owner.
func (c *Core) Term() uint64 { return c.term }

// Proposed returns the position of the last proposed record.
func (c *Core) Proposed() uint64 { return c.proposed }

// Committed returns the position up to which records are durable.
func (c *Core) Committed() uint64 { return c.committed }

// LeaseUntil returns the clock reading at which decisions must stop.
func (c *Core) LeaseUntil() time.Duration { return c.leaseUntil }

// MayDecide reports whether this entry certainly is the owner at now.
func (c *Core) MayDecide(now time.Duration) bool {
	return c.phase == Owning && now < c.leaseUntil
}

// StoreSilent returns how long a commit or snapshot has waited for the store's
// answer, or zero if none is pending.
func (c *Core) StoreSilent(now time.Duration) time.Duration {
	if c.chunk == nil && c.snapshot == nil {
		return 0
	}
	return now - c.lastAnswer
}

// SetWanted sets whether this entry is the preferred owner.
func (c *Core) SetWanted(wanted bool) { c.wanted = wanted }

// SetLease sets the entry's store lease and the clock reading up to which it is
// held for certain. A different lease id means that the former lease has expired,
// and ownership with it.
func (c *Core) SetLease(id int64, until time.Duration) {
	if id != c.lease && c.phase != Idle {
		c.loseOwnership()
	}
	c.lease, c.leaseUntil = id, until
}

// Propose adds a record to the next commit and returns its position. The caller
// has applied it to the machine already, but must delay external effects until
// Committed reaches the position.
func (c *Core) Propose(record []byte) uint64 {
	c.queue = append(c.queue, record)
	c.proposed++
	return c.proposed
}

func (c *Core) loseOwnership() {
	c.phase = Idle
	c.queue, c.chunk, c.snapshot = nil, nil, nil
	c.pendingOp = 0
}

// Tick returns the store operation to perform now, if any.
func (c *Core) Tick(now time.Duration) []Op {
	if c.pendingOp != 0 || now < c.notBefore {
		return nil
	}
	switch c.phase {
	case Idle:
		return c.tickIdle(now)
	case Acquiring:
		return c.tickAcquiring()
	case Loading:
		return c.issue(opLoad, Op{Prefix: c.prefix()})
	default:
		return c.tickOwning(now)
	}
}

func (c *Core) tickIdle(now time.Duration) []Op {
	if !c.wanted || c.lease == 0 || now >= c.leaseUntil {
		return nil
	}
	c.phase = Acquiring
	c.acquireTxn = nil
	return c.tickAcquiring()
}

func (c *Core) tickAcquiring() []Op {
	if txn := c.acquireTxn; txn != nil {
		c.acquireTxn = nil
		return c.issue(opAcquire, Op{Txn: txn})
	}
	return c.issue(opReadMeta, Op{Txn: c.readMeta()})
}

func (c *Core) readMeta() *kv.Txn {
	return &kv.Txn{Then: []kv.Op{kv.Get(OwnerKey(c.params.Name)), kv.Get(c.termKey())}}
}

func (c *Core) tickOwning(now time.Duration) []Op {
	if c.chunk != nil {
		return c.issue(opCommit, Op{Txn: &c.chunk.txn})
	}
	if c.snapshot != nil {
		return c.snapshotOp()
	}
	if c.phase == Owning && !c.wanted {
		c.phase = Releasing
	}
	if len(c.queue) == 0 && c.phase == Releasing {
		return c.issue(opRelease, Op{Txn: c.releaseTxn()})
	}
	if c.journalBytes >= c.params.SnapshotBytes {
		return c.beginSnapshot()
	}
	if len(c.queue) == 0 || now-c.lastCommit < c.params.CommitEvery {
		return nil
	}
	return c.beginCommit(now)
}

func (c *Core) issue(kind opKind, op Op) []Op {
	c.nextOp++
	op.ID = c.nextOp
	c.pendingOp, c.pendingKind = op.ID, kind
	return []Op{op}
}

func (c *Core) beginCommit(now time.Duration) []Op {
	c.lastCommit, c.lastAnswer = now, now
	msg := &journalv1.Chunk{}
	size := 0
	for len(c.queue) > 0 && (size == 0 || size+len(c.queue[0]) <= c.params.MaxValueBytes) {
		size += len(c.queue[0])
		msg.Records = append(msg.Records, c.queue[0])
		c.queue = c.queue[1:]
	}
	value := mustMarshal(msg)
	key := c.logKey()
	c.chunk = &chunk{
		upTo:     c.proposed - uint64(len(c.queue)),
		byteSize: len(value),
		txn: kv.Txn{
			If:   []kv.Compare{c.termUnchanged(), {Key: key, Missing: true}},
			Then: []kv.Op{kv.Put(key, value, 0)},
			Else: []kv.Op{kv.Get(c.termKey()), kv.Get(key)},
		},
	}
	return c.issue(opCommit, Op{Txn: &c.chunk.txn})
}

func (c *Core) termUnchanged() kv.Compare {
	if c.params.NoTermCheck {
		return kv.Compare{Key: c.prefix() + "never-written", Missing: true}
	}
	return kv.Compare{Key: c.termKey(), ModRevision: c.termRevision}
}

// beginSnapshot starts writing the whole state, including the records still in
// the queue; those become durable with the snapshot.
func (c *Core) beginSnapshot() []Op {
	parts, err := c.machine.Snapshot(c.params.MaxValueBytes)
	if err != nil {
		c.loseOwnership()
		return nil
	}
	c.snapshot = &snapshot{parts: parts, upTo: c.proposed, generation: c.generation + 1}
	c.queue = nil
	return c.snapshotOp()
}

func (c *Core) snapshotOp() []Op {
	s := c.snapshot
	if s.next < len(s.parts) {
		key := fmt.Sprintf("%s%08x", c.snapshotPrefix(s.generation), s.next)
		return c.issue(opSnapshotPart, Op{Txn: &kv.Txn{
			If:   []kv.Compare{c.termUnchanged()},
			Then: []kv.Op{kv.Put(key, s.parts[s.next], 0)},
			Else: []kv.Op{kv.Get(c.termKey())},
		}})
	}
	head := &journalv1.SnapshotHead{Generation: s.generation, Parts: uint32(len(s.parts))}
	return c.issue(opSnapshotHead, Op{Txn: &kv.Txn{
		// Comparing the head's revision prevents a late duplicate of this write
		// from undoing a newer snapshot.
		If: []kv.Compare{c.termUnchanged(), c.headUnchanged()},
		Then: []kv.Op{
			kv.Put(c.headKey(), mustMarshal(head), 0),
			kv.DeletePrefix(c.logPrefix(s.generation - 1)),
			kv.DeletePrefix(c.snapshotPrefix(s.generation - 1)),
		},
		Else: []kv.Op{kv.Get(c.termKey()), kv.Get(c.headKey())},
	}})
}

func (c *Core) headUnchanged() kv.Compare {
	if c.headRevision == 0 {
		return kv.Compare{Key: c.headKey(), Missing: true}
	}
	return kv.Compare{Key: c.headKey(), ModRevision: c.headRevision}
}

func (c *Core) releaseTxn() *kv.Txn {
	return &kv.Txn{
		If:   []kv.Compare{c.termUnchanged()},
		Then: []kv.Op{kv.Delete(OwnerKey(c.params.Name))},
	}
}

// Answer processes the outcome of an operation and ignores answers to operations
// that are no longer pending. It returns an error only if stored state can't be
// read; ownership is then given up.
func (c *Core) Answer(now time.Duration, a Answer) error {
	if a.ID != c.pendingOp || c.pendingOp == 0 {
		return nil
	}
	c.pendingOp = 0
	if a.Err != nil {
		c.notBefore = now + c.params.RetryEvery
		if c.phase == Acquiring {
			// If the acquisition succeeded, its lease identifies it at the next try.
			c.phase = Idle
		}
		return nil
	}
	c.lastAnswer = now
	switch c.pendingKind {
	case opReadMeta:
		c.answerMeta(now, a.Txn)
	case opAcquire:
		c.answerAcquire(a.Txn)
	case opLoad:
		return c.loadState(a.Pairs)
	case opCommit:
		c.answerCommit(a.Txn)
	case opSnapshotPart:
		c.answerSnapshotPart(a.Txn)
	case opSnapshotHead:
		c.answerSnapshotHead(a.Txn)
	case opRelease:
		c.loseOwnership()
	}
	return nil
}

func (c *Core) answerMeta(now time.Duration, res kv.TxnResult) {
	owner, term := first(res.Reads[0]), first(res.Reads[1])
	if owner != nil {
		c.answerOwned(now, owner, term)
		return
	}
	rec := decodeTerm(term)
	next := &journalv1.TermRecord{Term: rec.GetTerm() + 1, Owner: c.params.Self}
	unchanged := kv.Compare{Key: c.termKey(), Missing: true}
	if term != nil {
		unchanged = kv.Compare{Key: c.termKey(), ModRevision: term.ModRevision}
	}
	c.acquireTxn = &kv.Txn{
		If: []kv.Compare{{Key: OwnerKey(c.params.Name), Missing: true}, unchanged},
		Then: []kv.Op{
			kv.Put(OwnerKey(c.params.Name), []byte(c.params.Self), c.lease),
			kv.Put(c.termKey(), mustMarshal(next), 0),
			kv.Get(c.termKey()),
		},
	}
}

// answerOwned handles a shard that has an owner. An owner key under this entry's
// own lease can only come from an acquisition whose answer was lost.
func (c *Core) answerOwned(now time.Duration, owner, term *kv.Pair) {
	if owner.Lease == c.lease && term != nil {
		c.beginLoading(term)
		return
	}
	c.phase = Idle
	c.notBefore = now + c.params.RetryEvery
}

func (c *Core) answerAcquire(res kv.TxnResult) {
	if !res.Succeeded {
		c.phase = Idle
		return
	}
	c.beginLoading(first(res.Reads[0]))
}

// answerCommit handles a journal write. If the key exists already and the term
// is unchanged, then an earlier attempt of the same write took effect: only the
// term's owner writes, and it uses each key for one chunk.
func (c *Core) answerCommit(res kv.TxnResult) {
	if !res.Succeeded && !c.stillOwner(res) {
		c.loseOwnership()
		return
	}
	c.committed = c.chunk.upTo
	c.journalBytes += c.chunk.byteSize
	c.seq++
	c.chunk = nil
}

func (c *Core) stillOwner(res kv.TxnResult) bool {
	term := first(res.Reads[0])
	return term != nil && term.ModRevision == c.termRevision
}

func (c *Core) answerSnapshotPart(res kv.TxnResult) {
	if !res.Succeeded {
		c.loseOwnership()
		return
	}
	c.snapshot.next++
}

func (c *Core) answerSnapshotHead(res kv.TxnResult) {
	headRevision := res.Revision
	if !res.Succeeded {
		if !c.stillOwner(res) {
			c.loseOwnership()
			return
		}
		headRevision = first(res.Reads[1]).ModRevision
	}
	c.headRevision = headRevision
	c.generation = c.snapshot.generation
	c.seq, c.journalBytes = 0, 0
	c.committed = c.snapshot.upTo
	c.snapshot = nil
}

func first(pairs []kv.Pair) *kv.Pair {
	if len(pairs) == 0 {
		return nil
	}
	return &pairs[0]
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // happens only for messages that this package built incorrectly
	}
	return b
}
