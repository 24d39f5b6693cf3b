package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"leverstile.dev/job"
)

// delivery is a call or an answer in transit.
type delivery struct {
	at  time.Duration
	n   int
	run func()
}

// simOwner is one process that runs a Core as owner of the cell.
type simOwner struct {
	core *Core
	// lag is the most by which a process that lacks processor time is late: it sends
	// its orders and reads the answers up to lag later.
	lag              time.Duration
	dead             bool
	paused           bool
	storeUnreachable bool
	// lastFaultAt is when it was last cut off, paused, late or without the store.
	lastFaultAt time.Duration
	polling     map[WorkerID]bool
	leaseEnd    time.Duration // when its lease at the store expires
	writing     bool
	removing    bool
	// handedOver: its lease was ended at the store, and it has not received that yet.
	handedOver bool
}

// sim runs owners against workers and a store in virtual time and injects faults; its oracle checks
// what the workers do.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	params       Params
	workers      []*simWorker
	incarnations int
	owner        *simOwner
	old          []*simOwner
	term         uint64
	queue        []delivery
	deliveries   int
	oracle       *oracle
	failShare    float64
	maxAttempts  int
	stretch      float64
	lossShare    float64
	specs        map[string]*job.Spec
	order        []string
	cancelled    map[string]time.Duration
	progress     map[string][]byte // the store
	roster       rosterStore
	unreadLosses []byte
	elapsed      []byte
	storeDown    bool
	takeovers    int
	renewalsLost time.Duration            // until then
	evacuated    map[string]time.Duration // since when, by data centre
	// Safeguards that are switched off.
	dropRoster, ackEarly, noFence, shortLease, dropTasks, ignoreLateness, retryBeforeLists bool
	// blindTakeover: a new owner does not read which data centres are evacuated;
	// hideEvacuations: no owner is informed of evacuations.
	blindTakeover, hideEvacuations bool
	// alterRoster changes the entries that a new owner reads.
	alterRoster func(e *RosterEntry)
	// strict: no task that has ended done starts again, whether its owner has read the
	// end or not. That holds while the owner is active and all workers are reachable.
	strict bool
	// ownersEnd: leases run out while the store is down, and an owner that the store answers ends soon
	// after another one has taken over.
	ownersEnd bool
	// alterEnded changes what an owner that has ended tells its successor.
	alterEnded func(e *EndedTerm)

	moreFaults
	sameIDFaults
	checkpointFaults
	copyFaults
	shapes
	policy  *simPolicy // nil if no queue consults one
	adopted int
	closed  int // entries found closed at takeovers
	trace   []string
}

// simDataCentres is the number of data centres that the workers are spread over.
const simDataCentres = 2

const (
	simTTL     = 2500 * time.Millisecond
	simHorizon = 12 * time.Second
)

func newSim(seed uint64, workers int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), checkpointFaults: checkpointFaults{checkpointRNG: rand.New(rand.NewPCG(seed, 11))}, specs: map[string]*job.Spec{}, progress: map[string][]byte{}, roster: rosterStore{},
		cancelled: map[string]time.Duration{}, copyFaults: newCopyFaults(), evacuated: map[string]time.Duration{}, maxAttempts: 50, stretch: 2,
		params: Params{MaxTaskLease: 6 * time.Second, TaskLease: DefaultTaskLease, JobKept: time.Hour, OwnerTTL: simTTL, OwnerHorizon: simHorizon, RecoveryWait: RecoveryWaitFor(simTTL, simHorizon)},
	}
	s.oracle = &oracle{sim: s, runs: map[job.TaskID][]*simWorker{}, done: map[job.TaskID]bool{}, doneAt: map[*simWorker]map[uint64]job.TaskID{}, everDone: map[job.TaskID]bool{}, startedAt: map[job.TaskID]time.Duration{}, doneSince: map[*simWorker]map[uint64]time.Duration{}, failures: map[job.TaskID][]*simFailure{}, checkpoints: newCheckpointOracle()}
	for i := range workers {
		s.workers = append(s.workers, s.newWorker(i))
	}
	return s
}

func (s *sim) newWorker(place int) *simWorker {
	s.incarnations++
	rate := 1.0
	if s.rng.IntN(2) == 0 {
		rate = 0.98
	}
	w := &simWorker{
		sim: s, alive: true, rate: rate, offset: int64(s.rng.IntN(1_000_000)) + 1, born: s.now,
		info:    WorkerInfo{ID: WorkerID(fmt.Sprintf("w%d-%d", place, s.incarnations)), VM: fmt.Sprintf("m%d", place), Address: fmt.Sprintf("addr%d", place), Service: "svc", DataCentre: fmt.Sprintf("dc%d", place%simDataCentres), CPUMilli: 4000, MemoryMiB: 8000},
		running: map[job.TaskID]*simRun{}, highest: map[job.TaskID]uint64{},
	}
	s.shapeWorker(&w.info, place)
	if s.sameID {
		w.shareID()
		s.restartsPlayed++
	}
	return w
}

func (s *sim) instant() Instant { return Instant{Steady: s.now, UnixMS: s.now.Milliseconds()} }

func (s *sim) later(d time.Duration, run func()) {
	s.deliveries++
	s.queue = append(s.queue, delivery{s.now + d, s.deliveries, run})
}

func (w *simWorker) unreachable(token uint64) bool {
	return w.cut || w.cutAbove > 0 && token >= w.cutAbove+TokensPerTerm || w.cutBelow > 0 && token < w.cutBelow+TokensPerTerm
}

// call simulates a call: it may get lost before or after it is carried out, or be carried out
// seconds later without an answer.
func (s *sim) call(o *simOwner, w *simWorker, term uint64, do func(w *simWorker), answered func(), lost func()) {
	if o.lag > 0 {
		late := func() time.Duration { return time.Duration(s.rng.Int64N(int64(o.lag))) }
		send, read, in, out := late(), late(), answered, lost
		answered = func() { s.later(read, in) }
		lost = func() { s.later(read, out) }
		if read > callTimeout {
			answered = lost // the caller times out before it reads the answer
		}
		s.later(send, func() { s.travel(w, term, do, answered, lost) })
		return
	}
	s.travel(w, term, do, answered, lost)
}

// callTimeout is the time after which a call without an answer is given up.
const callTimeout = 400 * time.Millisecond

func (s *sim) travel(w *simWorker, term uint64, do func(w *simWorker), answered func(), lost func()) {
	travel := time.Duration(1+s.rng.IntN(15)) * time.Millisecond
	if s.travelFault(w, term, travel, do, answered, lost) {
		return
	}
	roll := s.rng.Float64()
	switch {
	case w == nil || w.unreachable(term) || roll < s.lossShare:
		s.later(callTimeout, lost)
	case roll < 2*s.lossShare:
		s.later(travel, func() { do(s.reached(w)) })
		s.later(callTimeout, lost)
	case roll < 3*s.lossShare:
		s.later(time.Duration(2+s.rng.IntN(10))*time.Second, func() { do(w) })
		s.later(callTimeout, lost)
	default:
		s.later(travel, func() {
			if w.unreachable(term) {
				s.later(callTimeout, lost)
				return
			}
			do(s.reached(w))
			s.later(s.answerTime(), answered)
		})
	}
}

func (s *sim) byAddress(address string) *simWorker {
	for _, w := range s.workers {
		if w.info.Address == address {
			return w
		}
	}
	return nil
}

// takeover starts a new owner from the state in the store.
func (s *sim) takeover() {
	if s.owner != nil {
		s.old = append(s.old, s.owner)
		s.takeovers++
	}
	s.endPrevious(s.owner)
	s.term += TokensPerTerm
	o := &simOwner{polling: map[WorkerID]bool{}, leaseEnd: s.now + simTTL}
	o.core = New(s.params, s.term, func(d Decision) {
		if d.Event == "run_stop" && s.isFill(d.Task) {
			s.preempted++
		}
		if d.Event == "run_adopted" {
			s.adopted++
		}
		s.countCopies(d)
		s.trace = append(s.trace, fmt.Sprintf("%v term %d: %v", s.now, o.core.Term(), d))
	})
	s.setCopyRules(o.core)
	roster := s.roster
	if s.dropRoster {
		roster = nil
	}
	list, err := roster.read()
	if err != nil {
		panic(err)
	}
	for i := range list {
		if list[i].Closed {
			s.closed++
		}
		if s.dropTasks {
			list[i].Tasks = nil
		}
		if s.alterRoster != nil {
			s.alterRoster(&list[i])
		}
	}
	if err := o.core.RecoverSeals(s.elapsed, TokensPerTerm, s.instant()); err != nil {
		panic(err)
	}
	o.core.Recover(list, s.instant())
	if s.unreadLosses != nil {
		if err := o.core.RecoverUnread(s.unreadLosses); err != nil {
			panic(err)
		}
	}
	o.core.SetConfig(s.config())
	if !s.blindTakeover {
		s.reportEvacuated(o)
	}
	s.reportWorkers(o)
	for _, id := range s.order {
		var p *job.Progress
		if v, ok := s.progress[id]; ok {
			if p, err = DecodeProgress(v); err != nil {
				panic(err)
			}
		}
		o.core.AddJob(s.specs[id], p, true, s.instant())
	}
	for id := range s.cancelled {
		o.core.Cancel(id, s.instant())
	}
	o.core.Renewed(s.now)
	s.owner = o
}

// ownerEndDelay is the longest time after a takeover within which the previous owner learns of it.
const ownerEndDelay = 200 * time.Millisecond

// endPrevious has the previous owner tell its successor what it knows, once it has ended: an owner that
// has handed over, and with ownersEnd one that learns of the takeover from the store.
func (s *sim) endPrevious(previous *simOwner) {
	if previous == nil {
		return
	}
	learns := s.ownersEnd && !previous.dead && !previous.paused && !previous.storeUnreachable
	if !learns && !(previous.handedOver && s.stopBeforeHandover) {
		return
	}
	s.later(s.within(ownerEndDelay), func() {
		previous.dead = true
		ended, next, sent := previous.core.EndedTerm(s.instant()), s.owner, s.now
		if s.alterEnded != nil {
			s.alterEnded(&ended)
		}
		s.later(s.within(ownerEndDelay), func() {
			s.deliver(next, func() { next.core.PredecessorEnded(ended.After(s.now-sent), s.instant()) })
		})
	})
}

func (s *sim) reportWorkers(o *simOwner) {
	var list []WorkerInfo
	for _, w := range s.workers {
		if w.alive {
			list = append(list, w.info)
		}
	}
	o.core.SetWorkers(s.listed(list), s.instant())
	if s.believeEntries {
		for _, w := range o.core.workers {
			if !w.listed {
				w.endReason = "not listed"
			}
		}
	}
}

func (s *sim) submit(spec *job.Spec) {
	s.specs[spec.ID] = spec
	s.order = append(s.order, spec.ID)
	if s.lateWatches {
		s.announce(spec)
		return
	}
	for _, o := range append(slices.Clone(s.old), s.owner) {
		if o != nil {
			s.deliverWatch(o, func() { o.core.AddJob(spec, nil, false, s.instant()) })
		}
	}
}

// deliverWatch delivers a change in the store to an owner once the store is reachable for it.
func (s *sim) deliverWatch(o *simOwner, f func()) {
	if o.storeUnreachable || s.storeDown {
		s.later(100*time.Millisecond, func() { s.deliverWatch(o, f) })
		return
	}
	s.deliver(o, f)
}

func (s *sim) cancel(id string) {
	if s.cancelled[id] == 0 {
		s.cancelled[id] = s.now
		for _, o := range append(slices.Clone(s.old), s.owner) {
			if o != nil {
				s.deliverWatch(o, func() { o.core.Cancel(id, s.instant()) })
			}
		}
	}
}

// setEvacuated evacuates a data centre or ends its evacuation; owners receive that through their
// watches.
func (s *sim) setEvacuated(dc string, evacuated bool) {
	if !evacuated {
		delete(s.evacuated, dc)
	} else if s.evacuated[dc] == 0 {
		s.evacuated[dc] = s.now
	}
	for _, o := range append(slices.Clone(s.old), s.owner) {
		if o != nil {
			s.deliverWatch(o, func() { s.reportEvacuated(o) })
		}
	}
}

func (s *sim) reportEvacuated(o *simOwner) {
	if !s.hideEvacuations {
		o.core.SetEvacuated(slices.Sorted(maps.Keys(s.evacuated)))
	}
}

// simRosterParts is the maximum number of roster parts in one write.
const simRosterParts = 2

// flush writes progress unless the store is down or another owner has taken over, which the store
// checks.
func (s *sim) flush(o *simOwner) {
	s.removeExpired(o)
	if s.storeDown || o.storeUnreachable || o != s.owner || o.handedOver || o.writing {
		return
	}
	records, err := o.core.Records(5)
	if err != nil {
		panic(err)
	}
	roster, err := o.core.Roster(simRosterParts)
	if err != nil {
		panic(err)
	}
	unheard, err := o.core.Unread()
	if err != nil {
		panic(err)
	}
	elapsed, err := o.core.Elapsed(s.instant())
	if err != nil {
		panic(err)
	}
	if len(records) == 0 && len(roster) == 0 && elapsed == nil {
		return
	}
	if s.ackEarly {
		o.core.Persisted(records)
	}
	o.writing = true
	s.later(time.Duration(2+s.rng.IntN(30))*time.Millisecond, func() {
		if o == s.owner && !o.handedOver && !s.storeDown {
			for _, r := range records {
				s.progress[r.Job] = r.Value
			}
			s.roster.put(roster)
			if elapsed != nil {
				s.elapsed = elapsed
			}
			if unheard != nil {
				s.unreadLosses = unheard
			}
			s.later(2*time.Millisecond, func() {
				o.writing = false
				if !o.dead {
					o.core.Persisted(records)
					o.core.RosterStored(roster)
					o.core.UnreadStored(unheard)
				}
			})
			return
		}
		o.writing = false
	})
}

// drive lets one owner do the work that is due.
func (s *sim) drive(o *simOwner) {
	if o.dead || o.paused || o.lag > 0 || o.storeUnreachable || s.storeDown {
		o.lastFaultAt = s.now
	}
	if o.dead || o.paused || o.core.Deposed() {
		return
	}
	if s.unguardIncarnations != nil {
		s.unguardIncarnations(o.core)
	}
	for _, id := range o.core.Workers() {
		if !o.polling[id] {
			s.poll(o, id)
		}
	}
	if s.shortLease {
		for _, w := range o.core.workers {
			w.lastDeadline -= 1500
		}
	}
	if !s.ignoreLateness {
		o.core.ObserveLateness(o.lag, s.instant())
	}
	if s.forgetCrashes {
		for _, j := range o.core.jobs {
			j.progress.Crashes = nil
		}
	}
	s.tick(o.core)
	s.oracle.checkPair(o.core)
	s.dispatch(o)
	s.flush(o)
}

func (s *sim) dispatch(o *simOwner) {
	for _, req := range o.core.TakeAdviceRequests() {
		s.policy.call(o, req)
	}
	for _, order := range o.core.TakeOrders() {
		if order.Kind == OrderStart {
			if s.alterStart != nil {
				s.alterStart(o.core, &order)
			}
			s.oracle.checkStart(o.core, &order)
		}
		if order.Kind == OrderStart && s.chance(s.notSentShare) {
			s.notSent(o, order)
			continue
		}
		var answer Answer
		s.call(o, s.byAddress(order.Address), order.Token, func(w *simWorker) { answer = w.order(order) },
			func() { s.deliver(o, func() { s.orderDone(o.core, order, answer) }) },
			func() {
				s.deliver(o, func() { o.core.OrderDone(order, Answer{Outcome: OutcomeUnknown}, s.instant()) })
			})
	}
}

func (s *sim) deliver(o *simOwner, f func()) {
	if o.dead {
		return
	}
	if o.paused {
		s.later(50*time.Millisecond, func() { s.deliver(o, f) })
		return
	}
	f()
	s.dispatch(o)
}

func (s *sim) poll(o *simOwner, id WorkerID) {
	plan := o.core.PlanPoll(id, s.instant())
	if !plan.Send {
		return
	}
	o.polling[id] = true
	var reply PollReply
	var outcome Outcome
	finish := func(reply PollReply, outcome Outcome) {
		pause := s.pollDone(o.core, plan.Request, reply, outcome)
		if !s.promptPolls {
			pause += time.Duration(s.rng.IntN(300)) * time.Millisecond
		}
		s.later(pause, func() { o.polling[id] = false })
	}
	if s.unguardPoll != nil {
		s.unguardPoll(o.core, &plan.Request)
	}
	asked := plan.Request
	if s.skipPollWait {
		asked.Wait = 0
	}
	var at *simWorker
	lost := func() { s.deliver(o, func() { finish(PollReply{}, OutcomeUnknown) }) }
	s.call(o, s.byAddress(plan.Request.Address), plan.Request.Token, func(w *simWorker) { at = w; reply, outcome = w.poll(asked) },
		func() {
			if (s.longPolls || asked.Wait == startGap) && outcome == OutcomeOK {
				s.awaitEnd(at, asked, func(reply PollReply) { s.deliver(o, func() { finish(reply, OutcomeOK) }) }, lost)
				return
			}
			s.deliver(o, func() { finish(reply, outcome) })
		}, lost)
}

// pollDone has a core process a poll reply. With retryBeforeLists, tasks that failed are started
// again as if all workers of the previous owner had answered.
func (s *sim) pollDone(core *Core, order PollRequest, reply PollReply, outcome Outcome) time.Duration {
	w := core.workers[order.Worker]
	s.misread(core, w, reply)
	if s.alterReply != nil {
		s.alterReply(core, &reply)
	}
	s.oracle.received(core, reply)
	if s.retryBeforeLists && w != nil && w.synced {
		waiting, open := core.unresolved, core.openUnresolved
		core.unresolved, core.openUnresolved = nil, 0
		defer func() { core.unresolved, core.openUnresolved = waiting, open }()
	}
	defer s.oracle.recordDoneRead(core, w, reply)
	return core.PollDone(order, reply, outcome, s.instant())
}

// step advances virtual time by one tick and lets workers and owners act.
func (s *sim) step() {
	end := s.now + 20*time.Millisecond
	for {
		next := -1
		for i, d := range s.queue {
			if d.at <= end && (next < 0 || d.at < s.queue[next].at || d.at == s.queue[next].at && d.n < s.queue[next].n) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		d := s.queue[next]
		s.queue = append(s.queue[:next], s.queue[next+1:]...)
		s.now = max(s.now, d.at)
		d.run()
	}
	s.now = end
	for _, w := range s.workers {
		w.advance()
	}
	if s.now < s.renewalsLost || s.ownersEnd && s.owner != nil && s.now > s.owner.leaseEnd {
		// Renewals are carried out or not; the owner gets no answer to them.
	} else if s.owner != nil && !s.owner.handedOver && !s.owner.dead && !s.owner.paused && !s.owner.storeUnreachable && !s.storeDown {
		s.owner.leaseEnd = s.now + simTTL
		s.owner.core.Renewed(s.now)
		s.reportWorkers(s.owner)
	}
	if s.owner == nil || !s.storeDown && s.now > s.owner.leaseEnd {
		s.takeover()
	}
	for _, o := range append(slices.Clone(s.old), s.owner) {
		s.drive(o)
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.oracle.broken) == 0; {
		s.step()
	}
}

// crash ends an incarnation of a worker; the next one starts at its address.
func (s *sim) crash(i int) {
	w := s.workers[i]
	if !w.alive {
		return
	}
	w.advance()
	s.oracle.crashed(w)
	s.recordCrash(w)
	s.keepOldEntry(w)
	w.alive = false
	for _, r := range w.sorted() {
		r.gang.left(s, EndLapsed)
	}
	w.running = map[job.TaskID]*simRun{}
	s.later(s.downtime(), func() { s.workers[i] = s.newWorker(i) })
}
