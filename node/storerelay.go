package node

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/kv"
)

// The store may fail to answer the owner while it serves all other entries. A takeover reads
// all state and polls every worker, so the owner instead has other entries renew its lease and
// carry out its writes until the store answers it again.

// Limits of calls to the store through other entries.
const (
	// relayDelay is how long the store may leave a call unanswered before the owner asks
	// another entry to make it: a slow store takes 360 ms.
	relayDelay = 450 * time.Millisecond
	// relayAttempts is how many entries are asked to make one call.
	relayAttempts = 2
	// maxStoreSilence is the longest time without an answer of the store to the owner itself
	// for which other entries make its calls. Beyond it, what the owner reads itself, such as
	// the list of workers, is out of date.
	maxStoreSilence = 8 * time.Second
	// maxRelays is how many entries are remembered, maxRelayAge for how long: only entries
	// that the store answered recently are useful.
	maxRelays   = 8
	maxRelayAge = 10 * time.Second
)

// relayList holds the entries that the store has recently answered, the newest last. Its
// lock guards entries.
type relayList struct {
	mu      sync.Mutex
	entries []relayEntry
}

type relayEntry struct {
	address    string
	answeredAt time.Duration
}

// add records that the store has answered an entry.
func (l *relayList) add(address string, now time.Duration) {
	if address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e relayEntry) bool { return e.address == address })
	l.entries = append(l.entries, relayEntry{address, now})
	l.entries = l.entries[max(len(l.entries)-maxRelays, 0):]
}

// drop removes an entry that did not answer, or that the store does not answer either.
func (l *relayList) drop(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e relayEntry) bool { return e.address == address })
}

// newest returns the entry that was added last, and whether it is recent enough.
func (l *relayList) newest(now time.Duration) (address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return "", false
	}
	e := l.entries[len(l.entries)-1]
	return e.address, now-e.answeredAt < maxRelayAge
}

// recent returns the entries that were added recently, without those named: first those added
// since the given time, as the start of an outage, and otherwise in random order.
func (l *relayList) recent(now, since time.Duration, without ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newer, older []string
	for _, e := range l.entries {
		switch {
		case now-e.answeredAt >= maxRelayAge || slices.Contains(without, e.address):
		case e.answeredAt >= since:
			newer = append(newer, e.address)
		default:
			older = append(older, e.address)
		}
	}
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	return append(newer, older...)
}

// share returns some recent entries for another entry, each with the time in ms since it was
// added.
func (l *relayList) share(now time.Duration, to string) []string {
	addresses := l.recent(now, now, to)
	addresses = addresses[:min(len(addresses), sharedRelays)]
	l.mu.Lock()
	defer l.mu.Unlock()
	var shared []string
	for _, e := range l.entries {
		if slices.Contains(addresses, e.address) {
			shared = append(shared, e.address+" "+strconv.FormatInt((now-e.answeredAt).Milliseconds(), 10))
		}
	}
	return shared
}

// learn adds the entries that the owner shared, unless they were added later.
func (l *relayList) learn(shared []string, now time.Duration) {
	for _, s := range shared {
		address, age, _ := strings.Cut(s, " ")
		ms, err := strconv.ParseInt(age, 10, 64)
		if err != nil || address == "" {
			continue
		}
		l.insert(relayEntry{address, now - time.Duration(ms)*time.Millisecond})
	}
}

// insert adds an entry at its place by time, unless it was added later.
func (l *relayList) insert(e relayEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.entries, func(old relayEntry) bool { return old.address == e.address && old.answeredAt >= e.answeredAt }) {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(old relayEntry) bool { return old.address == e.address })
	l.entries = append(l.entries, e)
	slices.SortStableFunc(l.entries, func(a, b relayEntry) int { return cmp.Compare(a.answeredAt, b.answeredAt) })
	l.entries = l.entries[max(len(l.entries)-maxRelays, 0):]
}

// storeCall is a call to the store that another entry can make too: direct makes it from
// this entry, relay asks another entry to make it.
type storeCall[T any] struct {
	direct func(context.Context) (T, error)
	relay  func(context.Context, jobsv1connect.RelayClient) (T, error)
}

type storeAnswer[T any] struct {
	value T
	err   error
}

// conclusive reports whether an error is the store's own decision on a call.
func conclusive(err error) bool { return err == nil || errors.Is(err, kv.ErrLeaseNotFound) }

// execute makes a call, and has other entries make it too if the store does not answer.
// More than one of them may take effect, so the call must be a renewal, or a write that takes
// effect once at most; mayBeRelayed is set if another entry may have carried it out as well.
func (c storeCall[T]) execute(ctx context.Context, o *owner) (value T, mayBeRelayed bool, err error) {
	answers := make(chan storeAnswer[T], 1)
	go func() {
		value, err := c.direct(ctx)
		answers <- storeAnswer[T]{value, err}
	}()
	wait := relayDelay
	if o.node.store.Down() {
		wait = 0
	}
	select {
	case a := <-answers:
		if conclusive(a.err) || ctx.Err() != nil {
			return a.value, false, a.err
		}
		answers <- a // the result if no entry helps
	case <-time.After(wait):
	case <-ctx.Done():
	}
	for range relayAttempts {
		address, ok := o.node.relays.newest(o.node.clock())
		if !ok || o.node.store.sinceAnswer() > maxStoreSilence || ctx.Err() != nil {
			break
		}
		value, err := c.callThrough(ctx, o, address)
		if conclusive(err) {
			o.logRelayed(address)
			return value, true, err
		}
		mayBeRelayed = mayBeRelayed || !errors.Is(err, kv.ErrNotDone)
		o.node.relays.drop(address)
	}
	a := <-answers
	if mayBeRelayed && errors.Is(a.err, kv.ErrNotDone) {
		a.err = errors.Annotate(kv.ErrUnavailable, a.err.Error())
	}
	return a.value, mayBeRelayed, a.err
}

// callThrough has another entry make the call.
func (c storeCall[T]) callThrough(ctx context.Context, o *owner, address string) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return c.relay(ctx, jobsv1connect.NewRelayClient(o.node.peers, "http://"+address))
}

// logRelayed logs, once per outage, that other entries make the owner's calls.
func (o *owner) logRelayed(address string) {
	if o.node.relayed.CompareAndSwap(false, true) {
		o.node.log.Warn().Str("event", "store_relayed").Str("by", address).Dur("silent", o.node.store.sinceAnswer()).Msg("")
	}
}

// renewLease renews the owner's lease.
func (o *owner) renewLease() error {
	_, _, err := storeCall[struct{}]{
		direct: func(ctx context.Context) (struct{}, error) {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			return struct{}{}, o.node.store.KeepAlive(ctx, o.own.lease)
		},
		relay: func(ctx context.Context, c jobsv1connect.RelayClient) (struct{}, error) {
			resp, err := c.RenewLease(ctx, connect.NewRequest(&jobsv1.RenewLeaseRequest{Lease: o.own.lease}))
			if err != nil {
				return struct{}{}, errors.Annotate(kv.ErrUnavailable, err.Error())
			}
			return struct{}{}, outcomeError(resp.Msg.GetOutcome())
		},
	}.execute(o.ctx, o)
	return err
}

// doTxn carries out a write of the owner, whose conditions keep it from taking effect twice.
// If mayBeRelayed is set, a write that is refused may have taken effect.
func (o *owner) doTxn(ctx context.Context, txn kv.Txn) (res kv.TxnResult, mayBeRelayed bool, err error) {
	return storeCall[kv.TxnResult]{
		direct: func(ctx context.Context) (kv.TxnResult, error) { return o.node.store.Do(ctx, txn) },
		relay: func(ctx context.Context, c jobsv1connect.RelayClient) (res kv.TxnResult, err error) {
			value, err := json.Marshal(txn)
			if err != nil {
				return res, errors.Trace(err)
			}
			resp, err := c.Write(ctx, connect.NewRequest(&jobsv1.WriteRequest{Txn: value}))
			if err != nil {
				return res, errors.Annotate(kv.ErrUnavailable, err.Error())
			}
			if err := outcomeError(resp.Msg.GetOutcome()); err != nil {
				return res, err
			}
			err = json.Unmarshal(resp.Msg.GetResult(), &res)
			return res, errors.Trace(err)
		},
	}.execute(ctx, o)
}

// recordViaRelay has another entry record a customer's request while the store does not answer
// the owner, and processes it at once: the owner's watch reports nothing then. A record without
// a value is a cancellation.
func (o *owner) recordViaRelay(ctx context.Context, key, id string, value []byte) Recorded {
	if _, ok := o.node.relays.newest(o.node.clock()); !ok || o.node.store.sinceAnswer() > maxStoreSilence {
		return RecordedNo
	}
	ctx, cancel := context.WithTimeout(ctx, writeBudget)
	defer cancel()
	_, _, err := o.doTxn(ctx, kv.Txn{
		If:   []kv.Compare{{Key: key, Missing: true}},
		Then: []kv.Op{kv.Put(key, recordValue(value), 0)},
	})
	switch {
	case err == nil: // a record that exists was written for the same customer
		o.processHint(id, value)
		return RecordedYes
	case errors.Is(err, kv.ErrNotDone):
		return RecordedNo
	default:
		return RecordedUnknown
	}
}

// recordValue returns the value to store for a record; the value of a cancellation has no meaning.
func recordValue(value []byte) []byte {
	if len(value) == 0 {
		return []byte("1")
	}
	return value
}

// cancelViaRelay is recordViaRelay for a cancellation. It refuses a job that the owner does
// not know: only the store could show whether it exists.
func (o *owner) cancelViaRelay(ctx context.Context, id string) Recorded {
	if _, known := o.stateOf(id); !known {
		return RecordedNo
	}
	return o.recordViaRelay(ctx, cancelPrefix+id, id, nil)
}

// outcomeOf returns the wire value for the result of a call to the store.
func outcomeOf(err error) jobsv1.StoreOutcome {
	switch {
	case err == nil:
		return jobsv1.StoreOutcome_STORE_OUTCOME_DONE
	case errors.Is(err, kv.ErrNotDone):
		return jobsv1.StoreOutcome_STORE_OUTCOME_NOT_DONE
	case errors.Is(err, kv.ErrLeaseNotFound):
		return jobsv1.StoreOutcome_STORE_OUTCOME_NO_LEASE
	default:
		return jobsv1.StoreOutcome_STORE_OUTCOME_UNKNOWN
	}
}

// outcomeError is the inverse of outcomeOf.
func outcomeError(outcome jobsv1.StoreOutcome) error {
	switch outcome {
	case jobsv1.StoreOutcome_STORE_OUTCOME_DONE:
		return nil
	case jobsv1.StoreOutcome_STORE_OUTCOME_NOT_DONE:
		return errors.Trace(kv.ErrNotDone)
	case jobsv1.StoreOutcome_STORE_OUTCOME_NO_LEASE:
		return errors.Trace(kv.ErrLeaseNotFound)
	default:
		return errors.Trace(kv.ErrUnavailable)
	}
}

// relayServer serves the calls of an owner that the store does not answer.
type relayServer struct{ node *Node }

// RenewLease implements jobsv1connect.RelayHandler.
func (s *relayServer) RenewLease(ctx context.Context, req *connect.Request[jobsv1.RenewLeaseRequest]) (*connect.Response[jobsv1.RenewLeaseResponse], error) {
	err := s.unlessDown(func() error { return s.node.store.KeepAlive(ctx, req.Msg.GetLease()) })
	return connect.NewResponse(&jobsv1.RenewLeaseResponse{Outcome: outcomeOf(err)}), nil
}

// Write implements jobsv1connect.RelayHandler.
func (s *relayServer) Write(ctx context.Context, req *connect.Request[jobsv1.WriteRequest]) (*connect.Response[jobsv1.WriteResponse], error) {
	var txn kv.Txn
	if err := json.Unmarshal(req.Msg.GetTxn(), &txn); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	var res kv.TxnResult
	err := s.unlessDown(func() (err error) {
		res, err = s.node.store.Do(ctx, txn)
		return err
	})
	if err != nil {
		return connect.NewResponse(&jobsv1.WriteResponse{Outcome: outcomeOf(err)}), nil
	}
	result, err := json.Marshal(res)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&jobsv1.WriteResponse{Outcome: outcomeOf(nil), Result: result}), nil
}

// unlessDown makes a call, unless the store does not answer this entry either.
func (s *relayServer) unlessDown(call func() error) error {
	if s.node.store.Down() {
		return errors.Trace(kv.ErrNotDone)
	}
	return call()
}
