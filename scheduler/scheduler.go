// Package scheduler decides where tasks run and which ones are evicted. It does
// no I/O: Plan reads a snapshot and returns a plan; the owner of the cell checks
// the plan against its table and commits it.
package scheduler

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/fleet"
)

// Worker is a VM as the planner sees it. Plan changes Free and Kinds for each task
// that it places, and removes from Running the tasks that it evicts.
type Worker struct {
	ID     string
	Place  string
	Rack   string
	Labels labels.Set
	// Capacity is the total available to tasks: the VM's resources less the peak
	// need of its services. Free is the part of it that is not in use.
	Capacity fleet.Resources
	Free     fleet.Resources
	// Usable is false while no task may be started on the worker.
	Usable bool
	// Services run on the same VM under Load (0 to 1 of their peak).
	Services []string
	Load     float64
	// Kinds counts the running tasks by kind.
	Kinds map[string]int
	// Running are the tasks that an urgent task could replace.
	Running []*Running
	// ExcludedKinds were recently evicted from the VM to protect a service.
	ExcludedKinds map[string]bool
	// reservedFor is the id of the waiting task for which the VM is reserved.
	reservedFor string
}

// Running is a running task that may be evicted.
type Running struct {
	ID    string
	Kind  string
	Given fleet.Resources
	// Loss is the run time that an eviction would discard.
	Loss time.Duration
}

// Task is a task that waits for a worker.
type Task struct {
	ID       string
	Kind     string
	Group    string
	Ask      fleet.Resources
	Selector labels.Selector
	Urgent   bool
	// Waited is the time since the task became runnable.
	Waited time.Duration
	// Avoid lists the workers on which attempts failed.
	Avoid []string
}

// Queue holds the waiting tasks of one group in order of arrival, urgent tasks
// first.
type Queue struct {
	Group string
	Tasks []*Task
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Workers []*Worker
	Queues  []*Queue
	Shares  *Shares
	// EvictionsLeft is the number of evictions that the budget allows now.
	EvictionsLeft int
}

// Placement starts a task on a worker.
type Placement struct {
	Task   *Task
	Worker *Worker
	Score  float64
	// Fitting is the number of workers that passed all filters.
	Fitting int
}

// Eviction stops a task so that another can start.
type Eviction struct {
	Task   string
	Worker string
	For    string
	Loss   time.Duration
}

// Waiting states why a task was considered and not placed.
type Waiting struct {
	Task   *Task
	Reason Reason
}

// Reason is why a task waits. Its text is shown to clients.
type Reason string

const (
	ReasonNoCapacity Reason = "no worker has room now"
	ReasonFitsNoVM   Reason = "no VM of the cell is large enough or matches the selector"
	ReasonQuota      Reason = "the group's quota is in use"
	ReasonEvicting   Reason = "room is being made by an eviction"
	ReasonReserved   Reason = "a VM is kept free for it"
	ReasonShare      Reason = "the group is above its share, and one below its share waits for room"
	ReasonBehind     Reason = "other work of the group is ahead"
	ReasonPlanLimit  Reason = "the planner's limit per round was reached"
)

// Plan lists the placements and evictions to carry out, and the tasks that wait.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
	Waiting    []Waiting
}

// Scheduler makes plans from snapshots. Implementations do no I/O and change
// nothing but the snapshot, whose capacity Plan allocates; see Planner.Plan.
type Scheduler interface {
	Plan(snap *Snapshot) Plan
	// Explain counts the workers by the filter that rejects t on them.
	Explain(t *Task, workers []*Worker) map[string]int
}

// Filter is one condition on a worker. Implementations keep no state and must
// not change their arguments.
type Filter interface {
	Name() string
	// Passes reports whether t may run on w.
	Passes(t *Task, w *Worker) bool
}

// Scorer rates a worker that passed all filters.
type Scorer interface {
	Name() string
	// Score is between 0 (worst) and 1 (best).
	Score(t *Task, w *Worker) float64
}

// Weights of the scorers. Interference outweighs packing because a service's
// tail latency matters more than a well-filled VM
// (docs/design/interference.md).
const (
	weightInterference = 4.0
	weightPacking      = 1.0
	weightAccelerator  = 2.0
	weightAvoid        = 4.0
)

type weightedScorer struct {
	scorer Scorer
	weight float64
}

// Planner makes plans from its filters, scorers and limits. It keeps no state
// between plans.
type Planner struct {
	filters []Filter
	scorers []weightedScorer
	limits  Limits
}

// Limits bound one plan.
type Limits struct {
	// Placements is the largest number of placements per plan.
	Placements int
	// BlockedPerGroup is the number of tasks that can't be placed after which
	// a group's turns end.
	BlockedPerGroup int
	// ReserveAfter is the wait after which a VM is reserved for a task.
	ReserveAfter time.Duration
	// ReservedPart bounds the VMs reserved at a time, as a fraction of all.
	ReservedPart float64
}

// DefaultLimits are the limits used unless a test sets others.
var DefaultLimits = Limits{
	Placements:      256,
	BlockedPerGroup: 16,
	ReserveAfter:    10 * time.Second,
	ReservedPart:    0.25,
}

// NewPlanner returns a planner with the standard filters and scorers. If
// interference is nil, plans ignore interference.
func NewPlanner(limits Limits, interference *Interference) *Planner {
	p := &Planner{
		limits:  limits,
		filters: []Filter{usableFilter{}, capacityFilter{}, reservedFilter{}, selectorFilter{}},
		scorers: []weightedScorer{
			{packingScore{}, weightPacking},
			{acceleratorScore{}, weightAccelerator},
			{avoidScore{}, weightAvoid},
		},
	}
	if interference != nil {
		p.filters = append(p.filters, interferenceFilter{interference})
		p.scorers = append(p.scorers, weightedScorer{interferenceScore{interference}, weightInterference})
	}
	return p
}
