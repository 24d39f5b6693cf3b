// Package claim keeps idempotency claims: a request that may run at most once
// is claimed under its Idempotency-Key before it is sent. Claims are kept in
// shards, each owned by one entry (package shard); a claim is durable before it
// is granted. The package does no I/O. See docs/design/idempotency.md.
package claim

import (
	"sort"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/shard"
)

// Params are the fixed parameters of an Owner.
type Params struct {
	Shard string
	Self  string
	// Retain is how long an ended claim is kept.
	Retain time.Duration
	// Grace is added to a claim's timeout before its outcome counts as unknown.
	Grace time.Duration
	// StoreSilence is how long a commit may wait for the store's answer before
	// requests are refused.
	StoreSilence time.Duration
	// NoCommit grants claims before they are durable; tests use it to show that
	// their checks detect it.
	NoCommit bool
}

// DefaultParams returns the default parameters of a shard at an entry.
func DefaultParams(name, self string, retain time.Duration) Params {
	return Params{Shard: name, Self: self, Retain: retain, Grace: 2 * time.Second, StoreSilence: 3 * time.Second}
}

// Request asks for a claim.
type Request struct {
	Key         string
	Holder      string
	RequestID   string
	Fingerprint uint64
	// Timeout is how long the holder may take to run the request.
	Timeout time.Duration
}

// Reply answers a call by its ticket, after the commit. Code is result.OK if
// the holder may send the request, or if a completion was recorded.
type Reply struct {
	Ticket     uint64
	Code       result.Code
	Phase      journalv1.ClaimPhase
	Outcome    *journalv1.ClaimOutcome
	RetryAfter time.Duration
}

// Owner is one claim shard at one entry. It collects store operations, replies
// and errors for its caller to fetch with Take. It isn't safe for concurrent use.
type Owner struct {
	params         Params
	core           *shard.Core
	table          *table
	waitingReplies []waitingReply
	owning         bool
	store          []shard.Op
	replies        []Reply
	errs           []error
	sweepAt        time.Time
}

// waitingReply is sent once the journal is committed up to pos.
type waitingReply struct {
	pos   uint64
	reply Reply
}

// NewOwner returns an Owner that doesn't own its shard yet.
func NewOwner(params Params, sp shard.Params) *Owner {
	o := &Owner{params: params, table: &table{}}
	o.table.Reset()
	o.core = shard.New(sp, o.table)
	return o
}

// Core returns the state of the shard's ownership and journal.
func (o *Owner) Core() *shard.Core { return o.core }

// Take returns the store operations, replies and errors collected since the last
// call.
func (o *Owner) Take() ([]shard.Op, []Reply, []error) {
	ops, replies, errs := o.store, o.replies, o.errs
	o.store, o.replies, o.errs = nil, nil, nil
	return ops, replies, errs
}

// Tick performs the work that is due at now. wall is the time of day, used for
// claims' timeouts and retention only.
func (o *Owner) Tick(now time.Duration, wall time.Time) {
	o.store = append(o.store, o.core.Tick(now)...)
	owning := o.core.Phase() == shard.Owning || o.core.Phase() == shard.Releasing
	if o.owning && !owning {
		o.loseOwnership()
	}
	o.owning = owning
	o.sendCommitted()
	if o.core.MayDecide(now) {
		o.sweep(wall)
	}
}

// StoreAnswer processes the outcome of a store operation.
func (o *Owner) StoreAnswer(now time.Duration, wall time.Time, a shard.Answer) {
	if err := o.core.Answer(now, a); err != nil {
		o.errs = append(o.errs, err)
	}
	o.Tick(now, wall)
}

func (o *Owner) loseOwnership() {
	for _, w := range o.waitingReplies {
		// A grant may or may not be durable; the holder must not send the request.
		o.replies = append(o.replies, Reply{Ticket: w.reply.Ticket, Code: result.OwnerUnavailable})
	}
	o.waitingReplies = nil
	o.table.Reset()
}

func (o *Owner) sendCommitted() {
	rest := o.waitingReplies[:0]
	for _, w := range o.waitingReplies {
		if w.pos <= o.core.Committed() || o.params.NoCommit {
			o.replies = append(o.replies, w.reply)
			continue
		}
		rest = append(rest, w)
	}
	o.waitingReplies = rest
}

func (o *Owner) answerAfter(pos uint64, r Reply) {
	o.waitingReplies = append(o.waitingReplies, waitingReply{pos, r})
	o.sendCommitted()
}

// refuse replies with an error, and reports true, if nothing can be recorded now.
func (o *Owner) refuse(now time.Duration, ticket uint64) bool {
	code := result.OK
	if !o.core.MayDecide(now) {
		code = result.OwnerUnavailable
	} else if o.core.StoreSilent(now) > o.params.StoreSilence {
		code = result.StoreUnavailable
	}
	if code == result.OK {
		return false
	}
	o.replies = append(o.replies, Reply{Ticket: ticket, Code: code, RetryAfter: time.Second})
	return true
}

// Claim grants a key to one request. The key is never granted to another one
// unless the first is proven not to have run, or its claim has ended and the
// retention time has passed. Repeats get the state of the first request's claim.
// The same request may ask again after its answer was lost.
func (o *Owner) Claim(now time.Duration, wall time.Time, ticket uint64, r Request) {
	if o.refuse(now, ticket) {
		return
	}
	c := o.table.claims[r.Key]
	if c == nil {
		c = o.grant(wall, r)
		o.answerAfter(c.pos, Reply{Ticket: ticket, Code: result.OK, Phase: c.rec.GetPhase()})
		return
	}
	if c.rec.GetFingerprint() != r.Fingerprint {
		o.answerAfter(c.pos, Reply{Ticket: ticket, Code: result.KeyReused, Phase: c.rec.GetPhase()})
		return
	}
	o.answerRepeat(wall, ticket, c, r)
}

func (o *Owner) grant(wall time.Time, r Request) *claim {
	return o.propose(&journalv1.ClaimRecord{
		Key: r.Key, Phase: journalv1.ClaimPhase_CLAIM_PHASE_GRANTED,
		Holder: r.Holder, RequestId: r.RequestID, Fingerprint: r.Fingerprint,
		ExpiresUnixMs: wall.Add(r.Timeout + o.params.Grace).UnixMilli(),
	})
}

func (o *Owner) answerRepeat(wall time.Time, ticket uint64, c *claim, r Request) {
	if c.rec.GetPhase() == journalv1.ClaimPhase_CLAIM_PHASE_GRANTED {
		if c.rec.GetRequestId() == r.RequestID {
			o.answerAfter(c.pos, Reply{Ticket: ticket, Code: result.OK, Phase: c.rec.GetPhase()})
			return
		}
		left := time.UnixMilli(c.rec.GetExpiresUnixMs()).Sub(wall)
		if left > 0 {
			o.answerAfter(c.pos, Reply{
				Ticket: ticket, Code: result.ClaimInProgress, Phase: c.rec.GetPhase(), RetryAfter: min(left, time.Second),
			})
			return
		}
		c = o.recordEnd(wall, c, journalv1.ClaimPhase_CLAIM_PHASE_UNKNOWN, nil)
	}
	reply := Reply{Ticket: ticket, Code: result.ClaimUnknown, Phase: c.rec.GetPhase(), Outcome: c.rec.GetOutcome()}
	if c.rec.GetPhase() == journalv1.ClaimPhase_CLAIM_PHASE_DONE {
		reply.Code = result.Code(c.rec.GetOutcome().GetCode())
	}
	o.answerAfter(c.pos, reply)
}

// recordEnd records how a claim ended; the claim is kept for the retention time.
func (o *Owner) recordEnd(wall time.Time, c *claim, phase journalv1.ClaimPhase, outcome *journalv1.ClaimOutcome) *claim {
	rec := proto.CloneOf(c.rec)
	rec.Phase, rec.Outcome = phase, outcome
	rec.ExpiresUnixMs = wall.Add(o.params.Retain).UnixMilli()
	return o.propose(rec)
}

// Complete records the outcome of the request that holds a claim: done, unknown,
// or released, which means that it certainly has not run. Repeating it is safe.
func (o *Owner) Complete(now time.Duration, wall time.Time, ticket uint64, key, requestID string, phase journalv1.ClaimPhase, outcome *journalv1.ClaimOutcome) {
	if o.refuse(now, ticket) {
		return
	}
	c := o.table.claims[key]
	if c == nil || c.rec.GetRequestId() != requestID || c.rec.GetPhase() == journalv1.ClaimPhase_CLAIM_PHASE_DONE {
		o.answerAfter(o.core.Proposed(), Reply{Ticket: ticket, Code: result.OK, Phase: phase})
		return
	}
	if phase == journalv1.ClaimPhase_CLAIM_PHASE_RELEASED {
		rec := proto.CloneOf(c.rec)
		rec.Phase = phase
		o.propose(rec)
	} else {
		o.recordEnd(wall, c, phase, outcome)
	}
	o.answerAfter(o.core.Proposed(), Reply{Ticket: ticket, Code: result.OK, Phase: phase})
}

func (o *Owner) propose(rec *journalv1.ClaimRecord) *claim {
	c := o.table.apply(rec)
	b, err := proto.Marshal(rec)
	if err != nil {
		o.errs = append(o.errs, err)
	}
	c.pos = o.core.Propose(b)
	return c
}

// sweepInterval is the time between two scans for claims to end or remove.
const sweepInterval = 10 * time.Second

func (o *Owner) sweep(wall time.Time) {
	if wall.Before(o.sweepAt) {
		return
	}
	o.sweepAt = wall.Add(sweepInterval)
	for _, key := range o.table.keys() {
		c := o.table.claims[key]
		expired := time.UnixMilli(c.rec.GetExpiresUnixMs()).Before(wall)
		if expired && c.rec.GetPhase() != journalv1.ClaimPhase_CLAIM_PHASE_GRANTED {
			o.propose(&journalv1.ClaimRecord{Key: key, Phase: journalv1.ClaimPhase_CLAIM_PHASE_FORGOTTEN})
		} else if expired {
			o.recordEnd(wall, c, journalv1.ClaimPhase_CLAIM_PHASE_UNKNOWN, nil)
		}
	}
}

// Len returns the number of claims in the table.
func (o *Owner) Len() int { return len(o.table.claims) }

type claim struct {
	rec *journalv1.ClaimRecord
	// pos is the journal position of the claim's last record.
	pos uint64
}

// table holds a shard's claims. It implements shard.Machine.
type table struct {
	claims map[string]*claim
}

// Reset implements shard.Machine.
func (t *table) Reset() { t.claims = map[string]*claim{} }

// Apply implements shard.Machine.
func (t *table) Apply(record []byte) error {
	rec := &journalv1.ClaimRecord{}
	if err := proto.Unmarshal(record, rec); err != nil {
		return errors.Trace(err)
	}
	t.apply(rec)
	return nil
}

func (t *table) apply(rec *journalv1.ClaimRecord) *claim {
	switch rec.GetPhase() {
	case journalv1.ClaimPhase_CLAIM_PHASE_RELEASED, journalv1.ClaimPhase_CLAIM_PHASE_FORGOTTEN:
		delete(t.claims, rec.GetKey())
		return &claim{rec: rec}
	default:
		c := &claim{rec: rec}
		t.claims[rec.GetKey()] = c
		return c
	}
}

func (t *table) keys() []string {
	keys := make([]string, 0, len(t.claims))
	for k := range t.claims {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Snapshot implements shard.Machine.
func (t *table) Snapshot(maxBytes int) ([][]byte, error) {
	var parts [][]byte
	msg, size := &journalv1.ClaimSnapshot{}, 0
	flush := func() error {
		part, err := proto.Marshal(msg)
		parts = append(parts, part)
		msg, size = &journalv1.ClaimSnapshot{}, 0
		return errors.Trace(err)
	}
	for _, key := range t.keys() {
		rec := t.claims[key].rec
		n := proto.Size(rec) + 4
		if size > 0 && size+n > maxBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		msg.Claims = append(msg.Claims, rec)
		size += n
	}
	return parts, flush()
}

// Restore implements shard.Machine.
func (t *table) Restore(part []byte) error {
	msg := &journalv1.ClaimSnapshot{}
	if err := proto.Unmarshal(part, msg); err != nil {
		return errors.Trace(err)
	}
	for _, rec := range msg.GetClaims() {
		t.apply(rec)
	}
	return nil
}
