package dispatch

import (
	"testing"
	"time"
)

// Bounds on the time from the loss of a worker until its tasks run again.
const (
	// lossLeases covers the leases at a lost worker: 5 s at a clock that runs 2% slow, two polls and
	// a tick.
	lossLeases = 6 * time.Second
	// lossLimit is how long a long-running task may have no run.
	lossLimit = 9 * time.Second
)

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
					for first := -5 * time.Second; first <= -3*time.Second; first += 500 * time.Millisecond {
						p := lossPlay{workers: 4, lose: lose, change: change, changes: 1, first: first, every: simTTL, alter: setup}
						if waited, _ := longestWait(t, p); waited > lossLeases {
							t.Errorf("%v: a task ran again %v after the loss, want at most %v", p, waited, lossLeases)
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
				for first := lossNoticed; first <= 4500*time.Millisecond; first += time.Second {
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
				for first := -time.Second; first <= 4*time.Second; first += 500 * time.Millisecond {
					p := lossPlay{workers: 4, lose: lose, change: storeSilent, changes: 1, first: first, alter: setup}
					if waited, _ := longestWait(t, p); waited > lossLimit {
						t.Errorf("%v: a task ran again %v after the loss, want at most %v", p, waited, lossLimit)
					}
				}
			}
		})
	}
}
