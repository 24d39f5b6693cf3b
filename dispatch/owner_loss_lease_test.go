package dispatch

import (
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// Bounds on the time from the loss of a worker until its tasks run again.
const (
	// lossLimit is how long a long-running task may have no run.
	lossLimit = 9 * time.Second
	// oneLease covers the leases at a lost worker, 5.2 s by a clock that runs 2% slow, a poll and a
	// tick, and 1.5 s from which a step is placed beside tasks that it may hurt.
	oneLease = 7500 * time.Millisecond
)

// momentStep is the step of the moment at which the owner is replaced, in the sweeps of waits.
func momentStep() time.Duration {
	if testing.Short() {
		return 1500 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// restartableKnown is how long workers that may restart under their ids are known before they are
// lost in a sweep: until then their leases may be of calls meant for an earlier incarnation.
const restartableKnown = 12 * time.Second

// longLeases has workers accept leases of twice the length that owners give.
func longLeases(s *sim) { s.params.MaxTaskLease = 2 * DefaultTaskLease }

// restartable has workers report their start, so that they may restart under their ids; they accept
// long leases.
func restartable(s *sim) {
	longLeases(s)
	s.useSameIDs()
}

// lossSetups are the kinds of workers in the sweeps of waits for lost ones.
var lossSetups = map[string]func(s *sim){
	"accept 6 s":  func(*sim) {},
	"accept 10 s": longLeases,
	"accept 10 s and may restart under their id": restartable,
}

// TestWorkersLostSoonAfterATakeoverAreAwaitedForOneLease guards against an owner that takes the
// leases of its predecessors for the longest that a worker accepts.
func TestWorkersLostSoonAfterATakeoverAreAwaitedForOneLease(t *testing.T) {
	for name, setup := range lossSetups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, lose := range lossKinds[:3] {
				for _, change := range ownerChanges {
					for first := -5 * time.Second; first <= -3*time.Second; first += momentStep() {
						p := lossPlay{workers: 4, lose: lose, change: change, changes: 1, first: first, every: simTTL, warmUp: restartableKnown, alter: setup}
						if waited, _ := longestWait(t, p); waited > oneLease {
							t.Errorf("%v: a task ran again %v after the loss, want at most %v", p, waited, oneLease)
						}
					}
				}
			}
		})
	}
}

// TestSealsOfWorkersThatMayRestartExpireWithTheirLeases guards against seals that cover the longest
// lease of a next incarnation also for runs that the worker had listed.
func TestSealsOfWorkersThatMayRestartExpireWithTheirLeases(t *testing.T) {
	alone, _ := longestWait(t, lossPlay{workers: 4, lose: lossKinds[0], change: ownerChanges[0], alter: restartable})
	for _, lose := range lossKinds[:3] {
		for _, change := range ownerChanges {
			for _, changes := range []int{1, 2} {
				for first := 2 * time.Second; first <= 5*time.Second; first += 2 * momentStep() {
					p := lossPlay{workers: 4, lose: lose, change: change, changes: changes, first: first, every: simTTL + time.Second, alter: restartable}
					waited, takeovers := longestWait(t, p)
					if limit := alone + time.Duration(takeovers)*(takeoverTime+elapsedDelay); waited > limit {
						t.Errorf("%v: a task ran again %v after the loss, %d takeovers later, want at most %v; without a change %v", p, waited, takeovers, limit, alone)
					}
				}
			}
		}
	}
}

// storeSilent has the store fall silent until the owner's lease is over. The owner lives on.
var storeSilent = ownerChange{"without the store until its lease is over", func(s *sim) {
	s.storeDown, s.ownersEnd = true, true
	s.later(4500*time.Millisecond, func() { s.storeDown = false })
}}

// TestOwnerThatLivesTellsItsSuccessorAboutLostWorkers guards against a next owner that waits for
// leases of which its predecessor, whose process lives, knows that they are over.
func TestOwnerThatLivesTellsItsSuccessorAboutLostWorkers(t *testing.T) {
	for name, setup := range lossSetups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, lose := range lossKinds[:3] {
				for first := -time.Second; first <= 4*time.Second; first += momentStep() {
					p := lossPlay{workers: 4, lose: lose, change: storeSilent, changes: 1, first: first, alter: setup}
					if waited, _ := longestWait(t, p); waited > lossLimit {
						t.Errorf("%v: a task ran again %v after the loss, want at most %v", p, waited, lossLimit)
					}
				}
			}
		})
	}
}

// TestLeasesOfAnEarlierIncarnationAreAwaitedAtARestartedWorker guards against a second run beside one
// whose lease the worker took from a call meant for its previous incarnation, by another clock: until
// its entry is fenced, the longest lease that it accepts is awaited.
func TestLeasesOfAnEarlierIncarnationAreAwaitedAtARestartedWorker(t *testing.T) {
	id := IncarnationID("w1", 77)
	for _, fenced := range []bool{false, true} {
		now := Instant{Steady: time.Second}
		core := leasedCore(Params{RecoveryWait: time.Minute}, 2, now)
		longest := core.params.MaxTaskLease
		core.Recover([]RosterEntry{{ID: id, Address: "a", Fenced: fenced}}, now)
		reply := PollReply{ClockMS: 1000, Born: 77}
		core.PollDone(core.PlanPoll(id, now).Request, reply, OutcomeOK, now)
		now.Steady += startGap // the first list may lack a run
		core.PollDone(core.PlanPoll(id, now).Request, reply, OutcomeOK, now)
		awaited, want := time.Duration(core.workers[id].lastDeadline-reply.ClockMS)*time.Millisecond, longest
		if fenced {
			want = DefaultTaskLease
		}
		if awaited < want || awaited > want+100*time.Millisecond {
			t.Errorf("fenced %v: leases of %v are awaited, want %v", fenced, awaited, want)
		}
	}
}

// tickTime is more than the time between two ticks of the simulation.
const tickTime = 50 * time.Millisecond

// TestWorkerIsFencedOnceLeasesOfEarlierIncarnationsAreOver guards against an entry that is fenced while
// such a lease may last, and against one that never is.
func TestWorkerIsFencedOnceLeasesOfEarlierIncarnationsAreOver(t *testing.T) {
	s := newSim(0, 2)
	restartable(s)
	for s.now < 20*time.Second {
		s.step()
		for _, w := range s.owner.core.workers {
			over := w.fencedAt > 0 && s.now >= w.fencedAt+s.owner.core.longestLease()
			if fenced := s.owner.core.roster.entries[w.info.ID].Fenced; fenced && !over || !fenced && over && s.now > w.fencedAt+s.owner.core.longestLease()+tickTime {
				t.Fatalf("%v: %s is fenced: %v, first answer at %v", s.now, w.info.ID, fenced, w.fencedAt)
			}
		}
	}
	for _, e := range entriesOf(t, s) {
		if !e.Fenced {
			t.Errorf("the stored entry of %s is not fenced", e.ID)
		}
	}
}

// entriesOf returns the entries that the store holds.
func entriesOf(t *testing.T, s *sim) []RosterEntry {
	t.Helper()
	list, err := s.roster.read()
	if err != nil || len(list) == 0 {
		t.Fatalf("%d entries: %v", len(list), err)
	}
	return list
}

// restartedThenCut are workers that restart under their ids and are cut off right after that: the next
// incarnation carries out starts that were sent to the previous one.
var restartedThenCut = lossKind{"restarted under their ids, then cut off", func(s *sim, i int) {
	w := s.workers[i]
	w.advance()
	s.oracle.crashed(w)
	w.alive, w.running = false, map[job.TaskID]*simRun{}
	s.later(20*time.Millisecond, func() { s.workers[i] = s.newWorker(i); s.workers[i].cut = true })
}}

// restartedThenRead are the same, but that their owner may learn of the next incarnation before they are
// cut off.
var restartedThenRead = lossKind{"restarted under their ids, read, then cut off", func(s *sim, i int) {
	restartedThenCut.lose(s, i)
	s.later(25*time.Millisecond, func() { s.workers[i].cut = false })
	s.later(250*time.Millisecond, func() { s.workers[i].cut = true })
}}

// startsBeforeTheLoss has long-running tasks start right before the loss of a lossPlay; the workers
// carry the starts out late and without an answer.
func startsBeforeTheLoss(s *sim) {
	restartable(s)
	s.later(lossAt-100*time.Millisecond, func() {
		s.delayShare = 1
		s.submit(longRunningJob(3, 20))
	})
	s.later(lossAt, func() { s.delayShare = 0 })
}

// TestNoTaskRunsTwiceBesideLostWorkersThatMayRestart guards against a start while a run may be alive at
// a lost worker, or at the next incarnation under its id.
func TestNoTaskRunsTwiceBesideLostWorkersThatMayRestart(t *testing.T) {
	for _, lose := range slices.Concat(lossKinds, lossIslands, []lossKind{restartedThenCut, restartedThenRead}) {
		t.Run(lose.name, func(t *testing.T) {
			t.Parallel()
			for i, p := range lossPlaysOf(lose) {
				if testing.Short() && i%4 > 0 {
					continue
				}
				p.alter = startsBeforeTheLoss
				for _, b := range p.play(uint64(i)).broken {
					t.Errorf("%v: %s", p, b)
				}
			}
		})
	}
}

// TestRestartSweepFindsFaults checks that the sweep fails if starts that a worker has not listed are
// awaited no longer than its listed runs.
func TestRestartSweepFindsFaults(t *testing.T) {
	for i, p := range lossPlaysOf(restartedThenCut) {
		p.alter = func(s *sim) {
			startsBeforeTheLoss(s)
			s.alterRoster = func(e *RosterEntry) {
				if e.Seal != nil && e.Seal.ListedExpireMS > 0 {
					e.Seal.ExpiresMS = e.Seal.ListedExpireMS
				}
			}
		}
		if r := p.play(uint64(i)); len(r.broken) > 0 {
			t.Logf("%v: %s", p, r.broken[0])
			return
		}
	}
	t.Error("no play finds it")
}

// tellingPlays returns plays of a way to lose workers beside an owner that lives and tells its successor
// which leases may last.
func tellingPlays(lose lossKind, setup func(s *sim)) (plays []lossPlay) {
	handOver := ownerChanges[len(ownerChanges)-1]
	for _, change := range []ownerChange{storeSilent, handOver} {
		for first := -time.Second; first <= 4*time.Second; first += 250 * time.Millisecond {
			plays = append(plays, lossPlay{workers: 2, lose: lose, change: change, changes: 1, first: first, alter: setup})
		}
	}
	return plays
}

// TestNoTaskRunsTwiceBesideAnOwnerThatTells guards against a start while a run may be alive at a lost
// worker whose leases the previous owner has told.
func TestNoTaskRunsTwiceBesideAnOwnerThatTells(t *testing.T) {
	for _, lose := range slices.Concat(lossKinds, lossIslands, []lossKind{restartedThenCut, restartedThenRead}) {
		t.Run(lose.name, func(t *testing.T) {
			t.Parallel()
			for i, p := range slices.Concat(tellingPlays(lose, longLeases), tellingPlays(lose, startsBeforeTheLoss)) {
				if testing.Short() && i%4 > 0 {
					continue
				}
				for _, b := range p.play(uint64(i)).broken {
					t.Errorf("%v: %s", p, b)
				}
			}
		})
	}
}

// TestTellingSweepFindsFaults checks that the sweep fails without each safeguard of what an owner tells.
func TestTellingSweepFindsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		lose  lossKind
		setup func(s *sim)
		alter func(e *EndedTerm)
	}{
		"leases count as over": {lossKinds[2], longLeases, func(e *EndedTerm) { *e = e.After(time.Hour) }},
		"starts that were not listed are left out": {restartedThenCut, startsBeforeTheLoss, func(e *EndedTerm) {
			for i := range e.Workers {
				e.Workers[i].LeftMS = e.Workers[i].ListedLeftMS
			}
		}},
		"workers are left out": {lossKinds[2], longLeases, func(e *EndedTerm) { e.Workers = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, p := range tellingPlays(c.lose, c.setup) {
				setup := p.alter
				p.alter = func(s *sim) {
					setup(s)
					s.alterEnded = c.alter
				}
				if r := p.play(uint64(i)); len(r.broken) > 0 {
					t.Logf("%v: %s", p, r.broken[0])
					return
				}
			}
			t.Error("no play finds it")
		})
	}
}

// TestTasksOfADroppedIncarnationMayRunInTheNextOne guards against a start while a run may be alive at the
// next incarnation of a worker, to which the previous owner had transferred it, if it could store neither
// the end of the one nor the entry of the other.
func TestTasksOfADroppedIncarnationMayRunInTheNextOne(t *testing.T) {
	now := Instant{Steady: time.Second}
	dropped, other := IncarnationID("w1", 77), IncarnationID("w2", 77)
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	core.Recover([]RosterEntry{
		{ID: dropped, Address: "a", Closed: true, Tasks: []string{"j.0.0.0"}},
		{ID: other, Address: "b", Closed: true, Tasks: []string{"j.0.0.1"}},
	}, now)
	core.PredecessorEnded(EndedTerm{Workers: []EndedLeases{{ID: "w1", Born: 88, LeftMS: 12_000}}}, now)
	for id, want := range map[WorkerID]time.Duration{dropped: 12 * time.Second, other: 0} {
		if wait := core.unresolved[id].until - now.Steady; wait != want+clockMargin {
			t.Errorf("%s is awaited for %v, want %v", id, wait, want+clockMargin)
		}
	}
}
