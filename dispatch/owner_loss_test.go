package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"leverstile.dev/job"
)

const (
	// lossAt is when workers are lost in a lossPlay; all tasks run by then.
	lossAt = 6 * time.Second
	// lossNoticed is the longest time from the loss of a worker until the store has its sealed
	// entry: two unanswered polls, the pauses between them, and a write.
	lossNoticed = 1500 * time.Millisecond
	// takeoverTime is the time that a change of owner may add to the wait for lost workers: the
	// owner's lease at the store, and 0.1 s to read the state.
	takeoverTime = simTTL + 100*time.Millisecond
	// elapsedDelay is the longest time of an owner that its successor does not count: up to a tick
	// of the core, the pause between writes, and a write.
	elapsedDelay = 160 * time.Millisecond
	// lossWatched is how long a play goes on once all tasks run again.
	lossWatched = 6 * time.Second
	// lossRight is how long after the first change the first owner may extend leases, and these
	// last.
	lossRight = simHorizon + 2*time.Second
)

// lossPlay plays the loss of workers beside changes of owner.
type lossPlay struct {
	workers int // lost, of ten
	lose    lossKind
	change  ownerChange
	// The first change is after the loss by first, negative before it; each later one after the
	// previous one by every.
	changes      int
	first, every time.Duration
	// storeDown: the store is down from 1 s after the first change, for 3 s.
	storeDown bool
	// warmUp is added to lossAt.
	warmUp time.Duration
	alter  func(s *sim)
}

// lossKind is how workers are lost.
type lossKind struct {
	name string
	lose func(s *sim, i int)
}

// ownerChange is how an owner is replaced.
type ownerChange struct {
	name    string
	replace func(s *sim)
}

var lossKinds = []lossKind{
	{"gone", func(s *sim, i int) { s.lose(i) }},
	{"dark", func(s *sim, i int) { s.lose(i); s.workers[i].cut = true }},
	{"cut off", func(s *sim, i int) { s.workers[i].cut = true }},
	{"cut off for 4 s", func(s *sim, i int) {
		w := s.workers[i]
		w.cut = true
		s.later(4*time.Second, func() { w.cut = false })
	}},
	{"back under another id", func(s *sim, i int) { s.crash(i) }},
}

var ownerChanges = []ownerChange{
	{"killed", func(s *sim) { s.owner.dead = true }},
	{"cut off from the store", func(s *sim) { s.owner.storeUnreachable = true }},
	{"frozen", func(s *sim) {
		o := s.owner
		o.paused = true
		s.later(4*time.Second, func() { o.paused = false })
	}},
	{"restarted", func(s *sim) { s.restart(1) }},
	{"replaced as planned", func(s *sim) { s.handOver() }},
}

// lose ends a worker for good; its entry lapses three seconds later.
func (s *sim) lose(i int) {
	w := s.workers[i]
	w.advance()
	s.oracle.crashed(w)
	w.alive, w.running = false, map[job.TaskID]*simRun{}
	s.entries = append(s.entries, oldEntry{w.info, s.now, s.now + 3*time.Second})
}

// lossResult is what a lossPlay shows.
type lossResult struct {
	broken []string
	// waited is the longest time from the loss until a task of a lost worker ran at another one,
	// takeovers the number of takeovers until then; all is false if some task never did.
	waited    time.Duration
	takeovers int
	all       bool
}

func (p lossPlay) String() string {
	return fmt.Sprintf("%d workers %s, owner %s %d times, first at %v, every %v, store down %v", p.workers, p.lose.name, p.change.name, p.changes, p.first, p.every, p.storeDown)
}

func (p lossPlay) play(seed uint64) lossResult {
	s := newSim(seed, 10)
	s.deadRefuse, s.stopBeforeHandover, s.longPolls = true, true, true
	if p.alter != nil {
		p.alter(s)
	}
	s.run(time.Second)
	// A task at each worker has the owner poll all of them; those of lost workers can't run elsewhere.
	everywhere := longRunningJob(1, len(s.workers))
	everywhere.Steps[0].MaxPerWorker = 1
	s.submit(everywhere)
	s.run(time.Second)
	spec := longRunningJob(2, 16)
	spec.Steps[0].MaxPerWorker = 3
	s.submit(spec)
	at := lossAt + p.warmUp
	next, left := at+p.first, p.changes
	change := func() {
		for left > 0 && s.now >= next {
			p.change.replace(s)
			left, next = left-1, next+p.every
		}
	}
	for s.now < at {
		change()
		s.step()
	}
	lost := map[job.TaskID]bool{}
	for i := range p.workers {
		for id := range s.workers[i].running {
			lost[id] = id.Job == spec.ID
		}
		p.lose.lose(s, i)
	}
	if p.storeDown {
		s.later(p.first+time.Second, func() { s.storeDown = true })
		s.later(p.first+4*time.Second, func() { s.storeDown = false })
	}
	result := lossResult{}
	before := s.takeovers
	for end := s.now + 60*time.Second; s.now < end && len(s.oracle.broken) == 0; {
		change()
		s.step()
		if !result.all && s.runAgain(lost) {
			result.all, result.waited, result.takeovers = true, s.now-at, s.takeovers-before
			end = max(s.now+lossWatched, at+p.first+lossRight)
		}
	}
	result.broken = s.oracle.broken
	return result
}

// runAgain reports whether all tasks run at workers that can be reached.
func (s *sim) runAgain(tasks map[job.TaskID]bool) bool {
	for id, awaited := range tasks {
		runs := !awaited || slices.ContainsFunc(s.workers, func(w *simWorker) bool { return w.alive && !w.unreachable(s.owner.core.Term()) && w.running[id] != nil })
		if !runs {
			return false
		}
	}
	return true
}

// lossSweep returns the number of seeds of each lossPlay, the numbers of lost workers and the step of
// the moment at which the owner is replaced.
func lossSweep() (seeds uint64, workers []int, step time.Duration) {
	if testing.Short() {
		return 1, []int{4}, 1500 * time.Millisecond
	}
	return 2, []int{4}, time.Second
}

// longestWait returns the longest wait of the plays of all seeds, and fails for broken guarantees.
func longestWait(t *testing.T, p lossPlay) (waited time.Duration, takeovers int) {
	t.Helper()
	seeds, _, _ := lossSweep()
	for seed := range seeds {
		r := p.play(seed)
		for _, b := range r.broken {
			t.Errorf("%v, seed %d: %s", p, seed, b)
		}
		if !r.all {
			t.Errorf("%v, seed %d: a task never runs again", p, seed)
		}
		if r.waited > waited {
			waited, takeovers = r.waited, r.takeovers
		}
	}
	return waited, takeovers
}

// TestLostWorkersDelayTheirTasksOnceWhileOwnersChange guards against a wait for the leases of lost
// workers that each change of owner begins anew.
func TestLostWorkersDelayTheirTasksOnceWhileOwnersChange(t *testing.T) {
	_, counts, step := lossSweep()
	for _, lose := range lossKinds[:3] {
		for _, workers := range counts {
			alone, _ := longestWait(t, lossPlay{workers: workers, lose: lose, change: ownerChanges[0]})
			for _, change := range ownerChanges {
				for _, changes := range []int{1, 2, 10} {
					for first := lossNoticed; first <= 5*time.Second; first += step {
						p := lossPlay{workers: workers, lose: lose, change: change, changes: changes, first: first, every: simTTL + time.Second}
						waited, takeovers := longestWait(t, p)
						if limit := alone + time.Duration(takeovers)*(takeoverTime+elapsedDelay); waited > limit {
							t.Errorf("%v: a task ran again %v after the loss, %d takeovers later, want at most %v; without a change %v", p, waited, takeovers, limit, alone)
						}
					}
				}
			}
		}
	}
}

// TestWaitsForLostWorkersAreLogged guards against waits whose reason the log does not tell: for the
// leases of a lost worker, and for capacity that is reserved.
func TestWaitsForLostWorkersAreLogged(t *testing.T) {
	var log []Decision
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "a", Closed: true, Tasks: []string{"j.0.0.0"}})
	core.trace = func(d Decision) { log = append(log, d) }
	for range unreachedAfter {
		core.PollDone(PollRequest{Worker: "w1"}, PollReply{}, OutcomeUnknown, now)
	}
	find := func(event, reason string, age time.Duration) {
		t.Helper()
		if !slices.ContainsFunc(log, func(d Decision) bool {
			return d.Event == event && strings.Contains(d.Reason, reason) && d.Age == age
		}) {
			t.Errorf("no %s with %q: %v", event, reason, log)
		}
	}
	find("recovery_waits", "1 tasks wait", core.params.RecoveryWait)

	core, now = reservingCore(t, 40)
	core.trace = func(d Decision) { log = append(log, d) }
	for _, w := range core.sortedWorkers {
		w.isReserved = true
	}
	core.AddJob(longRunningJob(1, 1), nil, false, now)
	core.Schedule(now)
	find("step_waits", "40 workers with room are reserved for short tasks", 0)
}

// lossIslands are workers that only their owner reaches, from the loss on or after they were cut off
// from all for 2 s. An owner that is cut off from the store may go on with them.
var lossIslands = []lossKind{
	{"reached by their owner only", func(s *sim, i int) { s.workers[i].cutAbove = s.owner.core.Term() }},
	{"reached by their owner only, after a cut", func(s *sim, i int) {
		w, term := s.workers[i], s.owner.core.Term()
		w.cut = true
		s.later(2*time.Second, func() { w.cut, w.cutAbove = false, term })
	}},
	{"alone with their owner", func(s *sim, i int) {
		term := s.owner.core.Term()
		s.workers[i].cutAbove = term
		for _, w := range s.workers {
			if w.cutAbove == 0 {
				w.cutBelow = term
			}
		}
		s.workers[i].cutBelow = 0
	}},
}

// lossPlaysOf returns the plays of one way to lose workers: with each way to replace owners, once and
// in series, at moments before, at and after the loss, with and without the store.
func lossPlaysOf(lose lossKind) (plays []lossPlay) {
	for _, change := range ownerChanges {
		for first := -time.Second; first <= 5*time.Second; first += time.Second {
			p := lossPlay{workers: 2, lose: lose, change: change, changes: 1, first: first, every: simTTL + time.Second}
			plays = append(plays, p)
			p.storeDown = true
			plays = append(plays, p)
			p.storeDown, p.changes = false, 3
			plays = append(plays, p)
		}
	}
	return plays
}

// TestNoTaskRunsTwiceBesideLostWorkersAndOwners guards against a start while the run at a lost worker
// may be alive.
func TestNoTaskRunsTwiceBesideLostWorkersAndOwners(t *testing.T) {
	for _, lose := range slices.Concat(lossKinds, lossIslands) {
		t.Run(lose.name, func(t *testing.T) {
			t.Parallel()
			var waits []time.Duration
			for i, p := range lossPlaysOf(lose) {
				if testing.Short() && i%4 > 0 {
					continue
				}
				r := p.play(uint64(i))
				for _, b := range r.broken {
					t.Errorf("%v: %s", p, b)
				}
				if !r.all {
					t.Errorf("%v: a task never runs again", p)
				}
				waits = append(waits, r.waited)
			}
			slices.Sort(waits)
			t.Logf("%d plays, from the loss to the next run: median %v, at most %v", len(waits), waits[len(waits)/2], waits[len(waits)-1])
		})
	}
}

// TestLossSweepFindsFaults checks that the sweep fails without each safeguard of seals.
func TestLossSweepFindsFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without -short")
	}
	shortest := RecoveryWaitFor(0, DefaultTaskLease)
	cutOff, afterCut, alone := lossKinds[2], lossIslands[1], lossIslands[2]
	for name, c := range map[string]struct {
		lose  lossKind
		alter func(s *sim)
	}{
		"leases are extended beside a seal": {afterCut, func(s *sim) {
			s.unguardIncarnations = func(c *Core) {
				for _, w := range c.workers {
					w.sealed = false
				}
			}
		}},
		"the elapsed time runs ahead": {cutOff, func(s *sim) {
			s.unguardIncarnations = func(c *Core) { c.seals.base += 20 * time.Millisecond }
		}},
		"seals are read as expired": {cutOff, func(s *sim) {
			s.alterRoster = func(e *RosterEntry) {
				if e.Seal != nil {
					e.Seal.ExpiresMS = 0
				}
			}
		}},
		"leases without a seal are awaited for one lease": {alone, func(s *sim) { s.params.RecoveryWait = shortest }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, p := range lossPlaysOf(c.lose) {
				p.alter = c.alter
				if r := p.play(0); len(r.broken) > 0 {
					t.Logf("%v: %s", p, r.broken[0])
					return
				}
			}
			t.Error("no play finds it")
		})
	}
}

// TestMostBusyWorkersAreLostBesideIdleOnes guards against tasks that wait until idle workers, which
// are rarely polled, show that the owner reaches others.
func TestMostBusyWorkersAreLostBesideIdleOnes(t *testing.T) {
	s := newSim(0, 10)
	s.run(time.Second)
	spec := longRunningJob(1, 16)
	spec.Steps[0].MaxPerWorker = 3
	s.submit(spec)
	s.run(lossAt)
	busy := 0
	lost := map[job.TaskID]bool{}
	for _, w := range s.workers {
		if len(w.running) == 0 {
			continue
		}
		if busy++; busy > 2 { // the others stay
			w.cut = true
			for id := range w.running {
				lost[id] = true
			}
		}
	}
	since := s.now
	for !s.runAgain(lost) && s.now < since+time.Minute {
		s.step()
	}
	const leases = 6 * time.Second // 5 s at a clock that runs 2% slow, two polls, one tick
	if waited := s.now - since; waited > leases {
		t.Errorf("%d tasks at %d of %d busy workers ran again %v after the loss, want at most %v", len(lost), busy-2, busy, waited, leases)
	}
}
