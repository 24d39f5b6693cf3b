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

// silencedStore answers nothing while it is silent. If late is set, writes take effect all
// the same.
type silencedStore struct {
	*countedStore
	silent, late atomic.Bool
	// muted is how many more renewals get no answer.
	muted atomic.Int32
}

// patience is how long the client of the store waits for an answer.
const patience = 1500 * time.Millisecond

func (s *silencedStore) wait(ctx context.Context) error {
	select {
	case <-time.After(patience):
	case <-ctx.Done():
	}
	return errors.Trace(kv.ErrUnavailable)
}

func (s *silencedStore) KeepAlive(ctx context.Context, lease int64) error {
	if s.silent.Load() || s.muted.Add(-1) >= 0 {
		return s.wait(ctx)
	}
	return s.countedStore.KeepAlive(ctx, lease)
}

func (s *silencedStore) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if !s.silent.Load() {
		return s.countedStore.Do(ctx, txn)
	}
	if s.late.Load() {
		_, _ = s.countedStore.Do(ctx, txn)
	}
	return kv.TxnResult{}, s.wait(ctx)
}

// handlers makes calls to entries by their addresses, without a network.
type handlers map[string]http.Handler

func (h handlers) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	h[req.URL.Host].ServeHTTP(rec, req)
	return rec.Result(), nil
}

// relayCell is an owner that another entry has told of a job.
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
	n.peers = &http.Client{Transport: handlers{"other": other.PeersHandler()}}
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
	n.relays.heard("other", n.clock())
	return c
}

func relayNode(name string, store Store) *Node {
	n := &Node{opts: Options{Entry: name}, steady: steadyClock(), log: &log.Logger{Level: log.PanicLevel}}
	n.store = &storeHealth{Store: store, clock: n.clock, changed: n.storeChanged}
	n.store.note(nil)
	return n
}

// TestOwnerKeepsItsLeaseThroughOthers: an owner that the store alone does not answer stays
// the owner, for as long as what it knows is new enough.
//
// Users would see some seconds in which nothing is started, and leases that lapse if the next
// owner is slow: it reads all state and asks every worker.
func TestOwnerKeepsItsLeaseThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.owner.running.Go(c.owner.renewLoop)
		time.Sleep(time.Second)
		c.store.silent.Store(true)
		for until := time.Now().Add(relayFor - time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, held := c.store.lead(); !held {
				t.Fatal("the lease has lapsed")
			}
		}
		time.Sleep(ownerTTL + 3*time.Second)
		if _, held := c.store.lead(); held {
			t.Error("an owner that has read nothing for long is not replaced")
		}
		c.stop()
		c.owner.running.Wait()
	})
}

// TestOwnerKeepsItsLeaseOverSilentConnections: the owner stays the owner while two renewals in
// a row meet a connection that has fallen silent, and no other entry can be asked.
//
// Users would see a takeover after each break of the network that closes no connection.
func TestOwnerKeepsItsLeaseOverSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.owner.node.relays.drop("other")
		c.owner.running.Go(c.owner.renewLoop)
		time.Sleep(10*time.Second - time.Millisecond) // just before a renewal
		c.store.muted.Store(2)
		for range 50 {
			if _, held := c.store.lead(); !held {
				t.Fatal("the lease has lapsed")
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.stop()
		c.owner.running.Wait()
	})
}

// TestOwnerWritesThroughOthers: what the store does not take from the owner, another entry
// writes; a write that may have been carried out twice, and is refused, counts as unsure.
func TestOwnerWritesThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		c.store.silent.Store(true)
		ops := []kv.Op{kv.Put("k", []byte("1"), 0)}
		if !c.owner.write(t.Context(), ops) || c.owner.unsure {
			t.Fatal("not written")
		}
		c.store.late.Store(true)
		if c.owner.write(t.Context(), ops) || !c.owner.unsure {
			t.Error("a write that the store took, without an answer, counts as sure")
		}
		c.store.late.Store(false)
		if !c.owner.write(t.Context(), ops) || c.owner.unsure {
			t.Error("the next write is not made")
		}
		c.stop()
		time.Sleep(patience)
	})
}

// TestOwnerRecordsForCustomersThroughOthers: what entries that the store does not answer hand to the
// owner is recorded while the store does not answer the owner either, and the owner knows of it.
//
// Users would see jobs refused for as long as the outage of a part of the entries lasts, although
// other entries reach the store.
func TestOwnerRecordsForCustomersThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t)
		n, o := c.owner.node, c.owner
		o.core = dispatch.New(dispatch.Params{MaxTaskLease: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour}, 1, nil)
		o.core.Renewed(n.clock())
		o.core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "s"}}})
		o.wake, o.flushNow = make(chan struct{}, 1), make(chan struct{}, 1)
		n.current.Store(o)
		c.store.silent.Store(true)
		for range downAfter {
			n.store.note(kv.ErrUnavailable)
		}
		time.Sleep(2 * downQuiet)
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
		for range 2 { // its customer may ask again
			if got := submit(id); got != jobsv1.Recorded_RECORDED_YES || !stored(jobPrefix+id) {
				t.Errorf("a job was recorded: %v, stored %v", got, stored(jobPrefix+id))
			}
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
		n.relays.drop("other")
		began := time.Now()
		got, took := submit(other), time.Since(began)
		if got != jobsv1.Recorded_RECORDED_NO || took > 0 || stored(jobPrefix+other) {
			t.Errorf("without another entry a job was recorded: %v after %s, stored %v", got, took, stored(jobPrefix+other))
		}
		c.stop()
		time.Sleep(patience)
	})
}

// TestNobodyHelpsWhereTheStoreIsDown: an entry that the store does not answer either refuses
// at once.
func TestNobodyHelpsWhereTheStoreIsDown(t *testing.T) {
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
		time.Sleep(patience)
	})
}
