package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/xid"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Figures of the ownership lease.
const (
	// ownerTTL is the lease of the owner at the store. Renewals are half a
	// second apart, so four may be refused.
	ownerTTL = 2500 * time.Millisecond
	// ownerRenew is the pause between renewals, ownerRenewRetry that after one that failed.
	ownerRenew      = 500 * time.Millisecond
	ownerRenewRetry = 100 * time.Millisecond
	// renewTry bounds a renewal, so that two may be lost on connections that have fallen
	// silent and the third is still in time.
	renewTry = 700 * time.Millisecond
	// ownerHorizon after its last renewal, an owner that does not reach the
	// store gives no more orders. It outlasts the users' outages of the store
	// (9 s), so that running tasks keep their leases. Another owner is kept
	// apart by the term, which workers check.
	ownerHorizon = 12 * time.Second
	// electionRetry bounds the back-off of failed elections.
	electionRetryMin = 50 * time.Millisecond
	electionRetryMax = 800 * time.Millisecond
)

// leadRecord is the value of leadKey.
type leadRecord struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	// Session tells two lives of an entry apart.
	Session string `json:"session"`
}

// election keeps one owner for the cell.
type election struct {
	node    *Node
	session string
}

// leadState is what is known of the owner's key.
type leadState struct {
	lead *leadRecord // nil if nobody owns the cell
	// modRevision is that of the key, 0 if it isn't there; revision is the store's,
	// from which the key is watched.
	modRevision, revision int64
}

// run takes part in the election until ctx ends.
func (e *election) run(ctx context.Context) error {
	e.session = xid.New().String()
	wait := backoff{least: electionRetryMin, most: electionRetryMax}
	for ctx.Err() == nil {
		err := e.round(ctx)
		if err == nil {
			wait.reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		e.node.log.Warn().Str("event", "election_failed").Err(err).Msg("")
		sleep(ctx, wait.next())
	}
	return nil
}

// round takes over once it is this entry's turn, and owns the cell until the ownership
// ends.
func (e *election) round(ctx context.Context) error {
	s, err := e.awaitTurn(ctx)
	if err != nil {
		return err
	}
	won, err := e.acquire(ctx, s)
	if err != nil || won == nil {
		return err
	}
	e.node.setOwner(&won.lead)
	err = e.node.runOwner(ctx, won)
	e.node.setOwner(nil)
	return err
}

// awaitTurn follows who owns the cell until this entry may take over: nobody has owned
// it for the entry's delay, or an earlier life of the entry does. A VM runs one process,
// so that life is over.
func (e *election) awaitTurn(ctx context.Context) (leadState, error) {
	s, err := e.readLead(ctx)
	for err == nil {
		others := s.lead != nil && s.lead.Entry != e.node.opts.Entry
		switch {
		case others || e.node.draining.Load():
			e.node.setOwner(s.lead)
			s, _, err = e.awaitChange(ctx, s, 0)
		case s.lead != nil:
			return s, nil
		default:
			var changed bool
			s, changed, err = e.awaitChange(ctx, s, campaignDelay(e.node.opts, s.revision))
			if err == nil && !changed {
				return s, nil
			}
		}
	}
	return s, err
}

// readLead reads the owner's key alone: all entries do so when they start, and the
// records beside it grow with the number of workers.
func (e *election) readLead(ctx context.Context) (leadState, error) {
	pairs, revision, err := e.node.store.Range(ctx, leadKey)
	if err != nil {
		return leadState{}, errors.Trace(err)
	}
	s := leadState{revision: revision}
	for _, p := range pairs {
		if p.Key == leadKey {
			s.modRevision, s.lead = p.ModRevision, e.node.decodeLead(p)
		}
	}
	return s, nil
}

// readTerm reads the highest term so far, and the revision of its key.
func (e *election) readTerm(ctx context.Context) (term uint64, modRevision int64, err error) {
	p, err := e.node.store.Get(ctx, termKey)
	if err != nil || p == nil {
		return 0, 0, errors.Trace(err)
	}
	// Without it a new owner could give orders under an old term.
	term, err = strconv.ParseUint(string(p.Value), 10, 64)
	return term, p.ModRevision, errors.Annotate(err, termKey)
}

// decodeLead reads who owns the cell. A damaged record under a lease is of some
// owner that will go with it; one without a lease is nobody's.
func (n *Node) decodeLead(p kv.Pair) *leadRecord {
	lead := &leadRecord{}
	err := json.Unmarshal(p.Value, lead)
	if err == nil {
		return lead
	}
	n.logUnreadable("lead_unreadable", p.Key, p.ModRevision, err)
	if p.Lease == 0 {
		return nil
	}
	return &leadRecord{}
}

// awaitChange follows the owner's key until it changes, for most at the longest where
// that is not 0. It returns what the key holds then.
func (e *election) awaitChange(ctx context.Context, s leadState, most time.Duration) (after leadState, changed bool, err error) {
	wctx, cancel := withMost(ctx, most)
	defer cancel()
	err = e.watchLead()(wctx, leadKey, s.revision, func(at int64, events []kv.Event) {
		s.revision = at
		if e.takeLead(&s, events) {
			changed = true
			cancel()
		}
	})
	switch {
	case changed || wctx.Err() != nil && ctx.Err() == nil:
		return s, changed, nil
	case errors.Is(err, kv.ErrCompacted):
		s, err = e.readLead(ctx)
		return s, true, err
	default:
		return s, false, errors.Trace(err)
	}
}

// watchLead returns how the owner's key is watched: a weak VM, which takes over if there is
// no other, need not hear of a change at once where the store leaves its watch unanswered.
func (e *election) watchLead() watchFunc {
	if handicap(e.node.opts.ProcessorShare) > 0 {
		return e.node.store.WatchPatiently
	}
	return e.node.store.Watch
}

// withMost is context.WithTimeout, without a timeout if most is 0.
func withMost(ctx context.Context, most time.Duration) (context.Context, context.CancelFunc) {
	if most == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, most)
}

// takeLead takes in changes of the owner's key, and reports whether there were any.
func (e *election) takeLead(s *leadState, events []kv.Event) bool {
	changed := false
	for _, ev := range events {
		if ev.Pair.Key != leadKey {
			continue
		}
		changed = true
		if ev.Deleted {
			s.lead, s.modRevision = nil, 0
		} else {
			s.lead, s.modRevision = e.node.decodeLead(ev.Pair), ev.Pair.ModRevision
		}
	}
	return changed
}

// ownership is a term that was won.
type ownership struct {
	lead     leadRecord
	lease    int64
	leadRev  int64
	chainRev int64
	// renewed is when the last renewal that was answered was sent.
	renewed time.Duration
}

// acquire tries to become the owner. It returns nil without an error if
// another entry was faster.
func (e *election) acquire(ctx context.Context, s leadState) (*ownership, error) {
	term, termRev, err := e.readTerm(ctx)
	if err != nil {
		return nil, err
	}
	sent := e.node.clock()
	lease, err := e.node.store.Grant(ctx, max(ownerTTL, e.node.opts.MinLeaseTTL))
	if err != nil {
		return nil, errors.Trace(err)
	}
	won := &ownership{
		lead:    leadRecord{Entry: e.node.opts.Entry, Address: e.node.opts.PeerAddress, Term: term + 1, Session: e.session},
		lease:   lease,
		renewed: sent,
	}
	value, err := json.Marshal(&won.lead)
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := e.node.store.Do(ctx, kv.Txn{
		If: []kv.Compare{
			{Key: leadKey, Missing: s.modRevision == 0, ModRevision: s.modRevision},
			{Key: termKey, Missing: termRev == 0, ModRevision: termRev},
		},
		Then: []kv.Op{
			kv.Put(leadKey, value, lease),
			kv.Put(termKey, strconv.AppendUint(nil, won.lead.Term+dispatch.TokensPerTerm-1, 10), 0),
			kv.Put(chainKey, value, 0),
		},
	})
	if err != nil {
		// The next round sees whether it took effect; a lease that is not
		// used lapses.
		return nil, errors.Trace(err)
	}
	if !res.Succeeded {
		e.node.endLease(lease)
		return nil, nil
	}
	won.leadRev, won.chainRev = res.Revision, res.Revision
	return won, nil
}
