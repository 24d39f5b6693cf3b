// Package copies decides whether a running task gets a second run on another worker: a copy is
// started if it is expected to end earlier than the first run by more than a start costs, within
// a budget.
package copies

import "time"

// Reason is why a copy is started.
type Reason uint8

// Reasons for a copy, in the order in which they are examined.
const (
	// None: the first run is expected to end in time.
	None Reason = iota
	// Silent: the worker of the first run does not answer.
	Silent
	// Moved: the first run is being stopped, because its worker drains or is slow, and the
	// task would start again only after the end of that run is known.
	Moved
	// Overdue: the first run takes much longer than the finished tasks of its step.
	Overdue
	// Slow: the worker of the first run is slow, and so is the run.
	Slow
)

// String returns the name of the reason, as logged.
func (r Reason) String() string {
	return [...]string{"none", "worker silent", "run is being stopped", "run overdue", "worker slow"}[r]
}

// Late reports whether a copy is started because its first run takes long, though its worker answers.
func (r Reason) Late() bool { return r == Overdue || r == Slow }

// Rules are the parameters of the decision.
type Rules struct {
	// StartCost is the time from the decision until a copy works, and the least time by which
	// the copy must be expected to end earlier.
	StartCost time.Duration
	// StopTime is how long it takes until the end of a run that is being stopped is known.
	StopTime time.Duration
	// OverdueRatio is the multiple of the median run time of the step's finished tasks from
	// which a run is overdue. MinSamples is the number of finished tasks that the median
	// requires; half of the step's tasks are enough too.
	OverdueRatio float64
	MinSamples   int
	// PoolShare is the share of the pool's processors that copies may hold.
	PoolShare float64
	// JobMin and JobShare bound the copies per job: the larger of JobMin copies and this share of the
	// job's tasks.
	JobMin   int
	JobShare float64
	// Overdue and slow runs of a kind of task get no copies if, after MinTries, fewer than MinWinShare of the
	// copies were done first: such tasks take long on any try. One is tried again every
	// RetryInterval.
	MinTries      int
	MinWinShare   float64
	RetryInterval time.Duration
}

// DefaultRules returns the parameters that are used unless a test replaces them.
func DefaultRules() Rules {
	return Rules{
		// A first start takes 12 ms on an idle owner; a call to a worker under load up to 100 ms.
		StartCost: 100 * time.Millisecond,
		// Workers take up to 900 ms to stop a run.
		StopTime:     900 * time.Millisecond,
		OverdueRatio: 2.5,
		MinSamples:   3,
		PoolShare:    0.05,
		JobMin:       2,
		JobShare:     0.1,
		MinTries:     8, MinWinShare: 0.25, RetryInterval: 5 * time.Second,
	}
}

// Run describes the first run of a task at the time of the decision.
type Run struct {
	// Age is the time since the run was started.
	Age time.Duration
	// Usual is the expected time of a run on a healthy worker, 0 if unknown.
	Usual time.Duration
	// Median is the median run time of the step's finished tasks, Samples their number; Tasks
	// is the number of tasks of the step.
	Median         time.Duration
	Samples, Tasks int
	// Silent is set if the worker of the run does not answer. LeaseLeft is the time until its
	// leases have expired, after which the task starts again without a copy.
	Silent    bool
	LeaseLeft time.Duration
	// Stopping is set if the run is being stopped so that the task runs elsewhere.
	Stopping bool
	// WorkerSlow is set if the tasks of the worker run much longer than elsewhere.
	WorkerSlow bool
	// Left is the remaining time of the run by its measured speed, 0 if it was not measured.
	Left time.Duration
	// Futile is set if copies of overdue and slow runs of this kind of task are rarely done first; see Record.
	Futile bool
}

// Decision is whether a copy is worth its start, and the values that decided.
type Decision struct {
	Reason Reason
	// FirstEnd and CopyEnd are the times until the first run and the copy are expected to end.
	FirstEnd, CopyEnd time.Duration
}

// Start reports whether a copy is to be started.
func (d Decision) Start() bool { return d.Reason != None }

// Decide returns whether a copy of the run is expected to end earlier than the run itself by
// more than the cost of a start.
func (r Rules) Decide(run Run) Decision {
	usual := run.Usual
	if r.sampled(run) {
		usual = run.Median
	}
	if usual <= 0 {
		return Decision{}
	}
	d := Decision{CopyEnd: r.StartCost + usual}
	d.Reason, d.FirstEnd = r.firstEnd(run, usual)
	if d.FirstEnd <= d.CopyEnd+r.StartCost {
		d.Reason = None
	}
	return d
}

// firstEnd returns the first reason that applies to the run, and when the task is expected to
// end without a copy.
func (r Rules) firstEnd(run Run, usual time.Duration) (Reason, time.Duration) {
	left := run.Left
	if left <= 0 {
		// A run that is past its usual time is expected to take as long again as it has run.
		left = max(usual-run.Age, 0)
		if run.Age > usual {
			left = run.Age
		}
	}
	overdue := r.sampled(run) && float64(run.Age) > r.OverdueRatio*float64(run.Median)
	switch {
	case run.Silent:
		return Silent, max(run.LeaseLeft, 0) + r.StartCost + usual
	case run.Stopping && !(run.WorkerSlow && run.Futile):
		return Moved, r.StopTime + r.StartCost + usual
	case run.Stopping || run.Futile:
		return None, left
	case overdue:
		return Overdue, left
	case run.WorkerSlow && run.Left > 0:
		return Slow, left
	default:
		return None, left
	}
}

// sampled reports whether enough tasks of the step have finished for a median.
func (r Rules) sampled(run Run) bool {
	return run.Median > 0 && (run.Samples >= r.MinSamples || run.Samples > 0 && 2*run.Samples >= run.Tasks)
}

// Budget is the use of copies at the time of a decision.
type Budget struct {
	// PoolCPU is the processors of the pool, CopyCPU those that copies hold, and CPU those of one
	// more copy, all in thousandths of a core.
	PoolCPU, CopyCPU, CPU int64
	// JobTasks is the number of tasks of the job, JobCopies how many copies it has had.
	JobTasks, JobCopies int
	// Failures is the number of failures of the task that are known, Runs that of its runs that
	// may still fail. MaxAttempts is the queue's limit of failures, 0 for none.
	Failures, Runs, MaxAttempts int
}

// Allows reports whether the budget allows one more copy.
func (r Rules) Allows(b Budget) bool {
	return r.AttemptsLeft(b) && r.JobAllows(b) && float64(b.CopyCPU+b.CPU) <= r.PoolShare*float64(b.PoolCPU)
}

// AttemptsLeft reports whether the task may start once more, if all of its runs fail.
func (r Rules) AttemptsLeft(b Budget) bool {
	return b.MaxAttempts == 0 || b.Failures+b.Runs < b.MaxAttempts
}

// JobAllows reports whether the job may have one more copy.
func (r Rules) JobAllows(b Budget) bool {
	return float64(b.JobCopies+1) <= max(float64(r.JobMin), r.JobShare*float64(b.JobTasks))
}

// Record counts the copies of overdue and slow runs of one kind of task, and those that were done first.
type Record struct {
	tries, won int
	lastTry    time.Duration
}

// maxRecord is the number of tries at which both counts are halved, so that old ones count less.
const maxRecord = 32

// Try records the start of a copy.
func (c *Record) Try(now time.Duration) {
	c.lastTry = now
	if c.tries++; c.tries >= maxRecord {
		c.tries, c.won = c.tries/2, c.won/2
	}
}

// Won records that a copy was done before the first run of its task.
func (c *Record) Won() { c.won = min(c.won+1, c.tries) }

// Futile reports whether one more copy is too unlikely to be done first.
func (c *Record) Futile(r Rules, now time.Duration) bool {
	return c.tries >= r.MinTries && float64(c.won) < r.MinWinShare*float64(c.tries) && now-c.lastTry < r.RetryInterval
}
