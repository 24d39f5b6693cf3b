// Package standin implements small stand-ins of the platform for tests, the demo
// and trials: key-value service, workers, endpoints and VM list, each with
// faults that can be switched on.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
)

// KVFaults are the faults that a KVStore injects; the zero value injects none.
type KVFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers makes the next n writes take effect and then return an error.
	LoseAnswers int `json:"lose_answers"`
}

// KVCalls counts calls by kind; a watch counts once, however long it waits.
type KVCalls struct {
	Range     int `json:"range"`
	Txn       int `json:"txn"`
	Grant     int `json:"grant"`
	KeepAlive int `json:"keepalive"`
	Revoke    int `json:"revoke"`
	Watch     int `json:"watch"`
	// Bytes is the sum of the sizes of all values written.
	Bytes int `json:"bytes"`
}

// Writes is the number of calls that change the store.
func (c KVCalls) Writes() int { return c.Txn + c.Grant + c.KeepAlive + c.Revoke }

// Total is the number of calls.
func (c KVCalls) Total() int { return c.Writes() + c.Range + c.Watch }

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type loggedChange struct {
	rev    int64
	events []kv.Event
}

// maxLoggedChanges is how many changes are kept for watches that start at a past
// revision.
const maxLoggedChanges = 10_000

// KVStore is an in-memory key-value service with compare-and-swap, leases and
// watches. It implements kv.Store itself and is served over HTTP by KVHandler.
type KVStore struct {
	now func() time.Time

	mu        sync.Mutex
	rev       int64
	data      map[string]kv.Pair
	leases    map[int64]*lease
	nextLease int64
	log       []loggedChange
	changed   chan struct{}
	faults    KVFaults
	calls     KVCalls
}

// NewKVStore returns an empty store that reads the time from now.
func NewKVStore(now func() time.Time) *KVStore {
	return &KVStore{
		now:     now,
		data:    map[string]kv.Pair{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *KVStore) SetFaults(f KVFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Faults returns the injected faults.
func (s *KVStore) Faults() KVFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts of the calls so far.
func (s *KVStore) Calls() KVCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ExpireLease ends a lease at once, as if its holder had not renewed it in time.
func (s *KVStore) ExpireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
}

func (s *KVStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beforeCall counts a call and injects the faults that precede it. The caller
// holds no lock.
func (s *KVStore) beforeCall(ctx context.Context, count *int) error {
	s.mu.Lock()
	*count++
	f := s.faults
	s.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return errors.WithType(ctx.Err(), kv.ErrUnavailable)
		}
	}
	if f.Down {
		return errors.Annotate(kv.ErrUnavailable, "down by fault")
	}
	return nil
}

// afterWrite injects the fault of a lost answer. The caller holds the lock.
func (s *KVStore) afterWrite() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return errors.Annotate(kv.ErrUnavailable, "answer lost by fault")
}

// expireLeases drops the leases whose time has passed. The caller holds the lock.
func (s *KVStore) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
}

// dropLease deletes a lease and its keys. The caller holds the lock.
func (s *KVStore) dropLease(id int64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for k, p := range s.data {
		if p.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	var evs []kv.Event
	for _, k := range keys {
		delete(s.data, k)
		evs = append(evs, deleted(k, s.rev))
	}
	s.publish(evs)
}

func deleted(key string, rev int64) kv.Event {
	return kv.Event{Deleted: true, Pair: kv.Pair{Key: key, ModRevision: rev}}
}

func (s *KVStore) publish(evs []kv.Event) {
	s.log = append(s.log, loggedChange{rev: s.rev, events: evs})
	if len(s.log) > maxLoggedChanges {
		s.log = append([]loggedChange(nil), s.log[len(s.log)-maxLoggedChanges/2:]...)
	}
	s.notify()
}

// Range implements kv.Store.
func (s *KVStore) Range(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if err := s.beforeCall(ctx, &s.calls.Range); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.read(kv.GetPrefix(prefix)), s.rev, nil
}

func (s *KVStore) read(op kv.Op) []kv.Pair {
	if !op.Prefix {
		if p, ok := s.data[op.Key]; ok {
			return []kv.Pair{p}
		}
		return nil
	}
	var out []kv.Pair
	for k, p := range s.data {
		if strings.HasPrefix(k, op.Key) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Do implements kv.Store.
func (s *KVStore) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := s.beforeCall(ctx, &s.calls.Txn); err != nil {
		return kv.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	res, err := s.apply(txn)
	if err != nil {
		return kv.TxnResult{}, err
	}
	return res, s.afterWrite()
}

func (s *KVStore) apply(txn kv.Txn) (kv.TxnResult, error) {
	ops, ok := txn.Then, s.conditionsHold(txn.If)
	if !ok {
		ops = txn.Else
	}
	for _, op := range ops {
		if op.Kind == kv.OpPut && op.Lease != 0 && s.leases[op.Lease] == nil {
			return kv.TxnResult{}, errors.Trace(kv.ErrLeaseNotFound)
		}
	}
	res := kv.TxnResult{Succeeded: ok}
	next := s.rev + 1
	var evs []kv.Event
	for _, op := range ops {
		switch op.Kind {
		case kv.OpGet:
			res.Reads = append(res.Reads, s.read(op))
		case kv.OpPut:
			evs = append(evs, s.put(op, next))
		case kv.OpDelete:
			for _, p := range s.read(op) {
				delete(s.data, p.Key)
				evs = append(evs, deleted(p.Key, next))
			}
		}
	}
	if len(evs) > 0 {
		s.rev = next
		s.publish(evs)
	}
	res.Revision = s.rev
	return res, nil
}

func (s *KVStore) put(op kv.Op, rev int64) kv.Event {
	p := kv.Pair{Key: op.Key, Value: op.Value, Lease: op.Lease, CreateRevision: rev, ModRevision: rev}
	if old, ok := s.data[op.Key]; ok {
		p.CreateRevision = old.CreateRevision
	}
	s.data[op.Key] = p
	s.calls.Bytes += len(op.Value)
	return kv.Event{Pair: p}
}

func (s *KVStore) conditionsHold(conds []kv.Compare) bool {
	for _, c := range conds {
		p, ok := s.data[c.Key]
		if c.Missing && ok {
			return false
		}
		if !c.Missing && p.ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// Grant implements kv.Store.
func (s *KVStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.beforeCall(ctx, &s.calls.Grant); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.nextLease, s.afterWrite()
}

// KeepAlive implements kv.Store.
func (s *KVStore) KeepAlive(ctx context.Context, id int64) error {
	if err := s.beforeCall(ctx, &s.calls.KeepAlive); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return errors.Trace(kv.ErrLeaseNotFound)
	}
	l.expires = s.now().Add(l.ttl)
	return s.afterWrite()
}

// Revoke implements kv.Store.
func (s *KVStore) Revoke(ctx context.Context, id int64) error {
	if err := s.beforeCall(ctx, &s.calls.Revoke); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return errors.Trace(kv.ErrLeaseNotFound)
	}
	s.dropLease(id)
	return s.afterWrite()
}

// expiryPoll is how often a waiting watch checks for expired leases.
const expiryPoll = 100 * time.Millisecond

// Watch implements kv.Store.
func (s *KVStore) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	if err := s.beforeCall(ctx, &s.calls.Watch); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		s.expireLeases()
		if s.faults.Down {
			s.mu.Unlock()
			return errors.Annotate(kv.ErrUnavailable, "down by fault")
		}
		if len(s.log) > 0 && after+1 < s.log[0].rev && s.log[0].rev > 1 {
			s.mu.Unlock()
			return errors.Trace(kv.ErrCompacted)
		}
		evs := s.eventsSince(prefix, after)
		after = s.rev
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(evs) > 0 {
			handle(rev, evs)
		}
		select {
		case <-changed:
		case <-time.After(expiryPoll):
		case <-ctx.Done():
			return errors.WithType(ctx.Err(), kv.ErrUnavailable)
		}
	}
}

func (s *KVStore) eventsSince(prefix string, after int64) []kv.Event {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev > after })
	var out []kv.Event
	for _, l := range s.log[i:] {
		for _, e := range l.events {
			if strings.HasPrefix(e.Pair.Key, prefix) {
				out = append(out, e)
			}
		}
	}
	return out
}
