package dispatch

import (
	"flag"
	"testing"
	"time"
)

// moreSeeds is the number of seeds for each further kind of fault; the first one is that of the
// other runs.
var moreSeeds = flag.Uint64("dispatch.more", 1, "number of seeds of each further kind of fault")

// faultCase is one kind of fault in addition to those of faultsRun, and a safeguard whose removal
// the oracle detects under it.
type faultCase struct {
	name  string
	setup func(s *sim)
	// played counts how often it was injected.
	played func(s *sim) int
	// without names the safeguard that unguard switches off.
	without string
	unguard func(s *sim)
	// inShort: it also runs with -short.
	inShort bool
}

// refusingWorkers makes workers refuse starts, one at a time and for a while.
func refusingWorkers(s *sim) {
	s.refuseShare, s.noCapacityShare = 0.05, 0.03
	s.extra = func(s *sim) {
		s.workers[s.rng.IntN(len(s.workers))].unwellUntil = s.now + s.within(3*time.Second)
	}
}

func brokenConnections(s *sim) {
	refusingWorkers(s)
	s.breakShare = 0.03
}

func lateAnswers(s *sim) {
	s.longPolls, s.lateAnswerShare, s.delayShare = true, 0.15, 0.02
}

func changingWorkerEntries(s *sim) {
	s.oldEntries = true
	s.extra = func(s *sim) {
		if s.rng.IntN(4) == 0 {
			s.crash(s.rng.IntN(len(s.workers)))
			return
		}
		s.workers[s.rng.IntN(len(s.workers))].unlisted = s.now + s.within(8*time.Second)
	}
}

func quickRestarts(s *sim) {
	s.delayShare = 0.02
	s.extra = func(s *sim) {
		if s.rng.IntN(4) == 0 {
			s.restart(1 + s.rng.IntN(3))
		}
	}
}

// startsAfterGaps simulates owners that are replaced while they still send orders, at workers that
// carry out a start some time after they have checked its term.
func startsAfterGaps(s *sim) {
	s.startGapShare = 0.5
	s.extra = func(s *sim) {
		o := s.owner
		o.storeUnreachable = true
		s.later(4*time.Second, func() { o.storeUnreachable = false })
	}
}

func handovers(s *sim) {
	s.delayShare, s.stopBeforeHandover = 0.02, true
	s.extra = func(s *sim) {
		if s.rng.IntN(3) == 0 {
			s.handOver()
		}
	}
}

// workersLostBeforeOwners cuts workers off, and ends the owner once it has noticed that.
func workersLostBeforeOwners(s *sim) {
	s.longRunning = true
	s.extra = func(s *sim) {
		w := s.workers[s.rng.IntN(len(s.workers))]
		w.cut = true
		s.later(2*time.Second+s.within(6*time.Second), func() { w.cut = false })
		s.later(time.Second+s.within(1500*time.Millisecond), func() { s.restart(1 + s.rng.IntN(3)) })
	}
}

func lateWatches(s *sim) { s.lateWatches = true }

func rereads(s *sim) {
	s.lateWatches = true
	s.params.JobKept = 4 * time.Second // shorter than a run, so that jobs are dropped in it
	s.extra = func(s *sim) { s.reread() }
}

func movedTasks(s *sim) {
	s.longRunning, s.slowStops, s.delayShare = true, true, 0.02
	s.extra = func(s *sim) {
		if s.rng.IntN(2) == 0 {
			s.drain(s.rng.IntN(len(s.workers)))
		}
	}
}

func idleWorkers(s *sim) { s.idle(10 * time.Minute) }

func gangsLoseMembers(s *sim) {
	s.gangJobs, s.slowStops, s.longPolls, s.refuseShare, s.noCapacityShare, s.delayShare = true, true, true, 0.02, 0.02, 0.02
	s.extra = func(s *sim) {
		if s.rng.IntN(3) == 0 {
			s.restart(1 + s.rng.IntN(2))
		}
	}
}

func allFaults(s *sim) {
	brokenConnections(s)
	lateAnswers(s)
	lateWatches(s)
	s.oldEntries, s.longRunning, s.gangJobs, s.slowStops, s.stopBeforeHandover, s.notSentShare = true, true, true, true, true, 0.02
	s.breakShare, s.delayShare = 0.01, 0.01
	s.extra = func(s *sim) {
		i := s.rng.IntN(len(s.workers))
		switch s.rng.IntN(8) {
		case 0:
			s.restart(1 + s.rng.IntN(3))
		case 4:
			s.handOver()
		case 5:
			s.reread()
		case 1:
			s.drain(i)
		case 2:
			s.crash(i)
		case 3:
			s.workers[i].unwellUntil = s.now + s.within(3*time.Second)
		default:
			s.workers[i].unlisted = s.now + s.within(8*time.Second)
		}
	}
}

func moreFaultCases() []faultCase {
	return []faultCase{
		{
			name: "workers refuse starts", setup: refusingWorkers, played: func(s *sim) int { return s.refused },
			without: "a refusal after an unanswered copy proves nothing", unguard: func(s *sim) { s.ignoreTries, s.delayShare = true, 0.1 },
		},
		{
			name: "connections break before the answer", setup: brokenConnections, played: func(s *sim) int { return s.refused },
			without: "the transport sends nothing twice by itself", unguard: func(s *sim) { s.hiddenCopies = true },
		},
		{
			name: "answers overtake each other", setup: lateAnswers, played: func(*sim) int { return 1 },
			without: "a list that is older than a run says nothing of it", unguard: func(s *sim) { s.believeOldLists = true },
		},
		{
			name: "entries of workers come and go", setup: changingWorkerEntries, played: func(s *sim) int { return s.listedLate },
			without: "a worker that is not listed may live", unguard: func(s *sim) { s.believeEntries = true },
		},
		{
			name: "the owner's next life takes over at once", setup: quickRestarts, played: func(s *sim) int { return s.restarts },
			without: "the roster is kept", unguard: func(s *sim) { s.dropRoster = true },
		},
		{
			name: "starts are carried out after their check", setup: startsAfterGaps, played: func(s *sim) int { return s.gaps },
			without: "the first list of a takeover is asked for with a wait", unguard: func(s *sim) { s.skipPollWait = true },
		},
		{
			name: "owners hand over", setup: handovers, played: func(s *sim) int { return s.handovers },
			without: "an owner stops before it ends its lease", unguard: func(s *sim) { s.stopBeforeHandover, s.extra = false, (*sim).handOver },
		},
		{
			name: "owners are lost after workers", setup: workersLostBeforeOwners, played: func(s *sim) int { return s.restarts },
			without: "closed entries name what may run", unguard: func(s *sim) { s.dropTasks = true },
		},
		{
			name: "owners hear of jobs late and twice", setup: lateWatches, played: func(*sim) int { return 1 },
			without: "a replaced owner takes in no new jobs", unguard: func(s *sim) { s.params.OwnerTTL = s.params.OwnerHorizon },
		},
		{
			name: "lasting tasks are moved off workers that drain", setup: movedTasks, played: func(*sim) int { return 1 },
			without: "a list that is older than a run says nothing of it", unguard: func(s *sim) { s.believeOldLists = true },
		},
		{
			name: "gangs lose members", setup: gangsLoseMembers, played: func(s *sim) int { return len(s.gangs) },
			without: "a list that is older than a run says nothing of it", unguard: func(s *sim) { s.believeOldLists = true },
		},
		{
			name: "all of these at once", setup: allFaults, played: func(s *sim) int { return s.refused * s.listedLate * s.restarts },
			without: "workers check the term", unguard: func(s *sim) { s.noFence = true },
			inShort: true,
		},
		{
			name: "all jobs are read again", setup: rereads, played: func(s *sim) int { return s.rereads },
			without: "jobs that have ended are known", unguard: func(s *sim) { s.forgetEnded = true },
		},
		{
			name: "tasks crash their workers", setup: crashingTasks, played: func(s *sim) int { return s.crashed },
			without: "an owner keeps what it knows of crashes", unguard: func(s *sim) { s.forgetCrashes = true },
		},
		{
			name: "jobs ask for places and times", setup: shapesOfJobs, played: func(s *sim) int { return s.shaped },
			without: "the label is heeded", unguard: func(s *sim) { s.alterSpec = dropLabels },
		},
		{
			name: "workers were idle for long", setup: idleWorkers, played: func(*sim) int { return 1 },
			without: "the roster is kept", unguard: func(s *sim) { s.dropRoster = true },
		},
	}
}

// TestMoreFaults injects one more kind of fault at a time, in addition to all of faultsRun. With
// -short, as under the race detector, which a simulation in one goroutine does not need, it runs
// only the case that combines most of them.
func TestMoreFaults(t *testing.T) {
	for _, c := range moreFaultCases() {
		if testing.Short() && !c.inShort {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			played := 0
			for n := range *moreSeeds {
				seed := *simFirst + n
				s := faultsRun(seed, c.setup)
				played += c.played(s)
				checkAll(t, s)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
			if played == 0 {
				t.Error("the fault was not injected")
			}
		})
	}
}

// TestMoreFaultsAreFound checks that each kind of fault breaks a guarantee without its safeguard.
func TestMoreFaultsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without -short")
	}
	for _, c := range moreFaultCases() {
		t.Run(c.name+", without: "+c.without, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				s := faultsRun(seed, func(s *sim) { c.setup(s); c.unguard(s) })
				if len(s.oracle.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.broken[0])
					return
				}
			}
			t.Errorf("not detected in %d seeds", mutationSeeds)
		})
	}
}

// crashSeeds are the seeds of crashingTasks that once broke a guarantee.
var crashSeeds = []uint64{
	11, 13, 26, 39, 58, 75, // a task was started too often after an owner was lost, or a worker was silent
	19, 34, 82, // a job failed although its task only happened to run at the workers that crashed
}

// TestCrashSeeds repeats the seeds that once broke a guarantee.
func TestCrashSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without -short")
	}
	for _, seed := range crashSeeds {
		checkAll(t, faultsRun(seed, crashingTasks))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
