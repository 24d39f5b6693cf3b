package dispatch

import (
	"time"

	"leverstile.dev/dispatch/copies"
	"leverstile.dev/job"
)

// Instant is a reading of both clocks of the process. Decisions use Steady;
// UnixMS serves only times that customers name.
type Instant struct {
	Steady time.Duration
	UnixMS int64
}

// Params are the times and factors that decisions use.
type Params struct {
	// TaskLease is the length of the leases that are granted for runs at workers.
	TaskLease time.Duration
	// MaxTaskLease is the longest lease that a worker accepts.
	MaxTaskLease time.Duration
	// OverTarget is how long fill tasks may keep a serving task over its target.
	OverTarget time.Duration
	// JobKept is how long a finished job's record is kept.
	JobKept time.Duration
	// RemoteFactor is how many times longer a task takes when it is not near its data.
	RemoteFactor float64
	// Restore is how long a task reads its checkpoint when it starts.
	Restore time.Duration
	// PaceAfter is the age from which the CPU share of a run can be limited.
	PaceAfter time.Duration
	// OwnerTTL is the length of the owner's lease at the store. An owner that does not reach the
	// store gives orders until OwnerHorizon after its last renewal.
	OwnerTTL, OwnerHorizon time.Duration
	// Maintenance is how long a VM is down for maintenance.
	Maintenance time.Duration
	// MaxWorkerListAge is how old the list of workers may be when a task starts in a service
	// whose workers do not check their capacity: it may have shrunk since. 0 means no limit.
	MaxWorkerListAge time.Duration
	// HolderGap is the least time between the maintenance orders of two successive owners.
	HolderGap time.Duration
	// RecoveryWait is how long after a takeover orders of the previous owner
	// may still be in force at a worker that does not answer.
	RecoveryWait time.Duration
	// EndedOwnerWait replaces RecoveryWait, if it is set, for workers whose incarnations have
	// ids of their own; see EndedOwnerWaitFor.
	EndedOwnerWait time.Duration
	// JobMemory bounds the memory of the cell's jobs in bytes, of their records and their open
	// tasks. 0 means no limit.
	JobMemory int64
	// NoCopies turns second runs of tasks of speculative steps off.
	NoCopies bool
}

// Defaults of Params that the platform does not set.
const (
	// DefaultTaskLease outlasts the loss of an owner: its lease at the store
	// (2.5 s), the takeover (about 1 s) and a call to each worker.
	DefaultTaskLease = 5 * time.Second
)

// taskLease returns TaskLease or its default.
func (p Params) taskLease() time.Duration {
	if p.TaskLease != 0 {
		return p.TaskLease
	}
	return min(DefaultTaskLease, p.MaxTaskLease)
}

// Core holds the jobs and workers of a cell and decides where tasks run, for the owner of
// the cell in one term. It does no I/O and takes no locks; the caller serializes all calls.
type Core struct {
	params Params
	term   uint64
	// runsNumbered counts the run numbers given in this term. With the term in the upper
	// bits, run numbers rise across changes of the owner without a stored record of each start.
	runsNumbered uint64
	// validUntil is when the right to give orders ends, leaseHeldUntil the time from
	// which another owner may exist; see Renewed.
	validUntil, leaseHeldUntil time.Duration
	// leaseHeldSince is when the lease was first known to hold.
	leaseHeldSince time.Duration
	// deposed is set once a worker has reported a higher term.
	deposed bool

	config *job.Config
	// queues holds the queues of the configuration and those with unfinished jobs.
	queues       map[string]job.Queue
	queueRecords queueRecords
	// services holds the services of all queues.
	services map[string]bool
	// unguarded holds the services whose workers do not check their capacity, listedAt is
	// when the list of workers was last applied.
	unguarded map[string]bool
	listedAt  time.Duration
	jobs      map[string]*jobState
	workers   map[WorkerID]*worker
	// workersByVM holds the known incarnations on each VM, where the VM is known.
	workersByVM map[string][]*worker
	// sortedWorkers holds all workers, workersByService and workersByRack those of each
	// service and rack, all sorted by id.
	sortedWorkers    []*worker
	workersByService map[string][]*worker
	workersByRack    map[string][]*worker
	// unstoredEnds are the workers with ends that are not stored yet.
	unstoredEnds map[*worker]bool
	reach        reach
	// reachUndecided is set while most workers that were polled recently are silent.
	reachUndecided bool
	slowCounts     map[string]*slowCount // by service
	checkCounts    checkCounts
	// incarnationsByName holds the incarnations of each worker's id.
	incarnationsByName map[string]*sameIDIncarnations
	// ended holds incarnations that have ended and may still be listed.
	ended map[WorkerID]bool
	// unresolved holds the workers of the previous owner that have not answered yet: a
	// task in phaseUnknown may run there. openUnresolved counts those where any task may run.
	unresolved     map[WorkerID]unresolvedWorker
	openUnresolved int
	// lostUnread holds the tasks of workers that were lost before this owner, or one before
	// it, read their lists.
	lostUnread unreadTasks
	// unreadInTerm is the part of lostUnread from workers that were lost in this term.
	unreadInTerm unreadTasks
	// possibleCrashTasks counts the tasks with possible crashes.
	possibleCrashTasks int
	// unsentStarts holds the starts that wait for the store, recordedStarts, by worker, those
	// of previous owners whose outcome is not known yet.
	unsentStarts   []unsentStart
	recordedStarts map[WorkerID][]recordedStart
	// unreadStale is set while the store's record of lostUnread is out of date.
	unreadStale bool
	// unknownPending is set while tasks in phaseUnknown wait for settleUnknown.
	unknownPending bool
	roster         roster
	seals          seals
	// evacuated holds the data centres whose workers get no new tasks.
	evacuated map[string]bool
	openSteps []*stepRun // steps with tasks that may start
	// repeated holds the jobs whose occurrences are opened one by one, and those whose only one
	// waits for memory.
	repeated []*jobState
	memory   jobMemory
	refusals refusals
	overload overload
	policy   policyQueue
	// ratedScratch is a buffer that choosers reuse, one at a time; candidateScratch is
	// one that scheduling passes reuse.
	ratedScratch     ratedWorkers
	candidateScratch []candidate
	adviceRequests   []AdviceRequest // not taken yet
	modelsStoredAt   time.Duration   // when the learned state was last stored
	dropped          droppedJobs
	deferred         []deferredJob // jobs that arrived while the lease was not held for certain
	// cancelled holds jobs that were cancelled before they arrived, and when the
	// cancellation was received.
	cancelled map[string]time.Duration
	held      map[string]bool // jobs whose tasks are not touched; see HoldJob
	// lostIncarnations holds incarnations that may have crashed, crashed the newest crash of a
	// worker if that was recent, both by VM. suspects counts the tasks with known or
	// unconfirmed crashes.
	lostIncarnations map[string]lostIncarnation
	crashed          map[string]crashRecord
	suspects         int
	// fellSilent holds, by VM, when the newest incarnation with tasks fell silent, if that
	// incarnation ended recently.
	fellSilent map[string]time.Duration
	// comparisons holds the crashes that are still to be compared with others near them.
	comparisons []crashComparison
	// crashesNearNow caches the crashes shortly before the time of the current pass.
	crashesNearNow nearbyCrashes
	// nextTrial is when the next trial run of a suspect task may be started.
	nextTrial time.Duration
	// dirty holds the jobs whose progress is not stored, with their places in the queue to
	// write it; lastQueued is the last place given.
	dirty             map[*jobState]uint64
	waves             map[int64]*waveState
	maintenanceOrders []MaintenanceOrder // not taken yet
	lastQueued        uint64
	pendingOrders     []Order // not taken yet
	trace             func(Decision)
	model             *interference
	demand            fillDemand
	reservedCapacity  map[string]*reservedCapacity // by service
	stats             Stats
	runTimesByKey     map[runTimeKey]*runTimes
	// copySteps are the steps that may have copies and have had a run in this term;
	// copiesCheckedAt is when their tasks were last checked.
	copySteps       []*stepRun
	copiesCheckedAt time.Duration
	copyRules       copies.Rules
	// lateCopies records how copies of overdue and slow runs ended.
	lateCopies map[runTimeKey]*copies.Record
}

// Stats are counters of the core's decisions.
type Stats struct {
	Starts, Done, Failed, Stopped, Lapsed, Lost, Refused, Unanswered, Moved, Paced uint64
	// GivenUp counts runs that a worker lists though this owner, which ordered
	// them, had given them up: each may have run at the same time as its replacement.
	GivenUp uint64
	// Crashes counts workers that crashed with tasks, CrashersGivenUp the jobs that
	// failed because a task of theirs crashed its workers.
	Crashes, CrashersGivenUp uint64
	// Restarts counts polls that another incarnation answered under the worker's id.
	Restarts uint64
	// CopiesStarted counts the copies that were started, CopiesWon those that were done
	// before the first run of their task; CopiesWastedCoreSeconds is the processor time of the
	// other copies.
	CopiesStarted, CopiesWon uint64
	CopiesWastedCoreSeconds  float64
}

// checkCounts counts the core's checks of workers. These counts must not grow faster than the
// number of workers.
type checkCounts struct {
	// reachChecks counts checks whether the owner reaches a worker, slowChecks those
	// whether it is slow, endChecks those whether its ends are stored.
	reachChecks, slowChecks, endChecks uint64
}

// Decision is one decision of the core, or one change in what it knows, for the log.
type Decision struct {
	Event  string
	Job    string
	Task   job.TaskID
	Run    uint64
	Worker WorkerID
	Reason string
	// Detail holds the values that decided, where there are any.
	Detail string
	// Age is the age of the input that decided, where there is one.
	Age time.Duration
}

// Routine reports whether a decision is expected and one of many: a start, an
// end, a change of pace. Refusals, failures and changes in what the core knows are not.
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

// runBits is the number of bits of a run number below the term. 2^28 starts in one
// term last two days at 1550 starts a second, the highest rate expected; terms then
// fit the remaining 24 bits of the 2^53 that JSON numbers carry exactly.
const runBits = 28

// New returns a core for one term. It calls trace for each decision.
func New(params Params, term uint64, trace func(Decision)) *Core {
	params.TaskLease = params.taskLease()
	if trace == nil {
		trace = func(Decision) {}
	}
	return &Core{
		params: params, term: term, memory: newJobMemory(params.JobMemory),
		queues: map[string]job.Queue{}, queueRecords: queueRecords{versions: map[string]int64{}}, services: map[string]bool{}, unguarded: map[string]bool{}, jobs: map[string]*jobState{}, cancelled: map[string]time.Duration{}, held: map[string]bool{},
		lostIncarnations: map[string]lostIncarnation{}, crashed: map[string]crashRecord{}, fellSilent: map[string]time.Duration{},
		workers: map[WorkerID]*worker{}, workersByVM: map[string][]*worker{}, incarnationsByName: map[string]*sameIDIncarnations{}, workersByService: map[string][]*worker{}, workersByRack: map[string][]*worker{}, unstoredEnds: map[*worker]bool{}, slowCounts: map[string]*slowCount{}, ended: map[WorkerID]bool{}, recordedStarts: map[WorkerID][]recordedStart{}, unresolved: map[WorkerID]unresolvedWorker{},
		roster: newRoster(), dirty: map[*jobState]uint64{}, waves: map[int64]*waveState{}, trace: trace,
		model: newInterference(), demand: fillDemand{}, reservedCapacity: map[string]*reservedCapacity{}, runTimesByKey: map[runTimeKey]*runTimes{},
		seals: seals{from: term}, copyRules: copies.DefaultRules(), lateCopies: map[runTimeKey]*copies.Record{},
	}
}

// Term returns the term of the core's orders.
func (c *Core) Term() uint64 { return c.term }

// Deposed reports whether a worker has reported a higher term.
func (c *Core) Deposed() bool { return c.deposed }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Suspects returns the number of tasks that may crash their workers.
func (c *Core) Suspects() int { return c.suspects }

// Renewed records that the owner's lease at the store was renewed by a call sent
// at a steady time. Orders may be given, and leases may last, until OwnerHorizon
// after it.
func (c *Core) Renewed(sent time.Duration) {
	if c.leaseHeldUntil == 0 {
		c.leaseHeldSince = sent
	}
	c.validUntil = max(c.validUntil, sent+c.params.OwnerHorizon)
	c.leaseHeldUntil = max(c.leaseHeldUntil, sent+c.params.OwnerTTL-leaseMargin)
}

// leaseMargin is the part of the owner's lease that is not used, since the clocks of the
// owner and of the store may differ in rate.
const leaseMargin = 100 * time.Millisecond

// holdsLease reports whether no other owner can have taken over yet.
func (c *Core) holdsLease(now Instant) bool { return now.Steady < c.leaseHeldUntil }

// TakeOrders returns the orders decided since the last call.
func (c *Core) TakeOrders() []Order {
	out := c.pendingOrders
	c.pendingOrders = nil
	return out
}

// Tick does the work that is due by time: it gives up runs at silent workers, repeats
// stops without effect, drops old jobs and schedules.
func (c *Core) Tick(now Instant) {
	c.addDeferred(now)
	c.expireUnresolved(now)
	c.forgetOldCrashes(now)
	c.compareCrashes(now)
	c.forgetUnread()
	for _, w := range c.workersInOrder() {
		c.tickWorker(w, now)
	}
	c.updateReach(now)
	c.updateEntries(now)
	c.roster.updateParts()
	c.moveOffLeaving(now)
	c.tickMaintenance(now)
	c.dropOldJobs(now)
	c.rateFillAcceptance()
	c.tickReserved(now)
	c.Schedule(now)
	c.startCopies(now)
}

// logTask logs a decision on a task.
func (c *Core) logTask(event string, t *task, w *worker, run uint64, reason string) {
	c.trace(taskDecision(event, t, w, run, reason))
}

func taskDecision(event string, t *task, w *worker, run uint64, reason string) Decision {
	d := Decision{Event: event, Job: t.step.job.spec.ID, Task: t.id(), Run: run, Reason: reason}
	if w != nil {
		d.Worker = w.info.ID
	}
	return d
}

// logGivenUp logs that an attempt is given up as not running, with the values that show it.
func (c *Core) logGivenUp(event string, a *attempt, reason, detail string, age time.Duration) {
	d := taskDecision(event, a.task, a.worker, a.run, reason)
	d.Detail, d.Age = detail, age
	c.trace(d)
}
