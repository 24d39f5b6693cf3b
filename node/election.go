package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Timeouts and intervals of the ownership lease and of elections.
const (
	// ownerTTL is the time to live of the owner's lease at the store. Renewals are half
	// a second apart, so four may be refused.
	ownerTTL = 2500 * time.Millisecond
	// renewInterval is the pause between renewals, renewRetryInterval that after one that
	// failed.
	renewInterval      = 500 * time.Millisecond
	renewRetryInterval = 100 * time.Millisecond
	// renewTimeout bounds a renewal, so that two may be lost on connections that have
	// fallen silent and the third is still in time.
	renewTimeout = 700 * time.Millisecond
	// ownerHorizon is the time after its last renewal from which an owner that does not
	// reach the store gives no more orders. It outlasts the users' outages of the store
	// (9 s), so that running tasks keep their leases. The term, which workers check,
	// separates it from another owner.
	ownerHorizon = 12 * time.Second
	// electionRetryMin and electionRetryMax bound the back-off of failed elections.
	electionRetryMin = 50 * time.Millisecond
	electionRetryMax = 800 * time.Millisecond
)

// leadRecord is the value of leadKey: it names the owner of the cell.
type leadRecord struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	// Session distinguishes two processes that ran one after the other as the same entry.
	Session string `json:"session"`
}

// election is this entry's part in the election, which keeps one owner for the cell.
type election struct {
	node *Node
}

// leadState is the last known state of the owner's key.
type leadState struct {
	lead *leadRecord // nil if nobody owns the cell
	// modRevision is the key's, 0 if the key is missing; revision is the store's,
	// from which the key is watched.
	modRevision, revision int64
	// vacantSince is the steady time at which this entry saw that nobody owns the cell.
	vacantSince time.Duration
}

// run takes part in the election until ctx ends.
func (e *election) run(ctx context.Context) error {
	wait := backoff{minDelay: electionRetryMin, maxDelay: electionRetryMax}
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

// round waits until this entry may take over, and then owns the cell until the ownership
// ends.
func (e *election) round(ctx context.Context) error {
	s, err := e.awaitEligible(ctx)
	if err != nil {
		return err
	}
	began := e.node.clock()
	won, err := e.acquire(ctx, s)
	if err != nil || won == nil {
		return err
	}
	won.acquireTook = e.node.clock() - began
	if s.lead == nil {
		won.vacantFor = began - s.vacantSince
	}
	e.node.setOwner(&won.lead)
	err = e.node.runOwner(ctx, won)
	e.node.setOwner(nil)
	return err
}

// awaitEligible watches who owns the cell until this entry may take over: nobody has owned
// it for the entry's delay, or an earlier process of the entry does. A VM runs one
// process, so the earlier one has ended.
func (e *election) awaitEligible(ctx context.Context) (leadState, error) {
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
			s.vacantSince = e.node.clock()
			var changed bool
			s, changed, err = e.awaitChange(ctx, s, campaignDelay(e.node.opts, s.revision))
			if err == nil && !changed {
				return s, nil
			}
		}
	}
	return s, err
}

// readLead reads only the owner's key: all entries do so when they start, and the
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
	// An unreadable term is an error: a new owner could give orders under an old term.
	term, err = strconv.ParseUint(string(p.Value), 10, 64)
	return term, p.ModRevision, errors.Annotate(err, termKey)
}

// readPredecessor reads the previous owner's record, which outlasts its lease. Owners of earlier
// versions leave none.
func (e *election) readPredecessor(ctx context.Context) (*leadRecord, error) {
	p, err := e.node.store.Get(ctx, chainKey)
	if err != nil || p == nil {
		return nil, errors.Trace(err)
	}
	lead := &leadRecord{}
	if json.Unmarshal(p.Value, lead) != nil {
		return nil, nil
	}
	return lead, nil
}

// decodeLead reads who owns the cell. A damaged record under a lease belongs to some
// owner and expires with it; one without a lease belongs to nobody.
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

// awaitChange watches the owner's key until it changes, for no longer than limit unless
// that is 0. It returns what the key holds then.
func (e *election) awaitChange(ctx context.Context, s leadState, limit time.Duration) (after leadState, changed bool, err error) {
	wctx, cancel := withOptionalTimeout(ctx, limit)
	defer cancel()
	err = e.watchLead()(wctx, leadKey, s.revision, func(at int64, events []kv.Event) {
		s.revision = at
		if e.applyLeadEvents(&s, events) {
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

// watchLead returns how the owner's key is watched. A weak VM, which takes over only if
// there is no other, may learn of a change some seconds late when the store leaves its
// watch unanswered.
func (e *election) watchLead() watchFunc {
	if handicap(e.node.opts.ProcessorShare) > 0 {
		return e.node.store.WatchLongPoll
	}
	return e.node.store.Watch
}

// withOptionalTimeout is context.WithTimeout, without a timeout if limit is 0.
func withOptionalTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if limit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

// applyLeadEvents applies changes of the owner's key, and reports whether there were any.
func (e *election) applyLeadEvents(s *leadState, events []kv.Event) bool {
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

// ownership is a term that this entry won, with its lease at the store.
type ownership struct {
	lead  leadRecord
	lease int64
	// record is lead as it is stored.
	record []byte
	// leadRev and chainRev are the revisions at which leadKey and chainKey were last written;
	// the owner's writes require that the keys are unchanged.
	leadRev  int64
	chainRev int64
	// lastRenewal is when the last answered renewal was sent.
	lastRenewal time.Duration
	// endedTerm is the term of the previous owner if that was an earlier process of this
	// entry, which has ended; 0 otherwise.
	endedTerm uint64
	// sealsFrom is the first term of the unbroken sequence of owners that keep to seals.
	sealsFrom uint64
	// predecessor is the previous owner, nil if it is not known.
	predecessor *leadRecord
	// vacantFor is how long this entry saw the cell without an owner before it stood for election,
	// acquireTook the duration of the calls by which it was elected.
	vacantFor, acquireTook time.Duration
}

// acquire tries to become the owner. It returns nil without an error if
// another entry won.
func (e *election) acquire(ctx context.Context, s leadState) (*ownership, error) {
	var (
		term    uint64
		termRev int64
		seals   sealsRecord
		before  *leadRecord
		group   errgroup.Group
	)
	group.Go(func() (err error) {
		term, termRev, err = e.readTerm(ctx)
		return err
	})
	group.Go(func() (err error) {
		seals, err = e.readSeals(ctx)
		return err
	})
	group.Go(func() (err error) {
		before, err = e.readPredecessor(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	sent := e.node.clock()
	lease, err := e.node.store.Grant(ctx, max(ownerTTL, e.node.opts.MinLeaseTTL))
	if err != nil {
		return nil, errors.Trace(err)
	}
	won := &ownership{
		lead:        leadRecord{Entry: e.node.opts.Entry, Address: e.node.opts.PeerAddress, Term: term + 1, Session: e.node.session},
		lease:       lease,
		lastRenewal: sent,
	}
	if s.lead != nil && s.lead.Entry == e.node.opts.Entry {
		won.endedTerm = s.lead.Term
	}
	if before != nil && before.Term+dispatch.TokensPerTerm == won.lead.Term {
		won.predecessor = before
		if before.Entry == e.node.opts.Entry {
			won.endedTerm = before.Term
		}
	}
	value, err := json.Marshal(&won.lead)
	if err != nil {
		return nil, errors.Trace(err)
	}
	seals = seals.next(won.lead.Term)
	won.sealsFrom = seals.From
	sealsValue, err := json.Marshal(seals)
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
			kv.Put(sealsKey, sealsValue, 0),
		},
	})
	if err != nil {
		// The next round finds out whether the write took effect; an unused lease
		// expires.
		return nil, errors.Trace(err)
	}
	if !res.Succeeded {
		e.node.revokeLease(lease)
		return nil, nil
	}
	won.leadRev, won.chainRev, won.record = res.Revision, res.Revision, value
	return won, nil
}
