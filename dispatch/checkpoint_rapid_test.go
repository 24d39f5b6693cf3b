package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leverstile.dev/job"
)

// checkpointModel sends a core lists and ends in any order, and records the expected checkpoints.
type checkpointModel struct {
	core *Core
	now  Instant
	spec *job.Spec
	// unread holds the incarnations whose lists were not read yet.
	unread map[WorkerID]bool
	// workers are the current incarnations; the field incarnations counts all that there were.
	workers      []WorkerID
	incarnations int
	clock        int64
	ends         map[WorkerID]uint64
	// newest is the highest run that reported a text of a task or gang, reported its last text.
	newest   map[job.TaskID]uint64
	reported map[job.TaskID]string
	// started holds the runs of each task that the core ordered, in their order.
	started map[job.TaskID][]startedRun
	// sent holds replies that may be repeated.
	sent []checkpointReply
}

type checkpointReply struct {
	worker WorkerID
	reply  PollReply
}

// checkpointTask returns the task that represents all that share a checkpoint.
func (m *checkpointModel) checkpointTask(id job.TaskID) job.TaskID {
	if m.spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	return id
}

// drawRun draws a task, a run of it and its worker. The run is one that the core ordered there,
// an earlier owner's, or one that no owner can have ordered there.
func (m *checkpointModel) drawRun(t *rapid.T) (id job.TaskID, run uint64, worker WorkerID) {
	id = job.TaskID{Job: m.spec.ID, Occurrence: rapid.IntRange(0, m.spec.OccurrenceCount()-1).Draw(t, "occurrence"), Step: rapid.IntRange(0, len(m.spec.Steps)-1).Draw(t, "step")}
	id.Index = rapid.IntRange(0, m.spec.Steps[id.Step].Count-1).Draw(t, "index")
	started := m.started[id]
	if len(started) > 0 && rapid.Bool().Draw(t, "ordered") {
		r := rapid.SampledFrom(started).Draw(t, "run")
		if m.core.workers[r.worker] != nil {
			return id, r.run, r.worker
		}
	}
	term := rapid.Uint64Range(0, m.core.term+1).Draw(t, "term")
	return id, term<<runBits | rapid.Uint64Range(1, 5).Draw(t, "number"), rapid.SampledFrom(m.workers).Draw(t, "worker")
}

// counts reports whether a run may have saved a text: it is one of the newest two that the
// core ordered, at its worker, or an earlier owner's at a worker whose lists were not read yet.
func (m *checkpointModel) counts(id job.TaskID, run uint64, worker WorkerID) bool {
	started := m.started[id]
	if slices.Contains(started[max(0, len(started)-2):], startedRun{run, worker}) {
		return true
	}
	term := run >> runBits
	return 0 < term && term < m.core.term && m.unread[worker]
}

// record records a text as reported by a run of the task, unless it does not count.
func (m *checkpointModel) record(id job.TaskID, run uint64, worker WorkerID, text string) {
	if text == "" || !m.spec.Steps[id.Step].Checkpoints || !m.counts(id, run, worker) {
		return
	}
	id = m.checkpointTask(id)
	if run < m.newest[id] {
		return
	}
	m.newest[id], m.reported[id] = run, text
}

func (m *checkpointModel) answer(worker WorkerID, reply PollReply) {
	delete(m.unread, worker)
	m.now.Steady += 10 * time.Millisecond
	m.core.PollDone(PollRequest{Worker: worker}, reply, OutcomeOK, m.now)
}

// end has a worker report the end of a run.
func (m *checkpointModel) end(t *rapid.T) {
	id, run, worker := m.drawRun(t)
	text := m.drawText(t, id, run)
	m.ends[worker]++
	m.clock++
	reply := PollReply{ClockMS: m.clock, Running: m.running(worker, id), Ended: []EndedTask{{
		Number: m.ends[worker], Task: id, Run: run, Checkpoint: text,
		Kind: rapid.SampledFrom([]EndKind{EndStopped, EndLapsed, EndFailed, EndBroken}).Draw(t, "kind"),
	}}}
	m.record(id, run, worker, text)
	m.send(worker, reply)
}

// list has a worker list what it runs, with a new checkpoint of one task.
func (m *checkpointModel) list(t *rapid.T) {
	id, run, worker := m.drawRun(t)
	a := m.core.findTask(id).attempt
	if a == nil || a.run != run || a.worker.info.ID != worker {
		return // the row of a run that is not expected has no effect
	}
	text := m.drawText(t, id, run)
	m.clock++
	rows := append(m.running(worker, id), RunningTask{Task: id, Run: run, Checkpoint: text})
	m.record(id, run, worker, text)
	m.send(worker, PollReply{ClockMS: m.clock, Running: rows})
}

func (m *checkpointModel) drawText(t *rapid.T, id job.TaskID, run uint64) string {
	if rapid.IntRange(0, 3).Draw(t, "saved") == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d/%d", m.checkpointTask(id), run, rapid.IntRange(0, 9).Draw(t, "work"))
}

// running returns the rows of what a worker runs, except one task.
func (m *checkpointModel) running(worker WorkerID, except job.TaskID) []RunningTask {
	var rows []RunningTask
	for _, a := range m.core.workers[worker].attempts {
		if id := a.task.id(); id != except {
			rows = append(rows, RunningTask{Task: id, Run: a.run})
		}
	}
	return rows
}

func (m *checkpointModel) send(worker WorkerID, reply PollReply) {
	m.sent = append(m.sent, checkpointReply{worker, reply})
	m.answer(worker, reply)
}

// repeat sends an earlier reply once more.
func (m *checkpointModel) repeat(t *rapid.T) {
	if len(m.sent) > 0 {
		r := rapid.SampledFrom(m.sent).Draw(t, "answer")
		m.answer(r.worker, r.reply)
	}
}

// addIncarnation lists a new incarnation of a worker, which answers.
func (m *checkpointModel) addIncarnation(i int) {
	m.incarnations++
	id := WorkerID(fmt.Sprintf("w%d-%d", i, m.incarnations))
	m.workers[i] = id
	var list []WorkerInfo
	for i, id := range m.workers {
		list = append(list, WorkerInfo{ID: id, Address: fmt.Sprint(i), Service: "svc", CPUMilli: 16_000, MemoryMiB: 32_000})
	}
	m.core.SetWorkers(list, m.now)
	storeOpen(m.core, id)
	m.unread[id] = true
}

// read has a worker whose lists may not have been read answer with nothing new.
func (m *checkpointModel) read(t *rapid.T) {
	worker := rapid.SampledFrom(m.workers).Draw(t, "read")
	m.clock++
	m.answer(worker, PollReply{ClockMS: m.clock, Running: m.running(worker, job.TaskID{})})
}

// restart ends a worker's incarnation and adds the next one.
func (m *checkpointModel) restart(t *rapid.T) {
	const mostLives = 5 // tasks that meet more crashes are given up
	if m.incarnations == mostLives {
		return
	}
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "restarted")
	m.core.PollDone(PollRequest{Worker: m.workers[i]}, PollReply{}, OutcomeOtherIncarnation, m.now)
	m.addIncarnation(i)
}

// schedule starts what is ready.
func (m *checkpointModel) schedule(t *rapid.T) {
	m.now.Steady += retryDelay
	m.core.Schedule(m.now)
	for _, o := range starts(m.core) {
		m.checkText(t, o.Task, o.Checkpoint)
		m.started[o.Task] = append(m.started[o.Task], startedRun{o.Run, o.Worker})
	}
}

// check compares the checkpoint of each task's next start with the one that was reported.
func (m *checkpointModel) check(t *rapid.T) {
	for _, s := range m.core.jobs[m.spec.ID].steps {
		for _, task := range s.tasks {
			m.checkText(t, task.id(), task.continuesFrom().text)
		}
	}
}

func (m *checkpointModel) checkText(t *rapid.T, id job.TaskID, text string) {
	if reported := m.reported[m.checkpointTask(id)]; text != reported {
		t.Fatalf("task %s starts with checkpoint %q; its newest run %d reported %q", id, text, m.newest[m.checkpointTask(id)], reported)
	}
}

// TestCheckpointIsOfNewestRun: whatever lists and ends are reported, in any order and repeatedly, a
// task starts with the last text of the newest run, of it or its gang, that reported one.
func TestCheckpointIsOfNewestRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCheckpointModel()
		t.Repeat(map[string]func(*rapid.T){
			"end": m.end, "list": m.list, "repeat": m.repeat, "read": m.read, "schedule": m.schedule, "restart": m.restart, "": m.check,
		})
	})
}

func newCheckpointModel() *checkpointModel {
	const term = 4
	now := Instant{Steady: time.Minute, UnixMS: 1_000_000}
	m := &checkpointModel{core: leasedCore(Params{}, term, now), now: now, clock: 1, ends: map[WorkerID]uint64{}, newest: map[job.TaskID]uint64{}, reported: map[job.TaskID]string{}, unread: map[WorkerID]bool{}, started: map[job.TaskID][]startedRun{}}
	for range 3 {
		m.workers = append(m.workers, "")
		m.addIncarnation(len(m.workers) - 1)
	}
	m.spec = simpleJob(1, 2, 3, 2)
	m.spec.Occurrences, m.spec.IntervalMS = 2, 1
	m.spec.Steps[0].Checkpoints = true
	m.spec.Steps[1].Checkpoints, m.spec.Steps[1].Gang, m.spec.Steps[1].After = true, true, nil
	m.spec.Steps[2].After = nil
	m.core.AddJob(m.spec, nil, false, m.now)
	return m
}
