package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/kv"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// flakyStore is an entry's connection to the store. By a seeded random choice
// it drops calls or their answers.
type flakyStore struct {
	kv.Store
	mu  sync.Mutex
	rng *rand.Rand
	cut bool
}

func (f *flakyStore) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	f.mu.Lock()
	cut, fault := f.cut, f.rng.IntN(10)
	delay := time.Duration(f.rng.IntN(200)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(delay) // so that the operators' calls interleave
	if cut || fault == 0 {
		return kv.TxnResult{}, errors.Trace(kv.ErrUnavailable)
	}
	res, err := f.Store.Do(ctx, txn)
	if fault == 1 {
		return kv.TxnResult{}, errors.Trace(kv.ErrUnavailable)
	}
	return res, err
}

func (f *flakyStore) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// declaredNode is the part of an entry that handles declarations: the watch and
// the fetching.
type declaredNode struct {
	*declared
	store    *flakyStore
	mu       sync.Mutex
	last     uint64
	wentBack bool
}

func newDeclaredNode(store kv.Store, seed uint64) *declaredNode {
	n := &declaredNode{store: &flakyStore{Store: store, rng: rand.New(rand.NewPCG(seed, 3))}}
	n.declared = newDeclared(n.store, metrics.NewSet(), func(r *revision) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.wentBack = n.wentBack || r.number <= n.last
		n.last = max(n.last, r.number)
	})
	return n
}

func (n *declaredNode) hasGoneBack() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wentBack
}

func (n *declaredNode) follow(ctx context.Context) {
	for ctx.Err() == nil {
		pairs, rev, err := n.store.Range(ctx, shard.WatchPrefix)
		if err == nil {
			for _, p := range pairs {
				n.recordHead(p)
			}
			_ = n.store.Watch(ctx, shard.WatchPrefix, rev, func(_ int64, evs []kv.Event) {
				for _, ev := range evs {
					n.recordHead(ev.Pair)
				}
			})
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

type applyOp struct {
	apply bool
	base  uint64
	doc   string
}

type applyOut struct {
	known    bool
	accepted bool
}

// declarationsModel is a register with a revision. An apply succeeds exactly
// if its base is the current revision. Reads at an entry may lag, so instead of
// by the model they are checked to be monotonic per entry and against the
// accepted documents.
var declarationsModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		rev, in, out := state.(uint64), input.(applyOp), output.(applyOut)
		ok := in.base == rev
		if out.known && out.accepted != ok {
			return false, rev
		}
		if ok {
			return true, rev + 1
		}
		return true, rev
	},
}

// TestDeclarationsRace guards against lost or forked changes and against an
// entry that returns to an older revision: operators change the declarations
// concurrently at different entries while calls are cut and answers are lost.
func TestDeclarationsRace(t *testing.T) {
	for seed := range uint64(25) {
		synctest.Test(t, func(t *testing.T) { raceDeclarations(t, seed) })
	}
}

func raceDeclarations(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	store := standin.NewKVStore(time.Now)
	var nodes []*declaredNode
	var running sync.WaitGroup
	for i := range 3 {
		n := newDeclaredNode(store, seed*10+uint64(i))
		nodes = append(nodes, n)
		running.Go(func() { n.follow(ctx) })
		running.Go(func() { n.run(ctx) })
	}
	h := &applyHistory{start: time.Now(), accepted: map[uint64]string{}}
	var operators sync.WaitGroup
	for i, n := range nodes {
		operators.Go(func() { h.operate(ctx, n, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	operators.Wait()
	for _, n := range nodes {
		n.setCutAll(false)
	}
	time.Sleep(10 * time.Second) // the nodes catch up well within this time
	final := h.check(t, seed)
	for i, n := range nodes {
		if n.hasGoneBack() {
			t.Errorf("seed %d: entry %d went back to an older revision", seed, i)
		}
		got := n.active()
		if got.number < final {
			t.Errorf("seed %d: entry %d has revision %d, %d was accepted", seed, i, got.number, final)
		}
		if want, ok := h.accepted[got.number]; ok && string(got.document) != want {
			t.Errorf("seed %d: entry %d has another document in revision %d than was accepted", seed, i, got.number)
		}
	}
	cancel()
	running.Wait()
}

func (n *declaredNode) setCutAll(cut bool) { n.store.setCut(cut) }

type applyHistory struct {
	mu       sync.Mutex
	start    time.Time
	ops      []porcupine.Operation
	accepted map[uint64]string
}

func (h *applyHistory) operate(ctx context.Context, n *declaredNode, client int, rng *rand.Rand) {
	for j := range 6 {
		n.setCutAll(rng.IntN(4) == 0)
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		base := n.active().number
		doc := fmt.Sprintf(`{"groups":[{"name":"g-%d-%d","share":1}]}`, client, j)
		started := time.Since(h.start)
		_, err := n.accept(ctx, base, []byte(doc))
		h.record(client, applyOp{apply: true, base: base, doc: doc}, started, time.Since(h.start), err)
	}
}

func (h *applyHistory) record(client int, op applyOp, started, ended time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := applyOut{known: true, accepted: err == nil}
	var re *result.Error
	if errors.As(err, &re) && re.Code == result.CommitUnknown {
		out.known, ended = false, 1<<40
	}
	if errors.As(err, &re) && re.Code == result.StoreUnavailable {
		return // the answer guarantees that nothing was accepted
	}
	if err == nil {
		h.accepted[op.base+1] = op.doc
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: int64(started), Output: out, Return: int64(ended)})
}

// check checks that the changes form one history, and returns the highest
// revision that was acknowledged.
func (h *applyHistory) check(t *testing.T, seed uint64) uint64 {
	if !porcupine.CheckOperations(declarationsModel, h.ops) {
		t.Errorf("seed %d: the accepted changes form no single history", seed)
	}
	final := uint64(0)
	for rev := range h.accepted {
		final = max(final, rev)
	}
	if final == 0 {
		t.Errorf("seed %d: nothing was ever accepted, so the test checks nothing", seed)
	}
	return final
}

// TestLargeDeclarationsAndSmallChanges guards against a limit of 1 MB on the
// document, and against other entries reading all of it after a change in one
// place.
func TestLargeDeclarationsAndSmallChanges(t *testing.T) {
	decl := &config.Declarations{}
	for i := range 20_000 {
		decl.Groups = append(decl.Groups, config.Group{Name: fmt.Sprintf("group-%05d", i), Share: 1})
	}
	store := standin.NewKVStore(time.Now)
	ctx := context.Background()
	writer := newDeclared(store, metrics.NewSet(), func(*revision) {})
	reader := newDeclared(store, metrics.NewSet(), func(*revision) {})
	apply := func(base uint64) int {
		doc, err := decl.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := writer.accept(ctx, base, doc); err != nil {
			t.Fatal(err)
		}
		pairs, _, err := store.Range(ctx, headKey)
		if err != nil {
			t.Fatal(err)
		}
		reader.recordHead(pairs[0])
		r, err := reader.fetch(ctx, reader.newestHead)
		if err != nil {
			t.Fatal(err)
		}
		reader.activate(r)
		if string(r.document) != string(doc) {
			t.Fatal("the reader has a different document")
		}
		return len(doc)
	}
	size := apply(0)
	first := int(reader.fetched.Get())
	if size < 1<<20 || first != size {
		t.Fatalf("a document of %d bytes, %d read", size, first)
	}
	decl.Groups[777].Share = 2
	apply(1)
	if again := int(reader.fetched.Get()) - first; again > 40_000 || again == 0 {
		t.Errorf("%d bytes read after a change in one place of %d bytes", again, size)
	}
	if pairs, _, _ := store.Range(ctx, documentPrefix); len(pairs) != len(reader.newestHead.Parts) {
		t.Errorf("%d parts in the store, the head has %d", len(pairs), len(reader.newestHead.Parts))
	}
}

// TestRevisionsReachServicesInOrder guards against an older revision that
// reaches the services last when two arrive concurrently: onActivate runs while
// the lock is held that the other revision has to wait for.
func TestRevisionsReachServicesInOrder(t *testing.T) {
	var d *declared
	calls := 0
	d = newDeclared(standin.NewKVStore(time.Now), metrics.NewSet(), func(*revision) {
		calls++
		if d.activateMu.TryLock() {
			t.Error("another revision could overtake this one")
			d.activateMu.Unlock()
		}
	})
	for _, number := range []uint64{2, 1, 3} {
		r, err := newRevision(number, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		d.activate(r)
	}
	if calls != 2 || d.active().number != 3 {
		t.Errorf("%d revisions put into force, the last is %d", calls, d.active().number)
	}
}
