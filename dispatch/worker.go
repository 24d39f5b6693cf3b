package dispatch

import (
	"slices"
	"time"

	"leverstile.dev/job"
)

// Timeouts and limits of calls to workers.
const (
	// clockRate is the slowest rate at which a worker's clock may run: 2% slow.
	clockRate = 0.98
	// clockMargin covers rounding to milliseconds and late timers.
	clockMargin = 50 * time.Millisecond
	// startWindow is how long a start order may take to arrive; the worker refuses
	// a later one. It allows three tries of 400 ms.
	startWindow = 1400 * time.Millisecond
	// Waits of long polls. A worker that runs fill tasks beside serving tasks is
	// polled more often than every half second, the window of its readings;
	// others only for ends and to renew the lease; see also pollWaitCopies.
	pollWaitWatched = 450 * time.Millisecond
	pollWaitDefault = 1500 * time.Millisecond
	// pollWaitSealed is the wait of polls that extend no lease, since the worker's stored entry
	// may be sealed: the next one may extend it.
	pollWaitSealed = 400 * time.Millisecond
	// unansweredPollTime is the time that an unanswered poll takes beyond its wait until the
	// next one renews the lease: its timeout, the pause, and a poll that renews no lease.
	unansweredPollTime = 900 * time.Millisecond
	// pollPauseUnstoredEnds is the pause before the next poll while ends wait to be
	// persisted: the worker would answer at once.
	pollPauseUnstoredEnds = 60 * time.Millisecond
	// pollRetryMin and pollRetryMax bound the back-off of failed polls.
	pollRetryMin = 100 * time.Millisecond
	pollRetryMax = 800 * time.Millisecond
	// incarnationFresh is the age of a worker's newest answer up to which the incarnation
	// that gave it still runs: a restart takes longer.
	incarnationFresh = 200 * time.Millisecond
	// startGap is the longest time that a worker takes from the check of a start's term to
	// the start itself, with a margin for a worker that lacks processor time.
	startGap = 50 * time.Millisecond
	// maxCallDelay is how long after it was sent a call may still be carried out.
	maxCallDelay = time.Second
	// unreachedAfter is the number of consecutive unanswered calls after which a worker
	// gets no new tasks.
	unreachedAfter = 2
)

// worker is the owner's record of one incarnation of a worker.
type worker struct {
	info WorkerInfo
	// listed is set while the platform lists the worker.
	listed bool
	// synced is set once the worker has accepted the owner's term and the owner
	// has read its lists.
	synced bool
	// partlyRead is set while its first answers under this term are full, or may lack a
	// run; see mayBeStarting.
	partlyRead bool
	// hasPredecessor is set if another incarnation of its id was known before.
	hasPredecessor bool
	// fencedAt is when it first answered a poll under this term; it refuses starts of
	// earlier terms that arrive later.
	fencedAt time.Duration
	// clock is the reading of the worker's clock at clockAt or a little earlier.
	clock   int64
	clockAt time.Duration
	// lastDeadline is the latest deadline that any order may have set.
	lastDeadline int64
	// leaseSent is when the newest call with a deadline was sent.
	leaseSent time.Duration
	// confirmedDeadline is the latest deadline that the worker has confirmed.
	confirmedDeadline int64
	// forLease is set if its newest list was requested early, to renew the lease.
	forLease bool
	// unansweredAck is the highest acknowledgement of ends sent since the newest answer.
	// endsUncertain is set if the previous incarnation had one; see excludeForAcknowledgement.
	unansweredAck uint64
	endsUncertain bool
	// processedEnd is the number of the last end processed, storedEnd that of the last
	// one that the worker may forget, acknowledgedEnd that of the last one that a poll with
	// an answer acknowledged; ends lists those after storedEnd.
	processedEnd, storedEnd uint64
	acknowledgedEnd         uint64
	ends                    []pendingEnd
	attempts                []*attempt // in the order of their start orders
	unexpected              map[job.TaskID]unexpectedRun
	used                    resources
	longRunning             resources // declared, of long-running tasks
	shortTasks              int
	isReserved              bool // reserved for short tasks; see reservedCapacity
	unansweredCalls         int
	failedPolls             int
	knownAt                 time.Duration // when the owner first had a record of it
	lastPollAnswer          time.Duration // when it last answered a poll
	lastContact             time.Duration // when it last answered any call
	loss                    contactLoss
	placedAt                time.Duration // when a run was last ordered there
	suspectUntil            time.Duration // until then a suspect, a task that may crash its worker, counts as recently started there
	pollSent                time.Duration // when the newest poll was sent
	pollWaitSent            time.Duration // how long the newest poll may wait for an end
	answeredPollSent        time.Duration // when the newest poll with an answer was sent
	failedPollSent          time.Duration // when the newest poll without an answer was sent
	avoidStrikes            int           // times it was avoided, less one for each task done; each doubles the next pause
	failing                 []failingJob  // jobs with failures here since the last success
	failStreak              int           // failures in a row that speak against it; see failuresInRow
	avoidedBefore           bool          // it was avoided and has had no success since
	avoidUntil              time.Duration // until then it gets no tasks: its tasks fail, or it refuses work
	fullUntil               time.Duration // until then it gets no tasks: it had no capacity, or a suspect is on trial there
	endReason               string        // why its incarnation has ended, while that conclusion is deferred
	leavesAt                time.Duration // latest time at which a draining worker ends
	load                    workerLoad
	sample                  sample
	noPreemptionUntil       time.Duration // until then no more fill tasks are preempted here
	keptUntil               time.Duration // until then it takes no fill tasks; see keptForTicket
	fillAcceptance          float64       // see rateFillAcceptance
	cordoned                bool          // its VM waits for maintenance: no new tasks
	endedByMaintenance      bool          // the maintenance of its VM has ended this incarnation
	slowUntil               time.Duration // until then only long-running tasks and tasks of starved jobs start here; see avoidsSlow
	coldUntil               time.Duration // see WorkerInfo.Cold
	slowStrikes             int           // times it was found slow; each doubles the next pause
	slowness                float64       // logarithm of its run times relative to the usual ones, smoothed
	speedMeasures           int
	overTarget              time.Duration   // how long a task was over its target, by the newest list
	paceScale               float64         // factor on the paces of its fill tasks, from 0.05 to 1
	recorded                bool            // the stored roster has an open entry of it; see roster
	sealed                  bool            // the stored entry may have a seal; see Seal
	placementBlocks         placementBlocks // as of the latest pass
}

// resources is an amount of a worker's capacity that tasks use.
type resources struct{ cpu, memory, accelerators int64 }

// pendingEnd is an end that can be forgotten once its job's version is stored.
type pendingEnd struct {
	number  uint64
	task    job.TaskID
	job     *jobState
	version uint64
}

// unexpectedRun is a listed run that the owner did not expect. The owner stops it, and
// repeats the stop at nextStopAt.
type unexpectedRun struct {
	run        uint64
	nextStopAt time.Duration
	amount     resources
	// unsized is set if the run's size is not known: until the run is stopped, the
	// worker counts as full.
	unsized bool
}

// amount returns the capacity that a task of the step uses at a worker.
func (s *stepRun) amount() resources { return amountOf(s.spec) }

func amountOf(spec *job.Step) resources {
	r := resources{spec.CPUMilli, spec.MemoryMiB, spec.Accelerators}
	if spec.Fills {
		r.cpu = 0
	}
	return r
}

func (r resources) add(o resources, sign int64) resources {
	return resources{r.cpu + sign*o.cpu, r.memory + sign*o.memory, r.accelerators + sign*o.accelerators}
}

func (w *worker) add(a *attempt) {
	w.attempts = append(w.attempts, a)
	s := a.task.step
	w.used = w.used.add(s.amount(), 1)
	if s.spec.LongRunning {
		w.longRunning = w.longRunning.add(s.amount(), 1)
	}
	if s.short() {
		w.shortTasks++
	}
}

func (w *worker) remove(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(b *attempt) bool { return a == b })
	s := a.task.step
	w.used = w.used.add(s.amount(), -1)
	if s.spec.LongRunning {
		w.longRunning = w.longRunning.add(s.amount(), -1)
	}
	if s.short() {
		w.shortTasks--
	}
}

// fits reports whether the worker has capacity for one more task of that amount.
func (w *worker) fits(r resources) bool {
	used := w.used
	if len(w.unexpected) > 0 {
		for _, f := range w.unexpected {
			if f.unsized {
				return false
			}
			used = used.add(f.amount, 1)
		}
	}
	return used.cpu+r.cpu <= w.info.CPUMilli && used.memory+r.memory <= w.info.MemoryMiB &&
		used.accelerators+r.accelerators <= w.info.Accelerators
}

// unreached reports whether the worker did not answer its newest polls, unreachedAfter at least.
func (w *worker) unreached() bool { return w.failedPolls >= unreachedAfter }

// recordClock records a reading of the worker's clock. It reports false if there is none, or
// if it is older than one recorded before, because answers arrived out of order.
func (w *worker) recordClock(clock int64, now Instant) bool {
	if clock == 0 || clock < w.clock {
		return false
	}
	w.clock, w.clockAt = clock, now.Steady
	return true
}

// clockNow estimates the worker's clock, at most slightly too low.
func (w *worker) clockNow(now Instant) int64 {
	return w.clock + (now.Steady - w.clockAt).Milliseconds()
}

// deadlinePassed reports whether the worker's clock has passed a deadline even if
// it runs as slowly as allowed.
func (w *worker) deadlinePassed(deadline int64, now Instant) bool {
	return now.Steady > w.passes(deadline)
}

// passes returns the steady time by which the worker's clock has passed a deadline, even if it runs
// as slowly as allowed.
func (w *worker) passes(deadline int64) time.Duration {
	left := time.Duration(float64(deadline-w.clock)/clockRate) * time.Millisecond
	return w.clockAt + left + clockMargin
}

// deadlineIn returns a deadline on the worker's clock that is the given time ahead,
// but not beyond the owner's right to give orders; 0 if that right has ended, or the stored entry of
// the worker may be sealed.
func (c *Core) deadlineIn(w *worker, ahead time.Duration, now Instant) int64 {
	if w.sealed {
		return 0
	}
	clock := w.clockNow(now)
	deadline := min(clock+min(ahead, c.params.MaxTaskLease).Milliseconds(), w.minClockAt(c.validUntil))
	if deadline <= clock {
		return 0
	}
	w.lastDeadline, w.leaseSent = max(w.lastDeadline, deadline), now.Steady
	return deadline
}

// clockError returns by how much clockNow may exceed the worker's clock. Without it, a lease that
// is granted to a worker that was idle for a minute may last 1.2 s longer than the next owner waits.
func (w *worker) clockError(now Instant) time.Duration {
	return time.Duration(float64(now.Steady-w.clockAt) * (1 - clockRate))
}

// pollWaitForRecentRuns returns how long a poll may wait so that, if it stays unanswered,
// the leases of runs started since the last answer can still be renewed in time.
func (w *worker) pollWaitForRecentRuns(now Instant) time.Duration {
	recent := slices.ContainsFunc(w.attempts, func(a *attempt) bool { return a.ackClock != 0 && !a.listed })
	if !recent {
		return pollWaitDefault
	}
	left := time.Duration(w.confirmedDeadline-w.clockNow(now)) * time.Millisecond
	return max(left-unansweredPollTime, 0)
}

// minClockAt returns the least that the worker's clock may show at a future time. It
// counts from the last reading: the clock of a worker that is idle for a minute may
// be 1.2 s behind the estimate, by which a lease would outlast the owner's right.
func (w *worker) minClockAt(t time.Duration) int64 {
	return w.clock + int64(float64((t-w.clockAt).Milliseconds())*clockRate)
}
