package node

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"leverstile.dev/kv"
)

// lateStore carries out writes under their conditions. While loses is set, it loses them and
// keeps them in late, to be carried out later.
type lateStore struct {
	Store
	revision int64
	pairs    map[string]kv.Pair
	loses    bool
	late     []kv.Txn
}

func (s *lateStore) Do(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.loses {
		s.late = append(s.late, txn)
		return kv.TxnResult{}, errors.New("no answer")
	}
	return s.carryOut(txn), nil
}

func (s *lateStore) carryOut(txn kv.Txn) kv.TxnResult {
	holds := true
	var read []kv.Pair
	for _, c := range txn.If {
		p, ok := s.pairs[c.Key]
		holds = holds && (c.Missing && !ok || !c.Missing && ok && p.ModRevision == c.ModRevision)
		if ok {
			read = append(read, p)
		}
	}
	if !holds {
		return kv.TxnResult{Reads: [][]kv.Pair{read}, Revision: s.revision}
	}
	s.revision++
	for _, op := range txn.Then {
		s.pairs[op.Key] = kv.Pair{Key: op.Key, Value: op.Value, ModRevision: s.revision}
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}
}

// writingOwner is an owner of term 1 that can write.
func writingOwner(t *testing.T) (*owner, *lateStore) {
	t.Helper()
	s := &lateStore{pairs: map[string]kv.Pair{}}
	n := &Node{steady: steadyClock(), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
	n.store = &storeHealth{Store: s, clock: n.clock, changed: n.storeChanged}
	won := s.carryOut(kv.Txn{Then: []kv.Op{kv.Put(leadKey, []byte("1"), 0), kv.Put(chainKey, []byte("1"), 0)}})
	ctx, stop := context.WithCancelCause(context.Background())
	t.Cleanup(func() { stop(nil) })
	own := &ownership{lead: leadRecord{Term: 1}, leadRev: won.Revision, chainRev: won.Revision}
	return &owner{node: n, own: own, ctx: ctx, stop: stop}, s
}

func (o *owner) put(value string) bool {
	return o.write(context.Background(), []kv.Op{kv.Put("k", []byte(value), 0)})
}

// TestLateWriteUndoesNothing: a write whose answer was lost, and that is carried out after a
// later one, must not restore tasks that are done.
func TestLateWriteUndoesNothing(t *testing.T) {
	o, s := writingOwner(t)
	s.loses = true
	if o.put("old") {
		t.Fatal("a write without an answer counts as done")
	}
	s.loses = false
	if !o.put("new") {
		t.Fatal("the next write is refused")
	}
	s.carryOut(s.late[0])
	if got := string(s.pairs["k"].Value); got != "new" {
		t.Errorf("the store holds %q, want the later write", got)
	}
}

// TestReplacedOwnerWritesNothing: once another owner has taken the lead, the write is refused and
// the ownership ends.
func TestReplacedOwnerWritesNothing(t *testing.T) {
	o, s := writingOwner(t)
	s.carryOut(kv.Txn{Then: []kv.Op{kv.Put(leadKey, []byte("2"), 0)}})
	if o.put("old") || s.pairs["k"].Value != nil {
		t.Error("the replaced owner's write was accepted")
	}
	if o.ctx.Err() == nil {
		t.Error("the ownership did not end")
	}
}

// TestWriteCarriedOutWithoutAnAnswer: the owner continues after such a write, with the
// revisions that the store returns.
func TestWriteCarriedOutWithoutAnAnswer(t *testing.T) {
	o, s := writingOwner(t)
	s.loses = true
	o.put("first")
	s.loses = false
	s.carryOut(s.late[0])
	if o.put("second") {
		t.Error("a write is accepted under conditions that no longer hold")
	}
	if !o.put("second") || o.ctx.Err() != nil {
		t.Error("the owner can't write any more")
	}
}
