// Package dispatch decides where the tasks of jobs run. Core is pure: it takes
// events and clock readings and returns orders to workers and records to
// persist; the caller does the I/O. Workers are authoritative for what runs, the
// store for what has ended.
package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// WorkerID names one incarnation of a worker, which is one run of its process: the
// worker's id and, if known, the time when the incarnation started; see IncarnationID.
type WorkerID string

// WorkerInfo is what the platform lists of a worker.
type WorkerInfo struct {
	ID WorkerID
	// VM is the machine that the worker runs on.
	VM           string
	Address      string
	Service      string
	DataCentre   string
	Rack         string
	Labels       []string
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
	// Draining is set once the worker is about to end; Leaving is then the
	// least time until it ends.
	Draining bool
	Leaving  time.Duration
	// Cold is for how long the worker still runs slowly after its start or after the
	// evacuation of its data centre.
	Cold time.Duration
}

// WorkerList is what the platform lists. An entry that can't be used makes no worker
// available, and does not show what runs there.
type WorkerList struct {
	Workers  []WorkerInfo
	Unusable []UnusableEntry
}

// UnusableEntry is an entry that another writer wrote, or that is damaged.
type UnusableEntry struct {
	ID     WorkerID
	Reason string
}

// PollRequest extends the lease on all runs at a worker, acknowledges ends and
// asks for the worker's lists.
type PollRequest struct {
	Worker  WorkerID
	Address string
	// Token is the fencing token: a worker that has seen a higher one rejects the call.
	Token uint64
	// DeadlineMS is when the lease ends on the worker's clock; 0 leaves the lease unchanged.
	DeadlineMS int64
	// Seen is the number of the last end that the worker may forget.
	Seen uint64
	// Wait is how long the worker may delay the answer until a task ends.
	Wait time.Duration
	// ForLease is set if Wait was shortened to renew a lease in time.
	ForLease bool
}

// PollReply is a worker's answer to a PollRequest.
type PollReply struct {
	ClockMS int64
	// Born is when the answering incarnation started, in Unix milliseconds by its own
	// clock; 0 if the worker does not report it.
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that a worker lists as running.
type RunningTask struct {
	Task       job.TaskID
	Run        uint64
	Checkpoint string
	// Percent is the part of the task's work that is done; for a long-running task, the part
	// of its startup, so that 100 means that it is in operation.
	Percent int
	// Reading covers the last half second: the tail latency in milliseconds
	// of a task that serves, else the processor time in use in thousandths
	// of a core. HasReading is false if there is none.
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
	// EndAlone: the other members of the gang did not start in time.
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
	Token   uint64 // as in PollRequest
	Task    job.TaskID
	Run     uint64
	// Payload, DeadlineMS (worker's clock), Checkpoint and Ticket are for starts.
	Payload    string
	DeadlineMS int64
	Checkpoint string
	Ticket     string
	// Percent is the CPU share for OrderPace, in percent of the full speed.
	Percent int
}

// Outcome is the known result of a call to a worker.
type Outcome uint8

// Outcomes. All but OutcomeOK, OutcomeUnknown and OutcomeBroken prove that the call
// had no effect.
const (
	OutcomeOK Outcome = iota
	// OutcomeUnknown: no answer. The call may still be carried out, until
	// its deadline.
	OutcomeUnknown
	// OutcomeFenced: the worker has seen a higher term.
	OutcomeFenced
	// OutcomeOld: a run with the same or a higher number ended or was stopped there.
	OutcomeOld
	// OutcomeLate: the deadline had passed.
	OutcomeLate
	// OutcomeNoCapacity: the task does not fit.
	OutcomeNoCapacity
	// OutcomeNoTicket: the ticket of the placement policy is not valid.
	OutcomeNoTicket
	// OutcomeUnwell: the worker temporarily refuses work.
	OutcomeUnwell
	// OutcomeOtherIncarnation: the worker was restarted; the addressed incarnation has ended.
	OutcomeOtherIncarnation
	// OutcomeInvalid: the worker rejects the call as malformed.
	OutcomeInvalid
	// OutcomeNotSent: the order was out of date before it was sent.
	OutcomeNotSent
	// OutcomeBroken is OutcomeUnknown for a connection that was refused or broken:
	// the process at its other end may have ended.
	OutcomeBroken
)

// String returns the name of the outcome, as logged.
func (o Outcome) String() string {
	return [...]string{"ok", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "unwell", "other_life", "invalid", "not_sent", "broken"}[o]
}

// Answer is a worker's answer to an Order. ClockMS is 0 if the worker reported no clock.
type Answer struct {
	Outcome Outcome
	ClockMS int64
	// Unsent is set with OutcomeBroken if the connection was refused: this copy of the
	// order had no effect.
	Unsent bool
}
