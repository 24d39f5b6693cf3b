package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
	"leverstile.dev/kv"
	"leverstile.dev/scheduler"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// The simulation drives several Owners of one cell against the stand-in store and
// workers: each message is delivered, lost or delayed, one at a time. It checks the
// invariants against the workers' own run records.

// draw picks a number in [0, n).
type draw func(label string, n int) int

const (
	simTaskLease = 4 * time.Second
	simGrace     = 3 * time.Second
	simStoreTTL  = 3 * time.Second
	simMargin    = 200 * time.Millisecond
)

var errLost = errors.ConstError("no answer")

// mutation removes one safeguard.
type mutation struct {
	noSelfFence       bool
	faults            standin.WorkerFaults
	ackBeforeCommit   bool
	startBeforeCommit bool
	noTakeoverWait    bool
	// doubleCapacity makes the owner assume twice the capacity of each VM.
	doubleCapacity bool
}

type node struct {
	id    string
	owner *Owner
	dead  bool
	// incarnation counts restarts: answers to a former incarnation are dropped.
	incarnation int
	skew        time.Duration
	lease       int64
	// storeCut: the node can't reach the store.
	storeCut bool
	store    []shard.Op
	syncs    []Sync
}

type sim struct {
	pick            draw
	mutated         mutation
	now             time.Duration
	kv              *standin.KVStore
	nodes           []*node
	workers         []*standin.Worker
	unreachable     map[string]bool // worker unreachable, by node id + worker id
	stoppedVMs      map[string]bool
	delayedMessages []func()
	// acked are tasks whose submission was acknowledged; cancelled those whose
	// cancellation was.
	acked     map[string]bool
	cancelled map[string]bool
	specs     map[string]*journalv1.TaskSpec
	tickets   map[uint64]ticketInfo
	ticket    uint64
	steps     int
	takeovers int
	evicted   int
}

type ticketInfo struct {
	id     string
	cancel bool
}

const simCell = "c"

var simCapacity = fleet.Resources{CPUMilli: 3000, MemoryMiB: 3000}

func newSim(pick draw, m mutation) *sim {
	s := &sim{
		pick: pick, mutated: m, now: time.Hour, unreachable: map[string]bool{}, stoppedVMs: map[string]bool{},
		acked: map[string]bool{}, cancelled: map[string]bool{}, specs: map[string]*journalv1.TaskSpec{},
		tickets: map[uint64]ticketInfo{},
	}
	base := time.Unix(0, 0)
	s.kv = standin.NewKVStore(func() time.Time { return base.Add(s.now) })
	for i := range 3 {
		w := standin.NewWorker(fmt.Sprintf("w%d", i), simCapacity)
		w.SetFaults(m.faults)
		s.workers = append(s.workers, w)
	}
	for i := range 2 {
		n := &node{id: fmt.Sprintf("n%d", i), skew: time.Duration(i+1) * 1000 * time.Hour}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

func (s *sim) startNode(n *node) {
	n.incarnation++
	n.dead, n.lease, n.store, n.syncs = false, 0, nil, nil
	p := DefaultParams(simCell, n.id)
	p.TaskLease, p.OutageGrace, p.ClockMargin = simTaskLease, simGrace, simMargin
	p.HeartbeatEvery, p.RetryEvery, p.PlanEvery = time.Second, 100*time.Millisecond, 0
	p.EvictionsPerMinute, p.Retain = 600, time.Hour
	p.NoSelfFence, p.NoStartCommit, p.NoAckCommit = s.mutated.noSelfFence, s.mutated.startBeforeCommit, s.mutated.ackBeforeCommit
	p.NoTakeoverWait = s.mutated.noTakeoverWait
	sp := shard.Params{
		Name: "cell-" + simCell, Self: n.id, CommitEvery: 10 * time.Millisecond, RetryEvery: 50 * time.Millisecond,
		MaxValueBytes: 600, SnapshotBytes: 2500, // small, so that snapshots and splits happen
	}
	n.owner = NewOwner(p, sp, scheduler.NewPlanner(scheduler.DefaultLimits, nil), nil)
	n.owner.SetGroups([]scheduler.GroupSpec{{Name: "g", Share: 1}, {Name: "h", Share: 2}})
	n.owner.SetVMs(s.clock(n), s.vms())
	n.owner.Core().SetWanted(true)
}

func (s *sim) clock(n *node) time.Duration { return s.now + n.skew }

func (s *sim) vms() []fleet.VM {
	var out []fleet.VM
	capacity := simCapacity
	if s.mutated.doubleCapacity {
		capacity = capacity.Add(simCapacity)
	}
	for _, w := range s.workers {
		if !s.stoppedVMs[w.ID] {
			out = append(out, fleet.VM{ID: w.ID, State: fleet.VMLive, Capacity: capacity, Worker: w.ID})
		}
	}
	return out
}

// collect moves a node's commands into its queues and records replies.
func (s *sim) collect(n *node) error {
	cmds := n.owner.Take()
	n.store = append(n.store, cmds.Store...)
	n.syncs = append(n.syncs, cmds.Syncs...)
	for _, r := range cmds.Replies {
		t := s.tickets[r.Ticket]
		for _, res := range r.Results {
			if r.Err == nil && res.Code == result.OK && t.cancel {
				s.cancelled[t.id] = true
			} else if r.Err == nil && res.Code == result.OK {
				s.acked[t.id] = true
			}
		}
	}
	for _, d := range cmds.Decisions {
		if d.What == "takeover" {
			s.takeovers++
		}
		if d.What == "evict" {
			s.evicted++
		}
	}
	for _, err := range cmds.Errs {
		return errors.Annotate(err, "owner reports an error in stored state")
	}
	return nil
}

// delivery is how a message is delivered.
type delivery int

const (
	delivered delivery = iota
	answerLost
	dropped
	delayed
	duplicated
	numDeliveries
)

func (s *sim) pickDelivery() delivery {
	// Most messages arrive, so that runs make progress.
	if s.pick("ok", 4) > 0 {
		return delivered
	}
	return delivery(s.pick("fate", int(numDeliveries)))
}

// deliver sends a message. do executes it at the receiver and returns the
// answer's delivery; fail reports to the sender that no answer came.
func (s *sim) deliver(f delivery, do func() func(), fail func()) {
	switch f {
	case delivered:
		do()()
	case answerLost:
		do()
		fail()
	case dropped:
		fail()
	case delayed:
		s.delayedMessages = append(s.delayedMessages, func() { do() })
		fail()
	case duplicated:
		s.delayedMessages = append(s.delayedMessages, func() { do() })
		do()()
	}
}

func (s *sim) deliverStore(n *node, f delivery) {
	if len(n.store) == 0 {
		return
	}
	op := n.store[0]
	n.store = n.store[1:]
	incarnation := n.incarnation
	if n.storeCut {
		f = dropped
	}
	answer := func(a shard.Answer) {
		if n.incarnation == incarnation && !n.dead {
			n.owner.StoreAnswer(s.clock(n), a)
		}
	}
	s.deliver(f, func() func() {
		a := shard.Answer{ID: op.ID}
		if op.Txn != nil {
			a.Txn, a.Err = s.kv.Do(context.Background(), *op.Txn)
		} else {
			a.Pairs, _, a.Err = s.kv.Range(context.Background(), op.Prefix)
		}
		return func() { answer(a) }
	}, func() { answer(shard.Answer{ID: op.ID, Err: errors.Trace(kv.ErrUnavailable)}) })
}

func (s *sim) deliverSync(n *node, i int, f delivery) {
	if len(n.syncs) == 0 {
		return
	}
	i %= len(n.syncs)
	c := n.syncs[i]
	n.syncs = append(n.syncs[:i:i], n.syncs[i+1:]...)
	incarnation := n.incarnation
	answer := func(r *fleet.SyncReply, err error) {
		if n.incarnation == incarnation && !n.dead {
			n.owner.WorkerAnswer(s.clock(n), c.Worker, c.Request.Term, c.Request.Seq, r, err)
		}
	}
	if f == delivered && (s.unreachable[n.id+c.Worker] || s.stoppedVMs[c.Worker]) {
		f = dropped
	}
	s.deliver(f, func() func() {
		if s.stoppedVMs[c.Worker] {
			return func() {}
		}
		r := s.worker(c.Worker).Sync(s.now, c.Request)
		return func() { answer(r, nil) }
	}, func() { answer(nil, errLost) })
}

func (s *sim) worker(id string) *standin.Worker {
	for _, w := range s.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// keepAlive renews the node's lease as the entry's lease actor does.
func (s *sim) keepAlive(n *node, f delivery) {
	if n.storeCut {
		return
	}
	sent := s.clock(n)
	if n.lease != 0 {
		err := s.kv.KeepAlive(context.Background(), n.lease)
		if errors.Is(err, kv.ErrLeaseNotFound) {
			n.lease = 0
		} else if err == nil && f == delivered {
			n.owner.Core().SetLease(n.lease, sent+simStoreTTL-simMargin)
		}
	}
	if n.lease == 0 {
		id, err := s.kv.Grant(context.Background(), simStoreTTL)
		if err == nil && f == delivered {
			n.lease = id
			n.owner.Core().SetLease(id, sent+simStoreTTL-simMargin)
		}
	}
}

func (s *sim) submit(n *node, k int) {
	id := fmt.Sprintf("t%d", k)
	spec := s.specs[id]
	if spec == nil {
		spec = s.newSpec(id)
		s.specs[id] = spec
	}
	s.ticket++
	s.tickets[s.ticket] = ticketInfo{id: id}
	n.owner.Submit(s.clock(n), s.ticket, []*journalv1.TaskSpec{spec})
}

func (s *sim) newSpec(id string) *journalv1.TaskSpec {
	size := int64(500 + 500*s.pick("size", 6))
	job, _ := json.Marshal(standin.Job{WorkMS: int64(100 << s.pick("work", 9)), Fails: s.pick("fails", 8) == 0})
	spec := &journalv1.TaskSpec{
		Id: id, Kind: "k", Group: [2]string{"g", "h"}[s.pick("group", 2)], Payload: job,
		Request:       &journalv1.Resources{CpuMilli: size, MemoryMib: size},
		NotRepeatable: s.pick("notRepeatable", 4) == 0,
	}
	spec.Urgent = !spec.NotRepeatable && s.pick("urgent", 4) == 0
	return spec
}

func (s *sim) cancel(n *node, k int) {
	id := fmt.Sprintf("t%d", k)
	s.ticket++
	s.tickets[s.ticket] = ticketInfo{id: id, cancel: true}
	n.owner.Cancel(s.clock(n), s.ticket, id, nil)
}

const simTasks = 14

// step performs one drawn action and checks the invariants.
func (s *sim) step() error {
	s.steps++
	n := s.nodes[s.pick("node", len(s.nodes))]
	w := s.workers[s.pick("worker", len(s.workers))]
	switch a := s.pick("action", 64); {
	case a < 12:
		// A period in which most processes make progress; a node may be paused
		// meanwhile.
		d := time.Duration(100<<s.pick("while", 7)) * time.Millisecond
		return s.run(d, s.pick("paused", 2*len(s.nodes)))
	case a < 16:
		s.now += time.Duration(10+s.pick("ms", 300)) * time.Millisecond
	case a < 22:
		for range 3 {
			s.submit(s.ownerOr(n), s.pick("task", simTasks))
		}
	case a < 24:
		return s.runDelayedCalls(s.ownerOr(n), w)
	case a < 25 && !n.dead:
		s.cancel(n, s.pick("task", simTasks))
	case a < 32 && !n.dead:
		s.deliverStore(n, s.pickDelivery())
	case a < 42 && !n.dead:
		s.deliverSync(n, s.pick("sync", 8), s.pickDelivery())
	case a < 46:
		s.deliverDelayed()
	case a < 48 && !n.dead:
		s.keepAlive(n, s.pickDelivery())
	case a < 50:
		return s.handOver(n)
	case a < 51:
		s.killOrRestart(n)
	case a < 55:
		s.unreachable[n.id+w.ID] = !s.unreachable[n.id+w.ID]
	case a < 57:
		n.storeCut = !n.storeCut
	case a < 58:
		s.kv.SetFaults(standin.KVFaults{Down: s.pick("down", 3) == 0})
	case a < 59 && s.pick("reboot", 2) == 0:
		w.Reboot(s.now)
	case a < 60 && len(s.stoppedVMs) == 0 && s.pick("stop", 8) == 0:
		s.stopVM(w)
	case a < 63:
		s.delayAll(n)
	default:
		s.removeFaults()
	}
	return s.tickAndCheck(n)
}

// ownerOr returns the node that may decide now, or n.
func (s *sim) ownerOr(n *node) *node {
	for _, o := range s.nodes {
		if !o.dead && o.owner.mayDecide(s.clock(o)) {
			return o
		}
	}
	return n
}

// runDelayedCalls makes n's calls to w arrive late, after a fault of one of them:
// the usual ways in which a task runs in two places.
func (s *sim) runDelayedCalls(n *node, w *standin.Worker) error {
	if n.dead {
		return nil
	}
	for range 3 {
		s.submit(n, s.pick("task", simTasks))
	}
	for range 6 {
		n.owner.Tick(s.clock(n))
		if err := s.collect(n); err != nil {
			return err
		}
		s.deliverStore(n, delivered)
		s.now += 15 * time.Millisecond
	}
	for i := len(n.syncs) - 1; i >= 0; i-- {
		f := delivered
		if n.syncs[i].Worker == w.ID {
			f = delayed
		}
		s.deliverSync(n, i, f)
	}
	paused := s.injectFault(n, w)
	err := s.run(time.Duration(400<<s.pick("while", 7))*time.Millisecond, paused)
	for len(s.delayedMessages) > 0 && err == nil {
		s.deliverDelayed()
		err = s.check()
	}
	return err
}

// injectFault causes one drawn fault and returns the number of the paused node or -1.
func (s *sim) injectFault(n *node, w *standin.Worker) int {
	switch s.pick("event", 6) {
	case 0: // the owner is paused
		for i, o := range s.nodes {
			if o == n {
				return i
			}
		}
	case 1: // the worker is cut off from all
		for _, o := range s.nodes {
			s.unreachable[o.id+w.ID] = true
		}
	case 2: // the owner loses the store, others can't reach the worker
		n.storeCut = true
		for _, o := range s.nodes {
			s.unreachable[o.id+w.ID] = o != n
		}
	case 3: // the worker restarts and is cut off
		w.Reboot(s.now)
		for _, o := range s.nodes {
			s.unreachable[o.id+w.ID] = true
		}
	case 4:
		s.killOrRestart(n)
	default: // only the message is late
	}
	return -1
}

func (s *sim) deliverDelayed() {
	if len(s.delayedMessages) == 0 {
		return
	}
	i := s.pick("late", len(s.delayedMessages))
	fn := s.delayedMessages[i]
	s.delayedMessages = append(s.delayedMessages[:i:i], s.delayedMessages[i+1:]...)
	fn()
}

// handOver makes n the only wanted owner, as a new membership view does.
func (s *sim) handOver(n *node) error {
	if n.dead {
		return nil
	}
	for _, o := range s.nodes {
		o.owner.Core().SetWanted(o == n)
	}
	return s.tickAndCheck(n)
}

// delayAll delays all calls to workers that a node has sent.
func (s *sim) delayAll(n *node) {
	for range len(n.syncs) {
		s.deliverSync(n, 0, delayed)
	}
}

func (s *sim) removeFaults() {
	s.unreachable = map[string]bool{}
	for _, n := range s.nodes {
		n.storeCut = false
		n.owner.Core().SetWanted(true)
		if n.dead {
			s.startNode(n)
		}
	}
	s.kv.SetFaults(standin.KVFaults{})
}

func (s *sim) killOrRestart(n *node) {
	if n.dead {
		s.startNode(n)
		return
	}
	n.dead = true
	// The messages that it sent before may still arrive.
	for _, c := range n.syncs {
		s.delayedMessages = append(s.delayedMessages, func() {
			if !s.stoppedVMs[c.Worker] {
				s.worker(c.Worker).Sync(s.now, c.Request)
			}
		})
	}
	for _, op := range n.store {
		if op.Txn != nil {
			s.delayedMessages = append(s.delayedMessages, func() { _, _ = s.kv.Do(context.Background(), *op.Txn) })
		}
	}
	n.store, n.syncs = nil, nil
}

func (s *sim) stopVM(w *standin.Worker) {
	w.Reboot(s.now)
	s.stoppedVMs[w.ID] = true
	for _, n := range s.nodes {
		n.owner.SetVMs(s.clock(n), s.vms())
	}
}

func (s *sim) tickAndCheck(n *node) error {
	if !n.dead {
		n.owner.Tick(s.clock(n))
		if err := s.collect(n); err != nil {
			return err
		}
	}
	return s.check()
}

// run lets all nodes but the paused one work without faults for the given time.
func (s *sim) run(d time.Duration, paused int) error {
	const tick = 100 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += tick {
		for i, n := range s.nodes {
			if n.dead || i == paused {
				continue
			}
			s.keepAlive(n, delivered)
			n.owner.Tick(s.clock(n))
			for range 4 {
				if err := s.collect(n); err != nil {
					return err
				}
				for range len(n.store) {
					s.deliverStore(n, delivered)
				}
				for range len(n.syncs) {
					s.deliverSync(n, 0, delivered)
				}
			}
		}
	}
	return s.check()
}

// check checks the workers' run records against the invariants.
func (s *sim) check() error {
	byTask := map[string][]standin.Run{}
	seen := map[fleet.AttemptRef]string{}
	for _, w := range s.workers {
		_, held := w.Running(s.now)
		if !held.Fits(simCapacity) {
			return errors.Errorf("VM %s is over-committed: %+v of %+v", w.ID, held, simCapacity)
		}
		for _, r := range w.Runs() {
			if other, ok := seen[r.AttemptRef]; ok {
				return errors.Errorf("attempt %+v ran on %s and again on %s", r.AttemptRef, other, w.ID)
			}
			seen[r.AttemptRef] = w.ID
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for id, runs := range byTask {
		if err := s.checkRuns(id, runs); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) checkRuns(id string, runs []standin.Run) error {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Attempt < runs[j].Attempt })
	for i, r := range runs[1:] {
		prev := runs[i]
		if prev.Ended == 0 || r.Began < prev.Ended {
			return errors.Errorf("task %s runs in two places: %+v and %+v", id, prev, r)
		}
		if s.specs[id].GetNotRepeatable() && prev.State != fleet.AttemptStopped {
			return errors.Errorf("task %s is not repeatable and ran again: %+v and %+v", id, prev, r)
		}
		if s.specs[id].GetNotRepeatable() && r.Resumed == 0 && prev.Ended > prev.Began {
			return errors.Errorf("task %s is not repeatable and started from scratch: %+v and %+v", id, prev, r)
		}
	}
	return nil
}

// finish removes all faults and checks that each acknowledged task has ended
// exactly once.
func (s *sim) finish() error {
	s.removeFaults()
	// The bound suffices for all tasks one after the other on one VM.
	var err error
	for range 20 {
		if err := s.run(goneAfter+simGrace+2*simTaskLease, -1); err != nil {
			return err
		}
		if err = s.checkEnds(); err == nil {
			return nil
		}
	}
	return err
}

func (s *sim) checkEnds() error {
	var owner *node
	for _, n := range s.nodes {
		if n.owner.mayDecide(s.clock(n)) {
			owner = n
		}
	}
	if owner == nil {
		return errors.New("no owner after all faults were removed")
	}
	for id := range s.acked {
		if err := s.checkEnd(id, owner.owner.table.tasks[id]); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) checkEnd(id string, t *task) error {
	if t == nil {
		return errors.Errorf("acknowledged task %s is missing", id)
	}
	if t.phase != Done {
		return errors.Errorf("acknowledged task %s has not ended: %+v", id, t)
	}
	finished, failed := 0, 0
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			if r.Task == id && r.State == fleet.AttemptFinished {
				finished++
			}
			if r.Task == id && r.State == fleet.AttemptFailed {
				failed++
			}
		}
	}
	switch {
	case t.code == result.OK && finished == 0:
		return errors.Errorf("task %s is reported as succeeded but never finished", id)
	case t.code == result.TaskCancelled && !s.everCancelled(id):
		return errors.Errorf("task %s is reported as cancelled but was never cancelled", id)
	case t.code == result.AttemptsExhausted && failed == 0:
		return errors.Errorf("task %s is reported as failed but never failed", id)
	case t.resumes > t.evictions, t.evictions > t.resumes && t.code != result.TaskCancelled:
		return errors.Errorf("task %s was resumed %d times after %d evictions", id, t.resumes, t.evictions)
	}
	return nil
}

func (s *sim) everCancelled(id string) bool {
	for _, t := range s.tickets {
		if t.id == id && t.cancel {
			return true
		}
	}
	return false
}
