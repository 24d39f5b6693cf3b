// Package fleet is the interface to what the platform runs: workers, which
// run tasks under leases, and the list of VMs.
package fleet

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// Resources is an amount of processor (thousandths of a core), memory (MiB)
// and accelerators (whole ones).
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in each kind.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// IsZero reports whether all amounts of r are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// VMState is a VM's state in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// EndpointAddr is a service's endpoint on a VM.
type EndpointAddr struct {
	Service string `json:"service"`
	Address string `json:"address"`
}

// VM is one item of the platform's list. A VM that was listed and no longer is
// has been stopped; ids are never reused.
type VM struct {
	ID        string            `json:"id"`
	Place     string            `json:"place"`
	Rack      string            `json:"rack"`
	State     VMState           `json:"state"`
	Labels    map[string]string `json:"labels,omitempty"`
	Capacity  Resources         `json:"capacity"`
	Reserved  Resources         `json:"reserved"` // what services on the VM need at their peak
	Worker    string            `json:"worker,omitempty"`
	Endpoints []EndpointAddr    `json:"endpoints,omitempty"`
}

// VMList reads the platform's list, which may be out of date.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// AttemptRef identifies one attempt of a task.
type AttemptRef struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// Hash identifies the attempt in SyncReply.RunningHash.
func (a AttemptRef) Hash() uint64 {
	h := xxhash.Sum64String(a.Task)
	return h*31 + uint64(a.Attempt)*0x9e3779b97f4a7c15
}

// Start asks a worker to run an attempt.
type Start struct {
	AttemptRef
	Kind       string    `json:"kind,omitempty"`
	Given      Resources `json:"given"`
	Payload    []byte    `json:"payload,omitempty"`
	Checkpoint []byte    `json:"checkpoint,omitempty"`
}

// SyncRequest is everything that a cell's owner sends to a worker in one call.
//
// Fencing: a worker accepts a request only if (Term, Seq) is greater than any it
// has accepted for Cell. Starts and the lease are accepted only if Boot is the
// worker's incarnation and its clock has not passed LeaseUntilMS. Every request
// is safe to repeat.
type SyncRequest struct {
	Cell string `json:"cell"`
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	Boot uint64 `json:"boot,omitempty"`
	// LeaseUntilMS is a reading of the worker's own clock, until which all tasks
	// of Cell may run. Zero leaves the lease unchanged.
	LeaseUntilMS int64        `json:"lease_until_ms,omitempty"`
	Starts       []Start      `json:"starts,omitempty"`
	Stops        []AttemptRef `json:"stops,omitempty"`
	// Throttled lists the attempts to slow down; all others run at full speed.
	Throttled []AttemptRef `json:"throttled,omitempty"`
	// Acks lists ended attempts that the owner has recorded; the worker forgets them.
	Acks []AttemptRef `json:"acks,omitempty"`
	// Full asks for the list of running attempts.
	Full bool `json:"full,omitempty"`
	// WaitMS lets the worker delay its answer until something changes.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// AttemptState is the state of an attempt at its worker.
type AttemptState string

// States of an attempt at a worker.
const (
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	AttemptFailed   AttemptState = "failed"
	// AttemptStopped means that it ended before its work was done, with a checkpoint.
	AttemptStopped AttemptState = "stopped"
	// AttemptRefused means that it never started.
	AttemptRefused AttemptState = "refused"
)

// Report is the state of one attempt.
type Report struct {
	AttemptRef
	State      AttemptState `json:"state"`
	Checkpoint []byte       `json:"checkpoint,omitempty"`
	Detail     string       `json:"detail,omitempty"`
	// Given is the capacity that a running attempt holds at the worker.
	Given Resources `json:"given,omitzero"`
}

// Usage is the average usage of an attempt up to the time AtMS, a reading of
// the worker's clock that may be far in the past.
type Usage struct {
	Task string    `json:"task"`
	Kind string    `json:"kind"`
	Used Resources `json:"used"`
	AtMS int64     `json:"at_ms"`
}

// Slowdown is the factor by which a service's requests ran slower on this VM than without
// tasks beside it (1 is not slower), measured at AtMS under Load (0 to 1 of the service's peak).
type Slowdown struct {
	Service string  `json:"service"`
	Factor  float64 `json:"factor"`
	Load    float64 `json:"load"`
	AtMS    int64   `json:"at_ms"`
}

// Refusal is why a worker accepted nothing of a request.
type Refusal string

// Reasons for a refusal.
const (
	RefusedStale Refusal = "stale" // an older term or sequence number
	RefusedCell  Refusal = "cell"  // the worker still runs tasks of another cell
)

// SyncReply is a worker's answer.
type SyncReply struct {
	Refused Refusal `json:"refused,omitempty"`
	Boot    uint64  `json:"boot"`
	ClockMS int64   `json:"clock_ms"`
	// RunningHash is the sum of the hashes of all running attempts.
	RunningHash uint64 `json:"running_hash"`
	// Running lists the running attempts if the request asked for Full.
	Running []Report `json:"running,omitempty"`
	// Ended lists ended attempts until they are acknowledged, and the starts of
	// this request that were refused.
	Ended     []Report   `json:"ended,omitempty"`
	Usage     []Usage    `json:"usage,omitempty"`
	Slowdowns []Slowdown `json:"slowdowns,omitempty"`
}

// Workers calls workers by address.
type Workers interface {
	Sync(ctx context.Context, address string, req *SyncRequest) (*SyncReply, error)
}
