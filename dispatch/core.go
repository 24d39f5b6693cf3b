package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// Instant is a reading of both clocks of the process. Decisions use Steady;
// UnixMS only serves times that customers name.
type Instant struct {
	Steady time.Duration
	UnixMS int64
}

// Params are the figures that decisions rest on.
type Params struct {
	// TaskLease is how far ahead leases on what runs at workers are given.
	TaskLease time.Duration
	// MaxTaskLease is the longest lease that a worker accepts.
	MaxTaskLease time.Duration
	// OverTarget is how long fills may keep a serving task over its target.
	OverTarget time.Duration
	// JobKept is how long a finished job's record is kept.
	JobKept time.Duration
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// Restore is how long a task reads its checkpoint at a start.
	Restore time.Duration
	// PaceAfter is the age from which a run can be paced.
	PaceAfter time.Duration
	// OwnerTTL is the owner's lease at the store. Until OwnerHorizon after its
	// last renewal, an owner that does not reach the store gives orders.
	OwnerTTL, OwnerHorizon time.Duration
	// Maintenance is how long a VM is down for its upkeep.
	Maintenance time.Duration
	// RoomNotice is how old the list of workers may be at starts in a service whose
	// workers do not guard their room: it may have shrunk since. 0 is no bound.
	RoomNotice time.Duration
	// HolderGap is the least time between orders for VMs by two owners.
	HolderGap time.Duration
	// RecoveryWait is how long after a takeover orders of the previous owner
	// may still be in force at a worker that does not answer.
	RecoveryWait time.Duration
}

// Defaults of Params that the platform does not set.
const (
	// DefaultTaskLease outlasts the loss of an owner: its lease at the store
	// (2.5 s), the takeover (about 1 s) and a call to each worker.
	DefaultTaskLease = 5 * time.Second
)

// Core holds the jobs and workers of a cell and decides. It has no I/O and no
// locks; the caller serializes all calls.
type Core struct {
	params Params
	term   uint64
	// nextRun counts starts; with the term in the upper bits, run numbers
	// rise over changes of the owner without a record of each start.
	nextRun uint64
	// validUntil is when the right to give orders ends, certainUntil when
	// another owner may be there; see Renewed.
	validUntil, certainUntil time.Duration
	// firstRenewed is when the lease was first known to hold.
	firstRenewed time.Duration
	// deposed is set once a worker has told of a higher term.
	deposed bool

	config *job.Config
	queues map[string]job.Queue // every queue ever seen, newest terms
	// services holds those of all queues.
	services map[string]bool
	// unguarded holds services whose workers do not guard their room, listedAt is when
	// the list of workers was last taken in.
	unguarded map[string]bool
	listedAt  time.Duration
	jobs      map[string]*jobState
	workers   map[WorkerID]*worker
	lives     map[string][]*worker // of workers, by VM where that is known
	// order holds all workers, members those of each service, by id.
	order   []*worker
	members map[string][]*worker
	racks   map[string][]*worker
	// unstoredEnds are the workers with ends that wait to be stored.
	unstoredEnds map[*worker]bool
	reach        reach
	slow         map[string]*slowCount // by service
	work         work
	// names holds the lives of each worker's id.
	names map[string]*namesakes
	// over holds lives that have ended and may still be listed.
	over map[WorkerID]bool
	// unresolved are workers of the previous owner that have not answered
	// yet: a task in phaseUnknown may run there. openUnresolved counts those
	// where any task may run.
	unresolved     map[WorkerID]unresolvedWorker
	openUnresolved int
	// lostUnheard holds the tasks of workers that were lost before this owner heard of
	// them.
	lostUnheard unheardTasks
	// lostInTerm holds those of workers that were lost in this term.
	lostInTerm unheardTasks
	// doubtful counts the tasks with doubts.
	doubtful int
	// unsentStarts wait for the store, recordedStarts are those of previous owners of
	// which nothing is known yet, by worker.
	unsentStarts   []unsentStart
	recordedStarts map[WorkerID][]recordedStart
	// unheardStale is set while the store's record of them is out of date.
	unheardStale bool
	// unknown is set while tasks in phaseUnknown wait for settleUnknown.
	unknown bool
	roster  roster
	// evacuated holds the data centres whose workers get no new tasks.
	evacuated map[string]bool
	open      []*stepRun // steps with tasks that may start
	refusals  refusals
	overload  overload
	// ratedScratch is reused by choosers, one at a time, candidateScratch by
	// passes.
	ratedScratch     ratedWorkers
	candidateScratch []candidate
	asks             []AdviceRequest // not taken yet
	learntAt         time.Duration   // when it was last recorded what was learnt
	dropped          droppedJobs
	deferred         []deferredJob // jobs that came while the lease was not sure
	// cancelled holds jobs that were cancelled before they came, and when that was heard.
	cancelled map[string]time.Duration
	held      map[string]bool // jobs that are left alone; see HoldJob
	// lostLives holds lives that may have crashed, crashed the newest crash of VMs
	// that crashed of late, both by VM. suspects counts the tasks with crashes.
	lostLives map[string]lostLife
	crashed   map[string]crashRecord
	suspects  int
	// fellSilent is when the newest life of a VM with tasks fell silent that has ended of late.
	fellSilent map[string]time.Duration
	// comparisons are crashes that are not told apart from others yet.
	comparisons []crashComparison
	// nearNow is reused within a pass.
	nearNow crashesNear
	// nextTrial is when the next task on trial may be started.
	nextTrial time.Duration
	// dirty holds the jobs whose progress is not stored, with their turn.
	dirty     map[*jobState]uint64
	waves     map[int64]*waveState
	upkeeps   []UpkeepOrder // not taken yet
	turn      uint64
	out       []Order
	trace     func(Decision)
	model     *interference
	demand    fillDemand
	kept      map[string]*keptRoom // by service
	stats     Stats
	perfByKey map[perfKey]*runTimes
}

// Stats are counters of what the core decided.
type Stats struct {
	Starts, Done, Failed, Stopped, Lapsed, Lost, Refused, Unanswered, Moved, Paced uint64
	// GivenUp counts runs that a worker lists though this owner, which ordered
	// them, had taken them for not running: each may have run beside another.
	GivenUp uint64
	// Crashes counts workers that crashed with tasks, CrashersGivenUp the jobs that
	// failed since a task of theirs crashed its workers.
	Crashes, CrashersGivenUp uint64
	// Restarts counts polls that another life answered under the worker's id.
	Restarts uint64
}

// work counts what the core looks at, which must not grow faster than the fleet.
type work struct {
	// reachLooks, slowLooks and endLooks are workers that were looked at to tell which
	// others answer, which are slow, and which ends are stored.
	reachLooks, slowLooks, endLooks uint64
}

// Decision is one decision or change of belief, for the log.
type Decision struct {
	Event  string
	Job    string
	Task   job.TaskID
	Run    uint64
	Worker WorkerID
	Reason string
	// Detail holds the figures that decided, where there are any.
	Detail string
	// Age is that of the input which decided, where there is one.
	Age time.Duration
}

// Routine reports whether a decision goes as expected and is one of many: a
// start, an end, a change of pace. Refusals, failures and changes of belief are
// not.
func (d Decision) Routine() bool {
	switch d.Event {
	case eventPlaced, eventStarted, eventDone, eventSlowed:
		return true
	default:
		return false
	}
}

// Names of routine events.
const (
	eventPlaced  = "run_placed"
	eventStarted = "run_started"
	eventDone    = "run_" + string(EndDone)
	eventSlowed  = "fill_slowed"
)

// runBits is the number of bits of a run number below the term. 2^28 starts in
// one term are two days at letter 1's peak; terms then fit 24 bits of the 2^53
// that JSON numbers carry exactly.
const runBits = 28

// New returns a core for one term. Trace is called for each decision.
func New(params Params, term uint64, trace func(Decision)) *Core {
	if params.TaskLease == 0 {
		params.TaskLease = min(DefaultTaskLease, params.MaxTaskLease)
	}
	if trace == nil {
		trace = func(Decision) {}
	}
	return &Core{
		params: params, term: term,
		queues: map[string]job.Queue{}, services: map[string]bool{}, unguarded: map[string]bool{}, jobs: map[string]*jobState{}, cancelled: map[string]time.Duration{}, held: map[string]bool{},
		lostLives: map[string]lostLife{}, crashed: map[string]crashRecord{}, fellSilent: map[string]time.Duration{},
		workers: map[WorkerID]*worker{}, lives: map[string][]*worker{}, names: map[string]*namesakes{}, members: map[string][]*worker{}, racks: map[string][]*worker{}, unstoredEnds: map[*worker]bool{}, slow: map[string]*slowCount{}, over: map[WorkerID]bool{}, recordedStarts: map[WorkerID][]recordedStart{}, unresolved: map[WorkerID]unresolvedWorker{},
		roster: newRoster(), dirty: map[*jobState]uint64{}, waves: map[int64]*waveState{}, trace: trace,
		model: newInterference(), demand: fillDemand{}, kept: map[string]*keptRoom{}, perfByKey: map[perfKey]*runTimes{},
	}
}

// Term returns the term of the core's orders.
func (c *Core) Term() uint64 { return c.term }

// Deposed reports whether a worker has told of a higher term.
func (c *Core) Deposed() bool { return c.deposed }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Suspects returns how many tasks may crash their workers.
func (c *Core) Suspects() int { return c.suspects }

// Renewed tells that the owner's lease at the store was renewed by a call sent
// at a steady time. Orders are given, and leases reach, until OwnerHorizon
// after it.
func (c *Core) Renewed(sent time.Duration) {
	if c.certainUntil == 0 {
		c.firstRenewed = sent
	}
	c.validUntil = max(c.validUntil, sent+c.params.OwnerHorizon)
	c.certainUntil = max(c.certainUntil, sent+c.params.OwnerTTL-leaseMargin)
}

// leaseMargin is kept of the owner's lease, for the rates of two clocks.
const leaseMargin = 100 * time.Millisecond

// certain reports whether no other owner can have taken over yet.
func (c *Core) certain(now Instant) bool { return now.Steady < c.certainUntil }

// SetConfig puts a version of the configuration into force. A queue that is no
// longer there keeps its last terms for the jobs that it accepted.
func (c *Core) SetConfig(config *job.Config) {
	if c.config != nil && config.Version < c.config.Version {
		return
	}
	c.config = config
	for _, q := range config.Queues {
		c.queues[q.Name] = q
		c.services[q.Service] = true
		c.unguarded[q.Service] = q.RoomUnguarded
	}
}

// TakeOrders returns the orders decided since the last call.
func (c *Core) TakeOrders() []Order {
	out := c.out
	c.out = nil
	return out
}

// Tick lets time pass: it gives up on silent workers, asks again for what was
// not answered and forgets old jobs.
func (c *Core) Tick(now Instant) {
	c.addDeferred(now)
	c.expireUnresolved(now)
	c.forgetOldCrashes(now)
	c.compareCrashes(now)
	c.forgetUnheard()
	for _, w := range c.workersInOrder() {
		c.tickWorker(w, now)
	}
	c.updateClosed()
	c.moveOffLeaving(now)
	c.tickUpkeep(now)
	c.dropOldJobs(now)
	c.rateOpenness()
	c.tickKept(now)
	c.Schedule(now)
}

// tellTask logs a decision on a task.
func (c *Core) tellTask(event string, t *task, w *worker, run uint64, reason string) {
	c.trace(taskDecision(event, t, w, run, reason))
}

func taskDecision(event string, t *task, w *worker, run uint64, reason string) Decision {
	d := Decision{Event: event, Job: t.step.job.spec.ID, Task: t.id(), Run: run, Reason: reason}
	if w != nil {
		d.Worker = w.info.ID
	}
	return d
}

// tellGivenUp logs that an attempt is taken for not running, and the figures that
// say so.
func (c *Core) tellGivenUp(event string, a *attempt, reason, detail string, age time.Duration) {
	d := taskDecision(event, a.task, a.worker, a.run, reason)
	d.Detail, d.Age = detail, age
	c.trace(d)
}
