// Package dispatch decides where the tasks of jobs run. Core is pure: it takes
// events and clock readings and returns orders to workers and records to
// persist; the caller does the I/O. Workers are the truth about what runs, the
// store about what has ended.
package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// WorkerID names one life of a worker: its id, and when it was born if it tells; see LifeID.
type WorkerID string

// WorkerInfo is what the platform lists of a worker.
type WorkerInfo struct {
	ID WorkerID
	// VM is the machine that the worker is a life of.
	VM         string
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	CPUMilli   int64
	MemoryMiB  int64
	// Accelerators is the number of accelerators.
	Accelerators int64
	// Draining is set once the worker is about to end; Leaving is then the
	// least time that is left.
	Draining bool
	Leaving  time.Duration
	// Cold is for how long it still works slowly after its start or after its
	// data centre was evacuated.
	Cold time.Duration
}

// WorkerList is what the platform lists. An entry that can't be used names no
// worker to use, and says nothing of what runs there.
type WorkerList struct {
	Workers  []WorkerInfo
	Unusable []UnusableEntry
}

// UnusableEntry is an entry that another writer left, or that is damaged.
type UnusableEntry struct {
	ID     WorkerID
	Reason string
}

// HoldOrder extends the lease on all that runs at a worker, acknowledges ends
// and asks for the worker's lists.
type HoldOrder struct {
	Worker  WorkerID
	Address string
	// Token is the fencing token: a worker that has seen a higher one does nothing.
	Token uint64
	// DeadlineMS is when the lease ends on the worker's clock; 0 leaves it.
	DeadlineMS int64
	// Seen is the number of the last end that may be forgotten.
	Seen uint64
	// Wait is how long the answer may be held until a task ends.
	Wait time.Duration
	// ForLease is set if the wait is short for the sake of a lease.
	ForLease bool
}

// HoldReply is a worker's answer to a HoldOrder.
type HoldReply struct {
	ClockMS int64
	// Born is when the life that answers began, in Unix milliseconds by its own clock; 0
	// if it does not tell.
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that a worker lists as running.
type RunningTask struct {
	Task       job.TaskID
	Run        uint64
	Checkpoint string
	// Percent is the part of its work that is done; for a lasting task that
	// of its start, so that it is at work at 100.
	Percent int
	// Reading is over the last half second: the tail latency in
	// milliseconds of a task that serves, else the processor time in use
	// in thousandths of a core. HasReading is false without one.
	Reading    int64
	HasReading bool
}

// EndKind is how a run ended.
type EndKind string

// How a run ended.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// EndedTask is an end that a worker lists until it is acknowledged.
type EndedTask struct {
	Number     uint64
	Task       job.TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// OrderKind is what an Order asks for.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// String returns the name of the kind.
func (k OrderKind) String() string { return [...]string{"start", "stop", "pace"}[k] }

// Order is a call to a worker about one run.
type Order struct {
	Kind    OrderKind
	Worker  WorkerID
	Address string
	Token   uint64 // as in HoldOrder
	Task    job.TaskID
	Run     uint64
	// Payload, DeadlineMS (worker's clock), Checkpoint and Ticket are for starts.
	Payload    string
	DeadlineMS int64
	Checkpoint string
	Ticket     string
	// Percent is the share of its full speed for OrderPace.
	Percent int
}

// Outcome is what is known of a call to a worker.
type Outcome uint8

// Outcomes. All but OutcomeOK, OutcomeUnknown and OutcomeBroken prove that the call
// did nothing.
const (
	OutcomeOK Outcome = iota
	// OutcomeUnknown: no answer. The call may still be carried out, until
	// its deadline.
	OutcomeUnknown
	// OutcomeFenced: the worker has seen a higher term.
	OutcomeFenced
	// OutcomeOld: a run at least as high ended or was stopped there.
	OutcomeOld
	// OutcomeLate: the deadline had passed.
	OutcomeLate
	// OutcomeNoRoom: the task does not fit.
	OutcomeNoRoom
	// OutcomeNoTicket: the ticket of the placement policy does not hold.
	OutcomeNoTicket
	// OutcomeUnwell: the worker refuses work for now.
	OutcomeUnwell
	// OutcomeOtherLife: the worker was restarted; the life asked for is over.
	OutcomeOtherLife
	// OutcomeInvalid: the worker takes the call for malformed.
	OutcomeInvalid
	// OutcomeNotSent: the order was out of date before its turn came.
	OutcomeNotSent
	// OutcomeBroken is OutcomeUnknown of a connection that was refused or broken
	// off: the process at its other end may have ended.
	OutcomeBroken
)

// String returns the name of the outcome, as logged.
func (o Outcome) String() string {
	return [...]string{"ok", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "unwell", "other_life", "invalid", "not_sent", "broken"}[o]
}

// Answer is a worker's answer to an Order. ClockMS is 0 if it told none.
type Answer struct {
	Outcome Outcome
	ClockMS int64
	// Unsent is set with OutcomeBroken if the connection was refused: this copy of the
	// order did nothing.
	Unsent bool
}
