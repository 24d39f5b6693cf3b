package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/kv"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// Fixed seeds give each run the same verdict; -rapid.seed sets others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// The simulation drives two owners of a claim shard against the stand-in store,
// one message at a time. Callers repeat requests with the same key through either
// owner; a request that is granted runs. The oracle counts runs by key, and
// porcupine checks that the history of claims is linearizable.

const (
	claimTTL    = 3 * time.Second
	claimMargin = 200 * time.Millisecond
	claimKeys   = 4
)

// mutation is a fault put into the owners that the checks must find.
type mutation struct {
	noCommit, noTermCheck bool
}

type node struct {
	id          string
	owner       *Owner
	crashed     bool
	incarnation int
	lease       int64
	store       []shard.Op
	storeCut    bool
}

// call is a claim or completion that waits for its reply.
type call struct {
	op      operation
	started int64
	client  int
}

// operation is the input of one call in porcupine's history.
type operation struct {
	key, request string
	kind         opKind
}

type opKind int

const (
	opClaim opKind = iota
	opDone
	opRelease
)

type sim struct {
	pick    func(n int) int
	mutated mutation
	now     time.Duration
	kv      *standin.KVStore
	nodes   []*node
	delayed []func()
	calls   map[uint64]call
	ticket  uint64
	request int
	// runsByKey counts runs; a released request has not run.
	runsByKey map[string]int
	granted   map[string]string // request to key
	history   []porcupine.Operation
	time      int64
}

func newSim(pick func(n int) int, m mutation) *sim {
	s := &sim{pick: pick, mutated: m, now: time.Hour, calls: map[uint64]call{}, runsByKey: map[string]int{}, granted: map[string]string{}}
	base := time.Unix(0, 0)
	s.kv = standin.NewKVStore(func() time.Time { return base.Add(s.now) })
	for i := range 2 {
		n := &node{id: fmt.Sprint("n", i)}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

func (s *sim) boot(n *node) {
	n.incarnation++
	n.crashed, n.storeCut, n.lease, n.store = false, false, 0, nil
	p := DefaultParams("claim-0", n.id, time.Hour)
	p.NoCommit = s.mutated.noCommit
	n.owner = NewOwner(p, shard.Params{
		Name: "claim-0", Self: n.id, CommitEvery: 10 * time.Millisecond, RetryEvery: 50 * time.Millisecond,
		MaxValueBytes: 200, SnapshotBytes: 900, NoTermCheck: s.mutated.noTermCheck,
	})
	n.owner.Core().SetWanted(true)
}

func (s *sim) wall() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) collect(n *node) error {
	ops, replies, errs := n.owner.Take()
	n.store = append(n.store, ops...)
	for _, r := range replies {
		if c, ok := s.calls[r.Ticket]; ok {
			delete(s.calls, r.Ticket)
			s.handleReply(c, r)
		}
	}
	if len(errs) > 0 {
		return errors.Annotate(errs[0], "stored state")
	}
	return nil
}

// handleReply processes a reply as the entry does: a granted request runs at
// once, or is refused by its endpoint and released.
func (s *sim) handleReply(c call, r Reply) {
	known := r.Code == result.OK || c.op.kind == opClaim && r.Phase != journalv1.ClaimPhase_CLAIM_PHASE_UNSPECIFIED
	if !known {
		s.record(c, false, false)
		return
	}
	granted := c.op.kind == opClaim && r.Code == result.OK && r.Phase == journalv1.ClaimPhase_CLAIM_PHASE_GRANTED
	s.record(c, true, granted)
	if !granted {
		return
	}
	if s.granted[c.op.request] != "" {
		return
	}
	s.granted[c.op.request] = c.op.key
	kind := opDone
	if s.pick(4) == 0 {
		kind = opRelease
	} else {
		s.runsByKey[c.op.key]++
	}
	if s.pick(5) > 0 { // otherwise the holder crashes before it reports the outcome
		s.call(s.nodes[s.pick(2)], operation{c.op.key, c.op.request, kind})
	}
}

// neverReturned is the return time of an operation without a known outcome.
const neverReturned = 1 << 40

type output struct{ known, granted bool }

// record adds an operation to the history. One without a known outcome may
// take effect at any later time.
func (s *sim) record(c call, known, granted bool) {
	s.time++
	end := s.time
	if !known {
		end = neverReturned
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: c.client, Input: c.op, Call: c.started, Output: output{known, granted}, Return: end,
	})
}

func (s *sim) call(n *node, op operation) {
	if n.crashed {
		return
	}
	s.ticket++
	s.time++
	s.calls[s.ticket] = call{op: op, started: s.time, client: int(s.ticket)}
	if op.kind == opClaim {
		n.owner.Claim(s.now, s.wall(), s.ticket, Request{Key: op.key, Holder: n.id, RequestID: op.request, Timeout: 2 * time.Second})
		return
	}
	phase := journalv1.ClaimPhase_CLAIM_PHASE_DONE
	if op.kind == opRelease {
		phase = journalv1.ClaimPhase_CLAIM_PHASE_RELEASED
	}
	n.owner.Complete(s.now, s.wall(), s.ticket, op.key, op.request, phase, &journalv1.ClaimOutcome{Status: 200})
}

func (s *sim) deliver(n *node, fate int) {
	if len(n.store) == 0 {
		return
	}
	op := n.store[0]
	n.store = n.store[1:]
	incarnation := n.incarnation
	answer := func(a shard.Answer) {
		if n.incarnation == incarnation && !n.crashed {
			n.owner.StoreAnswer(s.now, s.wall(), a)
		}
	}
	do := func() shard.Answer {
		a := shard.Answer{ID: op.ID}
		if op.Txn != nil {
			a.Txn, a.Err = s.kv.Do(context.Background(), *op.Txn)
		} else {
			a.Pairs, _, a.Err = s.kv.Range(context.Background(), op.Prefix)
		}
		return a
	}
	lost := shard.Answer{ID: op.ID, Err: errors.Trace(kv.ErrUnavailable)}
	if n.storeCut {
		fate = 2
	}
	switch fate {
	case 0:
		answer(do())
	case 1:
		do()
		answer(lost)
	case 2:
		answer(lost)
	case 3:
		s.delayed = append(s.delayed, func() { do() })
		answer(lost)
	default:
		s.delayed = append(s.delayed, func() { do() })
		answer(do())
	}
}

func (s *sim) keepAlive(n *node) {
	if n.storeCut {
		return
	}
	if n.lease != 0 && errors.Is(s.kv.KeepAlive(context.Background(), n.lease), kv.ErrLeaseNotFound) {
		n.lease = 0
	}
	if n.lease == 0 {
		id, err := s.kv.Grant(context.Background(), claimTTL)
		if err != nil {
			return
		}
		n.lease = id
	}
	n.owner.Core().SetLease(n.lease, s.now+claimTTL-claimMargin)
}

func (s *sim) run(d time.Duration, paused int) error {
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		for i, n := range s.nodes {
			if n.crashed || i == paused {
				continue
			}
			s.keepAlive(n)
			n.owner.Tick(s.now, s.wall())
			for range 3 {
				if err := s.collect(n); err != nil {
					return err
				}
				for range len(n.store) {
					s.deliver(n, 0)
				}
			}
		}
	}
	return nil
}

func (s *sim) step() error {
	n := s.nodes[s.pick(2)]
	switch a := s.pick(24); {
	case a < 8:
		s.request++
		s.call(n, operation{fmt.Sprint("k", s.pick(claimKeys)), fmt.Sprint("r", s.request), opClaim})
	case a < 14:
		fate := 0
		if s.pick(3) == 0 {
			fate = s.pick(5)
		}
		s.deliver(n, fate)
	case a < 16:
		s.now += time.Duration(s.pick(400)) * time.Millisecond
	case a < 17 && len(s.delayed) > 0:
		s.delayed[0]()
		s.delayed = s.delayed[1:]
	case a < 18:
		n.storeCut = !n.storeCut
	case a < 19:
		s.crash(n)
	case a < 20:
		n.owner.Core().SetWanted(s.pick(2) == 0)
	case a < 21:
		return s.staleCommitEpisode()
	default:
		return s.run(time.Duration(50<<s.pick(7))*time.Millisecond, s.pick(4))
	}
	if n.crashed {
		return nil
	}
	n.owner.Tick(s.now, s.wall())
	return s.collect(n)
}

// staleCommitEpisode lets an owner's commit arrive after another node has taken
// over, and then crashes that node too.
func (s *sim) staleCommitEpisode() error {
	first := s.pick(2)
	n, other := s.nodes[first], s.nodes[1-first]
	claim := func(n *node) {
		s.request++
		s.call(n, operation{fmt.Sprint("k", s.pick(claimKeys)), fmt.Sprint("r", s.request), opClaim})
	}
	claim(n)
	if !n.crashed {
		n.owner.Tick(s.now, s.wall())
		if err := s.collect(n); err != nil {
			return err
		}
		s.deliver(n, 3)
	}
	err := s.run(2*claimTTL, first)
	for _, fn := range s.delayed {
		fn()
	}
	s.delayed = nil
	claim(other)
	if err == nil {
		err = s.run(time.Second, first)
	}
	if !other.crashed {
		s.crash(other)
	}
	if err == nil {
		err = s.run(2*claimTTL, -1)
	}
	claim(n)
	if err == nil {
		err = s.run(time.Second, -1)
	}
	s.crash(other)
	return err
}

func (s *sim) crash(n *node) {
	if n.crashed {
		s.boot(n)
		return
	}
	n.crashed = true
	for _, op := range n.store {
		if op.Txn != nil {
			s.delayed = append(s.delayed, func() { _, _ = s.kv.Do(context.Background(), *op.Txn) })
		}
	}
	n.store = nil
}

// check verifies that no key ran twice and that the history is linearizable.
func (s *sim) check() error {
	for key, n := range s.runsByKey {
		if n > 1 {
			return errors.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, c := range s.calls {
		s.record(c, false, false)
	}
	s.calls = map[uint64]call{}
	if res := porcupine.CheckOperationsTimeout(claimModel, s.history, 20*time.Second); res == porcupine.Illegal {
		return errors.New("the history of claims is not linearizable")
	}
	return nil
}

// claimState is a key's state in the model: the request that holds it, and
// whether that request's claim has ended.
type claimState struct {
	holder string
	ended  bool
}

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, out any) (bool, any) {
		st, in, o := state.(claimState), input.(operation), out.(output)
		return stepClaim(st, in, o)
	},
}

func stepClaim(st claimState, in operation, o output) (bool, any) {
	switch in.kind {
	case opClaim:
		free := st.holder == ""
		own := st.holder == in.request && !st.ended
		if o.known && o.granted != (free || own) {
			return false, st
		}
		if free {
			return true, claimState{holder: in.request}
		}
		return true, st
	case opRelease:
		if st.holder == in.request {
			return true, claimState{}
		}
		return true, st
	default:
		if st.holder == in.request {
			return true, claimState{holder: in.request, ended: true}
		}
		return true, st
	}
}

const claimSteps = 90

func runSeed(seed uint64, m mutation) error {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := newSim(rng.IntN, m)
	for range claimSteps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return s.check()
}

// TestClaimRunsOnce guards against a second run of a key's request and against
// claims that are not linearizable, with messages lost, delayed or cut off and
// nodes that crash or lose ownership, chosen by rapid.
func TestClaimRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, mutation{})
		for range claimSteps {
			if err := s.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestClaimSeeds checks the same as TestClaimRunsOnce with fixed seeds.
func TestClaimSeeds(t *testing.T) {
	runs := uint64(400)
	if testing.Short() {
		runs = 60
	}
	for seed := range runs {
		if err := runSeed(seed, mutation{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestClaimMutationsAreFound guards against checks that detect nothing: each
// mutation of the owners must make a seed fail.
func TestClaimMutationsAreFound(t *testing.T) {
	for name, m := range map[string]mutation{
		"granted before the commit":     {noCommit: true},
		"journal commits whatever term": {noTermCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				if err := runSeed(seed, m); err != nil {
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}
