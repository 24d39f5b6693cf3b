package dispatch

import (
	"slices"
	"time"

	"leverstile.dev/job"
)

// Figures of the contact with workers.
const (
	// clockRate is the slowest that a worker's clock may run: 2% slow.
	clockRate = 0.98
	// clockMargin covers rounding to milliseconds and late timers.
	clockMargin = 50 * time.Millisecond
	// startWindow is how long a start order may take to arrive; a later one
	// is refused by the worker. It allows three tries of 400 ms.
	startWindow = 1400 * time.Millisecond
	// Waits of long polls. A worker whose serving tasks have fills beside
	// them is read more often than every half second, the window of its
	// readings; others only for ends and to renew the lease.
	holdWaitWatched = 450 * time.Millisecond
	holdWait        = 1500 * time.Millisecond
	// missedPoll is what a poll without an answer takes beyond its wait until the next one
	// renews the lease: its timeout, the pause, and a poll that only asks.
	missedPoll = 900 * time.Millisecond
	// holdGapUnsaved is the pause before the next poll while ends wait to be
	// persisted: the worker would answer at once.
	holdGapUnsaved = 60 * time.Millisecond
	// holdRetryMin and holdRetryMax bound the back-off of failed polls.
	holdRetryMin = 100 * time.Millisecond
	holdRetryMax = 800 * time.Millisecond
	// lifeFresh is the age of a worker's newest answer up to which the life that gave it is
	// there: a restart takes longer.
	lifeFresh = 200 * time.Millisecond
	// startGap is the longest that a worker takes from the check of a start's term to the
	// start itself, with a margin for one that lacks processor time.
	startGap = 50 * time.Millisecond
	// lateCall is how long after it was sent a call may still be carried out.
	lateCall = time.Second
	// suspectAfter unanswered calls in a row, no new task goes to a worker.
	suspectAfter = 2
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	info WorkerInfo
	// listed is set while the platform lists the worker.
	listed bool
	// synced is set once the worker has accepted the owner's term and its
	// lists were read.
	synced bool
	// partlyRead is set while its first answers under this term are full, or may lack a
	// run; see mayBeStarting.
	partlyRead bool
	// follows is set if another life of its id was known before; see inherit.
	follows bool
	// fencedAt is when it first answered a poll under this term; starts of earlier ones
	// that come later are refused.
	fencedAt time.Duration
	// clock is the worker's clock at clockAt or a little earlier.
	clock   int64
	clockAt time.Duration
	// lastDeadline is the latest deadline that any order may have given.
	lastDeadline int64
	// leaseSent is when the newest call with a deadline was sent.
	leaseSent time.Duration
	// sureDeadline is the latest deadline that the worker has confirmed.
	sureDeadline int64
	// forLease is set if its newest list was asked for early, to renew the lease.
	forLease bool
	// ackUnanswered is the highest acknowledgement that was sent since the newest answer;
	// endsDoubted is set if the life before had one, see doubtEnds.
	ackUnanswered uint64
	endsDoubted   bool
	// processed is the last end taken into account, seen the last that the
	// worker may forget; ends lists those between.
	processed, seen uint64
	told            uint64 // the mark that the worker has answered to
	ends            []pendingEnd
	attempts        []*attempt // in the order of their orders
	foreign         map[job.TaskID]foreignRun
	used            resources
	lasting         resources // declared, of lasting tasks
	shortTasks      int
	kept            bool // left to short tasks; see keptRoom
	unanswered      int
	holdFails       int
	knownAt         time.Duration // when it was first heard of
	lastAnswer      time.Duration // to a poll
	heardAt         time.Duration // when it last answered any call
	loss            contactLoss
	placedAt        time.Duration // when a run was last ordered there
	suspectUntil    time.Duration // until then a suspect counts as just started there
	holdSent        time.Duration // when the newest poll was sent
	answeredSent    time.Duration // when the newest poll with an answer was sent
	failedSent      time.Duration // when the newest poll without an answer was sent
	strikes         int
	failStreak      int
	avoidUntil      time.Duration
	fullUntil       time.Duration // until then it gets no tasks: it had no room, or a suspect is on trial
	overReason      string        // why its life is over, while that is put off
	leavesAt        time.Duration // a draining worker's last moment, at the latest
	load            workerLoad
	sample          sample
	reserved        time.Duration // until then room that was made is not made again
	openness        float64       // see rateOpenness
	cordoned        bool          // its VM waits for upkeep: no new tasks
	takenDown       bool          // its VM's upkeep has ended this life
	slowUntil       time.Duration // until then short tasks go elsewhere if they can
	coldUntil       time.Duration // see WorkerInfo.Cold
	slowStrikes     int
	slowness        float64 // logarithm of run times over the usual ones, smoothed
	speedMeasures   int
	over            time.Duration // for how long a task was over its target, by the newest list
	squeeze         float64       // further scale of paces, from 0 to 1
	recorded        bool          // the stored roster names it
	gates           gates
}

// resources is an amount that tasks take of a worker.
type resources struct{ cpu, memory, accelerators int64 }

// pendingEnd is an end that can be forgotten once its job's version is stored.
type pendingEnd struct {
	number  uint64
	task    job.TaskID
	job     *jobState
	version uint64
}

// foreignRun is a listed run that the owner did not expect; it is stopped.
type foreignRun struct {
	run    uint64
	askAt  time.Duration
	amount resources
	// unsized is set if nothing is known of the run's size: until it is
	// stopped, the worker counts as full.
	unsized bool
}

// amount returns what a task of the step takes of a worker's room.
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
	if s.spec.Lasting {
		w.lasting = w.lasting.add(s.amount(), 1)
	}
	if s.short() {
		w.shortTasks++
	}
}

func (w *worker) remove(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(b *attempt) bool { return a == b })
	s := a.task.step
	w.used = w.used.add(s.amount(), -1)
	if s.spec.Lasting {
		w.lasting = w.lasting.add(s.amount(), -1)
	}
	if s.short() {
		w.shortTasks--
	}
}

// fits reports whether one more task of that amount has room.
func (w *worker) fits(r resources) bool {
	used := w.used
	if len(w.foreign) > 0 {
		for _, f := range w.foreign {
			if f.unsized {
				return false
			}
			used = used.add(f.amount, 1)
		}
	}
	return used.cpu+r.cpu <= w.info.CPUMilli && used.memory+r.memory <= w.info.MemoryMiB &&
		used.accelerators+r.accelerators <= w.info.Accelerators
}

// unreached reports whether the worker left its newest polls unanswered.
func (w *worker) unreached() bool { return w.holdFails >= suspectAfter }

// noteClock takes in a clock reading; it reports false if it is older than one
// that was seen before, because answers overtook each other.
func (w *worker) noteClock(clock int64, now Instant) bool {
	if clock == 0 || clock < w.clock {
		return false
	}
	w.clock, w.clockAt = clock, now.Steady
	return true
}

// clockNow estimates the worker's clock, at most a little too low.
func (w *worker) clockNow(now Instant) int64 {
	return w.clock + (now.Steady - w.clockAt).Milliseconds()
}

// surelyPast reports whether the worker's clock has passed a deadline even if
// it runs as slowly as allowed.
func (w *worker) surelyPast(deadline int64, now Instant) bool {
	left := time.Duration(float64(deadline-w.clock)/clockRate) * time.Millisecond
	return now.Steady > w.clockAt+left+clockMargin
}

// deadlineIn returns a deadline on the worker's clock that is ahead from now,
// but not beyond the owner's right to give orders; 0 if that is over.
func (c *Core) deadlineIn(w *worker, ahead time.Duration, now Instant) int64 {
	clock := w.clockNow(now)
	deadline := min(clock+min(ahead, c.params.MaxTaskLease).Milliseconds(), w.leastAt(c.validUntil))
	if deadline <= clock {
		return 0
	}
	w.lastDeadline, w.leaseSent = max(w.lastDeadline, deadline), now.Steady
	return deadline
}

// waitForYoung returns how long a poll may wait so that, if it stays unanswered, the lease of
// what was started since the last answer can still be renewed in time.
func (w *worker) waitForYoung(now Instant) time.Duration {
	young := slices.ContainsFunc(w.attempts, func(a *attempt) bool { return a.ackClock != 0 && !a.listed })
	if !young {
		return holdWait
	}
	left := time.Duration(w.sureDeadline-w.clockNow(now)) * time.Millisecond
	return max(left-missedPoll, 0)
}

// leastAt returns the least that the worker's clock may show at a time to come. It
// counts from the last reading: the clock of a worker that is idle for a minute may
// be 1.2 s behind the estimate, by which a lease would outlast the owner's right.
func (w *worker) leastAt(t time.Duration) int64 {
	return w.clock + int64(float64((t-w.clockAt).Milliseconds())*clockRate)
}
