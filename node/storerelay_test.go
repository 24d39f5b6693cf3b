package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
	"leverstile.dev/standin"
)

// silencedStore answers nothing while silent is set. If late is set, writes take effect
// nevertheless.
type silencedStore struct {
	*countedStore
	silent, late atomic.Bool
	// unansweredRenewals is how many of the next renewals get no answer.
	unansweredRenewals atomic.Int32
	// refusing is set while writes are refused at once.
	refusing atomic.Bool
}

// clientTimeout is how long the client of the store waits for an answer.
const clientTimeout = 1500 * time.Millisecond

func (s *silencedStore) wait(ctx context.Context) error {
	select {
	case <-time.After(clientTimeout):
	case <-ctx.Done():
	}
	return errors.Trace(kv.ErrUnavailable)
}

func (s *silencedStore) KeepAlive(ctx context.Context, lease int64) error {
	if s.silent.Load() || s.unansweredRenewals.Add(-1) >= 0 {
		return s.wait(ctx)
	}
	return s.countedStore.KeepAlive(ctx, lease)
}

func (s *silencedStore) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.refusing.Load() {
		return kv.TxnResult{}, errors.Trace(kv.ErrNotDone)
	}
	if !s.silent.Load() {
		return s.countedStore.Do(ctx, txn)
	}
	if s.late.Load() {
		_, _ = s.countedStore.Do(ctx, txn)
	}
	return kv.TxnResult{}, s.wait(ctx)
}

// handlers routes calls to entries by their addresses, without a network. An address without a
// handler refuses connections; answers of lostAnswers are lost.
type handlers map[string]http.Handler

// lostAnswers is the address of an entry whose answers are lost.
const lostAnswers = "unheard"

func (h handlers) RoundTrip(req *http.Request) (*http.Response, error) {
	handler := h[req.URL.Host]
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, req)
	if req.URL.Host == lostAnswers {
		return nil, errors.New("connection reset")
	}
	return rec.Result(), nil
}

// relayCell is an owner with one other entry in its list of relays.
type relayCell struct {
	store *silencedStore
	owner *owner
	stop  context.CancelFunc
}

func newRelayCell(t *testing.T) *relayCell {
	t.Helper()
	shared := &countedStore{KVStore: standin.NewKVStore(time.Now)}
	c := &relayCell{store: &silencedStore{countedStore: shared}}
	other := relayNode("other", shared)
	n := relayNode("owner", c.store)
	n.peers = &http.Client{Transport: handlers{"other": other.PeersHandler(), lostAnswers: other.PeersHandler()}}
	lease, err := shared.Grant(t.Context(), ownerTTL)
	if err != nil {
		t.Fatal(err)
	}
	won, err := shared.Do(t.Context(), kv.Txn{Then: []kv.Op{kv.Put(leadKey, []byte("{}"), lease), kv.Put(chainKey, nil, 0)}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.owner = &owner{
		node: n, ctx: ctx, stop: func(error) { stop() },
		own: &ownership{lease: lease, leadRev: won.Revision, chainRev: won.Revision},
	}
	n.relays.add("other", n.clock())
	return c
}

func relayNode(name string, store Store) *Node {
	n := &Node{opts: Options{Entry: name}, steady: steadyClock(), log: &log.Logger{Level: log.PanicLevel}}
	n.store = &storeHealth{Store: store, clock: n.clock, changed: n.storeChanged}
	n.store.record(nil)
	return n
}

// TestOwnerKeepsItsLeaseThroughRelays guards against a takeover when the store fails to answer the
// owner alone: for seconds nothing would be started, and leases would expire if the next owner is
// slow, since it reads all state and polls every worker. An owner whose state is out of date is
// replaced all the same.
func TestOwnerKeepsItsLeaseThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.owner.running.Go(c.owner.renewLoop)
		time.Sleep(time.Second)
		c.store.silent.Store(true)
		addRelay := func() {
			time.Sleep(100 * time.Millisecond)
			c.owner.node.relays.add("other", c.owner.node.clock())
		}
		for until := time.Now().Add(maxStoreSilence - time.Second); time.Now().Before(until); addRelay() {
			if _, held := c.store.lead(); !held {
				t.Fatal("the lease has expired")
			}
		}
		for until := time.Now().Add(ownerTTL + 3*time.Second); time.Now().Before(until); addRelay() {
		}
		if _, held := c.store.lead(); held {
			t.Error("an owner that the store has not answered for long is not replaced")
		}
		c.stop()
		c.owner.running.Wait()
	})
}

// TestOwnerKeepsItsLeaseOverSilentConnections guards against a takeover after each network break
// that closes no connection: two renewals in a row get no answer, and no other entry can be asked.
func TestOwnerKeepsItsLeaseOverSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.owner.node.relays.drop("other")
		c.owner.running.Go(c.owner.renewLoop)
		time.Sleep(10*time.Second - time.Millisecond) // just before a renewal
		c.store.unansweredRenewals.Store(2)
		for range 50 {
			if _, held := c.store.lead(); !held {
				t.Fatal("the lease has expired")
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.stop()
		c.owner.running.Wait()
	})
}

// TestOwnerWritesThroughRelays: another entry makes the writes that the store does not answer; the
// outcome of a write that may have been made twice, and is refused, is unknown.
func TestOwnerWritesThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.store.silent.Store(true)
		ops := []kv.Op{kv.Put("k", []byte("1"), 0)}
		if !c.owner.write(t.Context(), ops) || c.owner.lastWriteUnknown {
			t.Fatal("not written")
		}
		c.store.late.Store(true)
		if c.owner.write(t.Context(), ops) || !c.owner.lastWriteUnknown {
			t.Error("a write that the store carried out without an answer counts as known")
		}
		c.store.late.Store(false)
		if !c.owner.write(t.Context(), ops) || c.owner.lastWriteUnknown {
			t.Error("the next write is not made")
		}
		c.stop()
		time.Sleep(clientTimeout)
	})
}

// TestChoiceOfRelay: recently added entries are asked, the newest first, and the next one if an
// entry does not help; at once if the store counts as down or refuses the call.
func TestChoiceOfRelay(t *testing.T) {
	down := func(c *relayCell) {
		c.store.silent.Store(true)
		for range downFailures {
			c.owner.node.store.record(kv.ErrUnavailable)
		}
		time.Sleep(2 * downOutage)
	}
	for name, x := range map[string]struct {
		before  func(c *relayCell)
		written bool
		most    time.Duration // for the call; the stand-in takes some milliseconds itself
	}{
		"the store is silent":         {func(c *relayCell) { c.store.silent.Store(true) }, true, relayDelay + 50*time.Millisecond},
		"the store counts as down":    {down, true, 50 * time.Millisecond},
		"the store refuses the owner": {func(c *relayCell) { c.store.refusing.Store(true) }, true, 50 * time.Millisecond},
		"the newest entry is gone":    {func(c *relayCell) { down(c); c.owner.node.relays.add("gone", c.owner.node.clock()) }, true, 50 * time.Millisecond},
		"all entries are gone": {func(c *relayCell) {
			down(c)
			c.owner.node.relays.drop("other")
			c.owner.node.relays.add("gone", c.owner.node.clock())
		}, false, clientTimeout},
		"no entry was heard of lately": {func(c *relayCell) {
			c.store.silent.Store(true)
			time.Sleep(time.Second)
			c.owner.node.relays.drop("other")
			c.owner.node.relays.add("other", c.owner.node.clock()-maxRelayAge)
		}, false, clientTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRelayCell(t)
				x.before(c)
				began := time.Now()
				written := c.owner.write(t.Context(), []kv.Op{kv.Put("k", []byte("1"), 0)})
				if took := time.Since(began); written != x.written || took > x.most {
					t.Errorf("written %v after %s, want %v after %s at most", written, took, x.written, x.most)
				}
				c.stop()
				time.Sleep(clientTimeout)
			})
		})
	}
}

// TestRefusedWritesThatAnotherEntryMayHaveMade: the store refuses the owner, and the relay does not
// answer: the write may have been carried out, so its outcome is unknown.
func TestRefusedWritesThatAnotherEntryMayHaveMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.owner.node.relays.drop("other")
		c.owner.node.relays.add(lostAnswers, c.owner.node.clock())
		c.store.refusing.Store(true)
		_, mayBeRelayed, err := c.owner.doTxn(t.Context(), kv.Txn{Then: []kv.Op{kv.Put("k", []byte("1"), 0)}})
		if !mayBeRelayed || errors.Is(err, kv.ErrNotDone) || !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("a write that was carried out: mayBeRelayed %v, %v", mayBeRelayed, err)
		}
		c.stop()
	})
}

// TestOwnerRecordsForCustomersThroughRelays guards against jobs that are refused while the store
// answers neither their entry nor the owner, although other entries reach it: the owner has another
// entry record them, and processes them itself.
func TestOwnerRecordsForCustomersThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		n, o := c.owner.node, c.owner
		o.core = dispatch.New(dispatch.Params{MaxTaskLease: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour}, 1, nil)
		o.core.Renewed(n.clock())
		o.core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "s"}}})
		o.wake, o.flushNow = make(chan struct{}, 1), make(chan struct{}, 1)
		n.current.Store(o)
		c.store.silent.Store(true)
		for range downFailures {
			n.store.record(kv.ErrUnavailable)
		}
		time.Sleep(2 * downOutage)
		if !n.store.Down() {
			t.Fatal("the store counts as up")
		}
		p := &peerServer{node: n}
		const id, other = "00000000000000a1", "00000000000000a2"
		submit := func(id string) jobsv1.Recorded {
			record, err := json.Marshal(&job.Spec{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, CPUMilli: 100}}, AcceptedMS: o.now().UnixMS})
			if err != nil {
				t.Fatal(err)
			}
			resp, err := p.SubmitJob(t.Context(), connect.NewRequest(&jobsv1.SubmitJobRequest{Id: id, Record: record}))
			if err != nil {
				t.Fatal(err)
			}
			return resp.Msg.GetRecorded()
		}
		cancel := func(id string) jobsv1.Recorded {
			resp, err := p.CancelJob(t.Context(), connect.NewRequest(&jobsv1.CancelJobRequest{Id: id}))
			if err != nil {
				t.Fatal(err)
			}
			return resp.Msg.GetRecorded()
		}
		stored := func(key string) bool {
			pair, err := c.store.countedStore.Get(t.Context(), key)
			if err != nil {
				t.Fatal(err)
			}
			return pair != nil
		}
		if got := submit(id); got != jobsv1.Recorded_RECORDED_YES || !stored(jobPrefix+id) {
			t.Errorf("a job was recorded: %v, stored %v", got, stored(jobPrefix+id))
		}
		first, err := c.store.countedStore.Get(t.Context(), jobPrefix+id)
		if err != nil {
			t.Fatal(err)
		}
		got := submit(id) // its customer may submit it again
		if again, err := c.store.countedStore.Get(t.Context(), jobPrefix+id); err != nil || got != jobsv1.Recorded_RECORDED_YES || again.ModRevision != first.ModRevision {
			t.Errorf("a job that is there was recorded: %v, written anew at %d, %v", got, again.ModRevision, err)
		}
		if _, known := o.stateOf(id); !known {
			t.Error("the owner does not know the job")
		}
		if got := cancel(id); got != jobsv1.Recorded_RECORDED_YES || !stored(cancelPrefix+id) {
			t.Errorf("a cancellation was recorded: %v, stored %v", got, stored(cancelPrefix+id))
		}
		if got := cancel(other); got != jobsv1.Recorded_RECORDED_NO || stored(cancelPrefix+other) {
			t.Errorf("a cancellation of an unknown job was recorded: %v, stored %v", got, stored(cancelPrefix+other))
		}
		n.relays.add(lostAnswers, n.clock())
		n.relays.drop("other")
		if got := submit(other); got != jobsv1.Recorded_RECORDED_UNKNOWN {
			t.Errorf("a job that another entry recorded without an answer: %v", got)
		}
		if got := cancel(id); got != jobsv1.Recorded_RECORDED_NO {
			t.Errorf("a cancellation that nobody can record: %v", got)
		}
		const third = "00000000000000a3"
		n.relays.add("other", n.clock())
		time.Sleep(maxStoreSilence)
		n.relays.add("other", n.clock())
		if got := submit(third); got != jobsv1.Recorded_RECORDED_NO || stored(jobPrefix+third) {
			t.Errorf("recorded though the store has not answered the owner for long: %v, stored %v", got, stored(jobPrefix+third))
		}
		n.relays.drop("other")
		began := time.Now()
		refused, took := submit(third), time.Since(began)
		if refused != jobsv1.Recorded_RECORDED_NO || took > 0 || stored(jobPrefix+third) {
			t.Errorf("without another entry a job was recorded: %v after %s, stored %v", refused, took, stored(jobPrefix+third))
		}
		c.stop()
		time.Sleep(clientTimeout)
	})
}

// TestRelayRefusesWhenTheStoreIsDown: an entry that the store does not answer either refuses
// at once.
func TestRelayRefusesWhenTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.store.silent.Store(true)
		c.store.SetFaults(standin.KVFaults{Down: true})
		if c.owner.write(t.Context(), []kv.Op{kv.Put("k", []byte("1"), 0)}) {
			t.Error("written to a store that is down")
		}
		if c.owner.ctx.Err() != nil {
			t.Error("the ownership has ended")
		}
		c.stop()
		time.Sleep(clientTimeout)
	})
}
