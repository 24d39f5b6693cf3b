package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"leverstile.dev/kv"
	"leverstile.dev/standin"
)

// countedStore is a store in memory that counts writes and the bytes of reads. Each call
// takes countedLatency.
type countedStore struct {
	*standin.KVStore
	writes, bytes atomic.Int64
}

const countedLatency = 4 * time.Millisecond

func (s *countedStore) Range(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	time.Sleep(countedLatency)
	pairs, rev, err := s.KVStore.Range(ctx, prefix)
	for _, p := range pairs {
		s.bytes.Add(int64(len(p.Key) + len(p.Value)))
	}
	return pairs, rev, err
}

func (s *countedStore) Get(ctx context.Context, key string) (*kv.Pair, error) {
	pairs, _, err := s.Range(ctx, key)
	for i := range pairs {
		if pairs[i].Key == key {
			return &pairs[i], err
		}
	}
	return nil, err
}

func (s *countedStore) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.writes.Add(1)
	time.Sleep(countedLatency)
	for _, c := range txn.If { // a refused write returns the keys of its conditions
		txn.Else = append(txn.Else, kv.Get(c.Key))
	}
	res, err := s.KVStore.Do(ctx, txn)
	if err == nil && !res.Succeeded {
		res.Reads = [][]kv.Pair{slices.Concat(res.Reads...)}
	}
	return res, err
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	s.writes.Add(1)
	time.Sleep(countedLatency)
	return s.KVStore.Grant(ctx, ttl)
}

func (s *countedStore) Revoke(ctx context.Context, id int64) error {
	s.writes.Add(1)
	time.Sleep(countedLatency)
	return s.KVStore.Revoke(ctx, id)
}

func (s *countedStore) WatchLongPoll(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	return s.Watch(ctx, prefix, after, handle)
}

// lead returns the current pair of the owner's key.
func (s *countedStore) lead() (kv.Pair, bool) {
	pairs, _, _ := s.KVStore.Range(context.Background(), leadKey)
	if len(pairs) == 0 {
		return kv.Pair{}, false
	}
	return pairs[0], true
}

// noCalls are Workers that no call is made to.
type noCalls struct{ Workers }

func (noCalls) Abort() {}

// startElection makes an entry take part in the election until ctx ends. It owns the cell
// without loading anything, since it has no configuration.
func startElection(ctx context.Context, running *sync.WaitGroup, store Store, name string) {
	n := &Node{
		opts: Options{Entry: name, PeerAddress: name, FreezeSlack: time.Hour}, steady: steadyClock(), workers: noCalls{},
		log: &log.Logger{Level: log.PanicLevel}, drained: make(chan struct{}),
	}
	n.store = &storeHealth{Store: store, clock: n.clock, changed: func(bool, error) {}}
	running.Go(func() { _ = n.RunElection(ctx) })
}

// Bounds of the load that a change of the owner puts on the store, for any number of entries.
const (
	// changeWrites is the most writes: of eight entries that stand for election, each with a
	// lease grant, a write of the key, and a lease revocation.
	changeWrites = 8 * 3
	// changeBytes is the most bytes that are read for each entry.
	changeBytes = 1000
)

// TestOwnerChangeCostDoesNotGrowWithEntries: the next owner is found with as many writes
// at 6 entries as at 6,000, and no entry but the next owner reads records that grow with
// the number of workers.
//
// It guards against a cell without an owner for as long as all entries stand for election
// repeatedly: at 587 entries the answers filled the store's link, and no call for a
// lease was answered in time.
func TestOwnerChangeCostDoesNotGrowWithEntries(t *testing.T) {
	for _, entries := range []int{6, 60, 600, 6000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { changeOwners(t, entries) })
		})
	}
}

func changeOwners(t *testing.T, entries int) {
	const changes, settle = 4, 2 * time.Second
	store := &countedStore{KVStore: standin.NewKVStore(time.Now)}
	_, err := store.KVStore.Do(context.Background(), kv.Txn{Then: []kv.Op{kv.Put(rosterKey, []byte(strings.Repeat("x", 600_000)), 0)}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range entries {
		startElection(ctx, &running, store, fmt.Sprintf("entry-%d", i))
	}
	time.Sleep(settle)
	store.writes.Store(0)
	store.bytes.Store(0)
	for i := range changes {
		before, ok := store.lead()
		if !ok {
			t.Fatalf("no owner before change %d", i)
		}
		store.ExpireLease(before.Lease)
		time.Sleep(settle)
		if after, ok := store.lead(); !ok || after.ModRevision == before.ModRevision {
			t.Fatalf("no next owner after change %d", i)
		}
	}
	if n := store.writes.Load(); n > changes*changeWrites {
		t.Errorf("%d writes for each change of the owner, want at most %d", n/changes, changeWrites)
	}
	if n := store.bytes.Load() / int64(changes*entries); n > changeBytes {
		t.Errorf("%d bytes read for each entry and change, want at most %d", n, changeBytes)
	}
	stop()
	running.Wait()
}

// electionDuration is how long a won election takes until others learn of it: three calls to
// the store of 7 ms each.
const electionDuration = 21 * time.Millisecond

// TestCampaignDelays: at least one entry stands within all slots, and few stand within the
// time in which the first one wins.
func TestCampaignDelays(t *testing.T) {
	for _, entries := range []int{1, 6, 60, 600, 1200} {
		early := 0
		const campaigns = 50
		for revision := range int64(campaigns) {
			delays := make([]time.Duration, entries)
			first := time.Hour
			for i := range delays {
				delays[i] = campaignDelay(Options{Entry: fmt.Sprintf("entry-%d", i)}, revision)
				first = min(first, delays[i])
			}
			if first <= 0 || first > campaignSlots*campaignSlot {
				t.Fatalf("%d entries: the first stands after %v", entries, first)
			}
			for _, d := range delays {
				if d <= first+electionDuration {
					early++
				}
			}
		}
		if mean := float64(early) / campaigns; mean > 8 {
			t.Errorf("%d entries: %.1f stand before the first one has won", entries, mean)
		}
	}
}

// watchKinds counts watches by their kind.
type watchKinds struct {
	*countedStore
	eager, patient atomic.Int64
}

func (s *watchKinds) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	s.eager.Add(1)
	return s.countedStore.Watch(ctx, prefix, after, handle)
}

func (s *watchKinds) WatchLongPoll(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	s.patient.Add(1)
	return s.countedStore.Watch(ctx, prefix, after, handle)
}

// TestWeakEntriesWatchTheOwnerPatiently: entries that rarely stand for election make fewer
// calls; others detect a silent watch soon.
func TestWeakEntriesWatchTheOwnerPatiently(t *testing.T) {
	for share, patient := range map[float64]bool{0: false, 0.192: true, 0.8: false} {
		synctest.Test(t, func(t *testing.T) {
			store := &watchKinds{countedStore: &countedStore{KVStore: standin.NewKVStore(time.Now)}}
			lead := kv.Put(leadKey, []byte(`{"entry":"other"}`), 0)
			if _, err := store.Do(t.Context(), kv.Txn{Then: []kv.Op{lead}}); err != nil {
				t.Fatal(err)
			}
			n := relayNode("entry", store)
			n.opts.ProcessorShare = share
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = n.RunElection(ctx) })
			time.Sleep(time.Second)
			if p, e := store.patient.Load(), store.eager.Load(); (p > 0) != patient || (e > 0) == patient {
				t.Errorf("share %v: %d patient watches, %d others", share, p, e)
			}
			stop()
			running.Wait()
		})
	}
}
