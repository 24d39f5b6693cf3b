// Package cell owns the tasks of a set of workers. It does no input or output: an
// Owner is given clock readings, calls, and answers of the store and of workers,
// and returns commands, which package entry carries out.
//
// An owner never over-commits a VM, never runs a task in two places and never
// loses a task whose submission it has acknowledged; see docs/design/ownership.md.
package cell

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
)

// Phase is a task's phase.
type Phase uint8

// Phases of a task.
const (
	// Pending: runnable, no attempt exists.
	Pending Phase = iota
	// Assigned: an attempt exists and may be running.
	Assigned
	// Done: permanently ended; the code says how.
	Done
)

// String returns the phase in lower case.
func (p Phase) String() string { return [...]string{"pending", "assigned", "done"}[p] }

// task is a row of the table. The first part of its fields is in the journal; the
// second is known to this owner only.
type task struct {
	spec            *journalv1.TaskSpec
	phase           Phase
	attempt         uint32 // number of the current or last attempt
	worker          string // where the current attempt is
	boot            uint64 // the incarnation it was started on
	given           fleet.Resources
	checkpoint      []byte
	cancelRequested bool
	code            result.Code
	detail          string
	evictions       uint32
	failures        uint32
	resumes         uint32

	// seq orders tasks by submission.
	seq uint64
	// lastRecordPos is the journal position of the task's last record.
	lastRecordPos uint64
	// startPos is the journal position of the attempt's start. A worker is sent
	// the start only once that is committed.
	startPos uint64
	// running: the worker has listed the attempt.
	running bool
	// stopping: the worker is to stop the attempt.
	stopping  bool
	throttled bool
	selector  labels.Selector
	since     time.Duration // when it became runnable, or its attempt began
	doneAt    time.Duration
	// failedOn are the workers on which attempts have failed.
	failedOn []string
	unfit    bool // no VM is large enough or matches the selector
	// awaitingEviction: tasks are being evicted to free capacity for this one.
	awaitingEviction bool
}

func (t *task) ref() fleet.AttemptRef {
	return fleet.AttemptRef{Task: t.spec.GetId(), Attempt: t.attempt}
}

// table holds the tasks of a cell. It implements shard.Machine.
type table struct {
	tasks   map[string]*task
	nextSeq uint64
	// onWorker indexes assigned tasks. Invariant: t is in onWorker[w] if and
	// only if t.phase == Assigned and t.worker == w.
	onWorker map[string]map[string]*task
	queues   map[string]*queue
	// listener is called after each change of phase.
	listener func(t *task, from Phase)
}

func newTable() *table {
	t := &table{}
	t.Reset()
	return t
}

// Reset implements shard.Machine.
func (tb *table) Reset() {
	tb.tasks = map[string]*task{}
	tb.onWorker = map[string]map[string]*task{}
	tb.queues = map[string]*queue{}
	tb.nextSeq = 0
}

// Apply implements shard.Machine.
func (tb *table) Apply(record []byte) error {
	rec := &journalv1.TaskRecord{}
	if err := proto.Unmarshal(record, rec); err != nil {
		return errors.Trace(err)
	}
	return tb.apply(rec)
}

// apply changes the table by one record. Decisions and recovery use the same code,
// so that they always agree.
func (tb *table) apply(rec *journalv1.TaskRecord) error {
	if s := rec.GetSubmitted(); s != nil {
		return tb.submit(rec.GetId(), s)
	}
	t := tb.tasks[rec.GetId()]
	if t == nil {
		return errors.NotFoundf("task %q of a journal record", rec.GetId())
	}
	switch c := rec.GetChange().(type) {
	case *journalv1.TaskRecord_Started:
		tb.start(t, c.Started)
	case *journalv1.TaskRecord_Ended:
		tb.end(t, c.Ended)
	case *journalv1.TaskRecord_Finished:
		tb.finish(t, c.Finished)
	case *journalv1.TaskRecord_CancelRequested:
		t.cancelRequested = true
	case *journalv1.TaskRecord_Forgotten:
		delete(tb.tasks, rec.GetId())
	default:
		return errors.NotValidf("record without a change for task %q", rec.GetId())
	}
	return nil
}

func (tb *table) submit(id string, spec *journalv1.TaskSpec) error {
	sel, err := labels.Parse(spec.GetVmSelector())
	if err != nil {
		return errors.Annotatef(err, "task %q", id)
	}
	tb.nextSeq++
	t := &task{spec: spec, seq: tb.nextSeq, selector: sel}
	tb.tasks[id] = t
	tb.enqueue(t)
	return nil
}

func (tb *table) enqueue(t *task) {
	q := tb.queues[t.spec.GetGroup()]
	if q == nil {
		q = &queue{}
		tb.queues[t.spec.GetGroup()] = q
	}
	q.add(t)
}

func (tb *table) start(t *task, s *journalv1.Started) {
	from := t.phase
	// Each eviction is followed by exactly one resumption; a start after a lost
	// worker uses the checkpoint too but resumes no eviction.
	if t.evictions > t.resumes {
		t.resumes++
	}
	t.phase = Assigned
	t.attempt = s.GetAttempt()
	t.worker = s.GetWorker()
	t.boot = s.GetBoot()
	t.given = fromProto(s.GetGiven())
	t.running, t.stopping, t.throttled, t.unfit, t.awaitingEviction = false, false, false, false, false
	t.code = 0
	tb.index(t)
	tb.notifyListener(t, from)
}

func (tb *table) index(t *task) {
	m := tb.onWorker[t.worker]
	if m == nil {
		m = map[string]*task{}
		tb.onWorker[t.worker] = m
	}
	m[t.spec.GetId()] = t
}

func (tb *table) unindex(t *task) {
	delete(tb.onWorker[t.worker], t.spec.GetId())
}

func (tb *table) end(t *task, e *journalv1.Ended) {
	from := t.phase
	tb.unindex(t)
	t.phase = Pending
	t.running, t.stopping = false, false
	if len(e.GetCheckpoint()) > 0 {
		t.checkpoint = e.GetCheckpoint()
	}
	switch e.GetReason() {
	case journalv1.EndReason_END_REASON_EVICTED:
		t.evictions++
	case journalv1.EndReason_END_REASON_FAILED:
		t.failures++
		if !slices.Contains(t.failedOn, t.worker) {
			t.failedOn = append(t.failedOn, t.worker)
		}
	default:
	}
	tb.enqueue(t)
	tb.notifyListener(t, from)
}

func (tb *table) finish(t *task, f *journalv1.Finished) {
	from := t.phase
	if from == Assigned {
		tb.unindex(t)
	}
	t.phase = Done
	t.code = result.Code(f.GetCode())
	t.detail = f.GetDetail()
	t.checkpoint = nil
	t.running, t.stopping = false, false
	tb.notifyListener(t, from)
}

func (tb *table) notifyListener(t *task, from Phase) {
	if tb.listener != nil {
		tb.listener(t, from)
	}
}

// Snapshot implements shard.Machine. Tasks are in order of submission.
func (tb *table) Snapshot(maxBytes int) ([][]byte, error) {
	var parts [][]byte
	msg, size := &journalv1.CellSnapshot{}, 0
	for _, t := range tb.ordered() {
		st := t.state()
		n := proto.Size(st) + 4
		if size+n > maxBytes && size > 0 {
			part, err := proto.Marshal(msg)
			if err != nil {
				return nil, errors.Trace(err)
			}
			parts = append(parts, part)
			msg, size = &journalv1.CellSnapshot{}, 0
		}
		msg.Tasks = append(msg.Tasks, st)
		size += n
	}
	part, err := proto.Marshal(msg)
	return append(parts, part), errors.Trace(err)
}

func (tb *table) ordered() []*task {
	all := make([]*task, 0, len(tb.tasks))
	for _, t := range tb.tasks {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	return all
}

// Restore implements shard.Machine.
func (tb *table) Restore(part []byte) error {
	msg := &journalv1.CellSnapshot{}
	if err := proto.Unmarshal(part, msg); err != nil {
		return errors.Trace(err)
	}
	for _, st := range msg.GetTasks() {
		if err := tb.restoreTask(st); err != nil {
			return err
		}
	}
	return nil
}

func (tb *table) restoreTask(st *journalv1.TaskState) error {
	sel, err := labels.Parse(st.GetSpec().GetVmSelector())
	if err != nil {
		return errors.Annotatef(err, "task %q", st.GetSpec().GetId())
	}
	tb.nextSeq++
	t := &task{
		spec: st.GetSpec(), phase: Phase(st.GetPhase()), attempt: st.GetAttempt(),
		worker: st.GetWorker(), boot: st.GetBoot(), given: fromProto(st.GetGiven()),
		checkpoint: st.GetCheckpoint(), cancelRequested: st.GetCancelRequested(),
		code: result.Code(st.GetCode()), detail: st.GetDetail(),
		evictions: st.GetEvictions(), failures: st.GetFailures(), resumes: st.GetResumes(),
		seq: tb.nextSeq, selector: sel, failedOn: st.GetFailedOn(),
	}
	tb.tasks[t.spec.GetId()] = t
	switch t.phase {
	case Pending:
		tb.enqueue(t)
	case Assigned:
		tb.index(t)
	default:
	}
	return nil
}

// state returns the task in the form used in snapshots and answers.
func (t *task) state() *journalv1.TaskState {
	return &journalv1.TaskState{
		Spec: t.spec, Phase: uint32(t.phase), Attempt: t.attempt, Worker: t.worker, Boot: t.boot,
		Given: toProto(t.given), Checkpoint: t.checkpoint, CancelRequested: t.cancelRequested,
		Code: uint32(t.code), Detail: t.detail,
		Evictions: t.evictions, Failures: t.failures, Resumes: t.resumes, FailedOn: t.failedOn,
	}
}

func fromProto(r *journalv1.Resources) fleet.Resources {
	return fleet.Resources{CPUMilli: r.GetCpuMilli(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}

func toProto(r fleet.Resources) *journalv1.Resources {
	return &journalv1.Resources{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// sameSpec reports whether two submissions ask for the same task.
func sameSpec(a, b *journalv1.TaskSpec) bool {
	opts := proto.MarshalOptions{Deterministic: true}
	x, errX := opts.Marshal(a)
	y, errY := opts.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// queue holds the pending tasks of one group: urgent ones first, then by
// submission. Tasks that are no longer pending are removed when encountered.
type queue struct {
	tasks []*task
}

func precedes(a, b *task) bool {
	if a.spec.GetUrgent() != b.spec.GetUrgent() {
		return a.spec.GetUrgent()
	}
	return a.seq < b.seq
}

func (q *queue) add(t *task) {
	i := sort.Search(len(q.tasks), func(i int) bool { return !precedes(q.tasks[i], t) })
	if i < len(q.tasks) && q.tasks[i] == t {
		return // not removed since it was last pending
	}
	q.tasks = append(q.tasks, nil)
	copy(q.tasks[i+1:], q.tasks[i:])
	q.tasks[i] = t
}

// first returns up to n tasks for which want holds, in order, and removes the
// tasks that it encounters and that are no longer pending.
func (q *queue) first(n int, want func(*task) bool) []*task {
	var out []*task
	kept, i := 0, 0
	for ; i < len(q.tasks) && len(out) < n; i++ {
		t := q.tasks[i]
		if t.phase != Pending {
			continue
		}
		q.tasks[kept] = t
		kept++
		if want(t) {
			out = append(out, t)
		}
	}
	if kept == i {
		return out
	}
	rest := copy(q.tasks[kept:], q.tasks[i:])
	clear(q.tasks[kept+rest:])
	q.tasks = q.tasks[:kept+rest]
	return out
}
