package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"leverstile.dev/job"
)

// checkpointFaults holds what the simulation does with checkpoints, where it is switched on, and the
// safeguards on them that can be switched off.
type checkpointFaults struct {
	// checkpointJobs: some jobs keep checkpoints, among them gangs, repeated and
	// long-running jobs, and fill tasks that are slowed and preempted.
	checkpointJobs bool
	// checkpointRNG draws the random values that only these jobs need.
	checkpointRNG *rand.Rand
	checkpointIDs int
	// paced counts the pace orders that were carried out, preempted the stops of fill tasks.
	paced, preempted int
	// falsify, if set, adds false entries to a worker's lists; falsified counts them.
	falsify   func(w *simWorker, reply *PollReply)
	falsified int

	// Safeguards that are switched off: alterStart changes an order, alterReply a poll reply.
	alterStart func(core *Core, o *Order)
	alterReply func(core *Core, reply *PollReply)
}

const (
	// simCheckpointInterval is the work between two checkpoints of a run. Members of a
	// gang differ by simMemberLag, so that their checkpoints differ.
	simCheckpointInterval = 400 * time.Millisecond
	simMemberLag          = 35 * time.Millisecond
	// simTarget is the target of serving tasks, in milliseconds. Their reading is
	// simTailAlone, plus simTailFill for each fill task beside them at full pace.
	simTarget    = 100
	simTailAlone = 50
	simTailFill  = 60
	// firstCheckpointJob is the first id of jobs with checkpoints, separate from others.
	firstCheckpointJob = 200_000
	// simOverTarget is how long fill tasks may keep a serving task over its target,
	// simPaceAfter the age from which a run can be paced.
	simOverTarget = 4 * time.Second
	simPaceAfter  = 300 * time.Millisecond
	// fillQueue is the queue whose tasks any other queue may preempt.
	fillQueue = "fills"
)

// simWork is the work that a run has done, counted from the task's first run.
type simWork struct {
	resumedAt       time.Duration // work recorded in the checkpoint it started from
	done            time.Duration // until since
	since           time.Duration
	working         bool // false while a gang's member waits for the others
	pace            int
	left            time.Duration // at full pace, when the pace was last set
	startCheckpoint string        // the checkpoint it started from
}

// at returns the work done at a time.
func (x *simWork) at(now time.Duration) time.Duration {
	if !x.working {
		return x.done
	}
	return x.done + (now-x.since)*time.Duration(x.pace)/fullPace
}

// setPace changes the pace of a run and moves its end accordingly.
func (r *simRun) setPace(percent int, now time.Duration) {
	const halted = time.Hour
	left := (r.ends - now) * time.Duration(r.work.pace) / fullPace
	if r.work.pace == 0 {
		left = r.work.left
	}
	r.work.done, r.work.since, r.work.pace = r.work.at(now), now, percent
	r.work.left = left
	r.ends = now + halted
	if percent > 0 {
		r.ends = now + left*fullPace/time.Duration(percent)
	}
}

// checkpointOwner returns the task that stands for all tasks which can use a checkpoint: any member's
// checkpoint is valid for its whole gang.
func (s *sim) checkpointOwner(id job.TaskID) job.TaskID {
	if s.stepOf(id).Gang {
		id.Index = 0
	}
	return id
}

func (s *sim) stepOf(id job.TaskID) *job.Step { return &s.specs[id.Job].Steps[id.Step] }

// checkpointText returns a checkpoint that names the work done and the task or gang.
func (s *sim) checkpointText(id job.TaskID, done time.Duration) string {
	return fmt.Sprintf("%08x", done.Milliseconds()) + s.checkpointOwner(id).String()
}

// checkpointWork returns the work recorded in a checkpoint.
func checkpointWork(text string) time.Duration {
	const digits = 8
	if len(text) < digits {
		return 0
	}
	ms, err := strconv.ParseInt(text[:digits], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// begin has a run continue from a checkpoint. The remaining work is drawn independently of it, so that
// runs last as long without checkpoints as with them.
func (r *simRun) begin(s *sim, checkpoint string) {
	done := checkpointWork(checkpoint)
	r.work = simWork{resumedAt: done, done: done, since: s.now, working: !s.stepOf(r.task).Gang, pace: fullPace, startCheckpoint: checkpoint}
}

// saved returns the latest checkpoint that a run has saved.
func (r *simRun) saved(s *sim, stopped bool) string {
	if !s.stepOf(r.task).Checkpoints {
		return ""
	}
	done := r.work.at(s.now)
	if stopped && done > r.work.resumedAt {
		return s.checkpointText(r.task, done)
	}
	interval := simCheckpointInterval + simMemberLag*time.Duration(r.task.Index%8)
	if saved := (done - r.work.resumedAt) / interval * interval; saved > 0 {
		return s.checkpointText(r.task, r.work.resumedAt+saved)
	}
	if r.run%2 == 0 {
		return "" // the run has saved none itself
	}
	return r.work.startCheckpoint
}

// reading returns the reading in a run's row of the list: the processor time of a fill task, the tail
// latency of a serving task.
func (w *simWorker) reading(r *simRun) (value int64, has bool) {
	step := w.sim.stepOf(r.task)
	switch {
	case step.Fills:
		return step.CPUMilli * int64(r.work.pace) / fullPace, true
	case step.TargetMS == 0:
		return 0, false
	}
	value = simTailAlone
	for _, other := range w.running {
		if w.sim.stepOf(other.task).Fills {
			value += simTailFill * int64(other.work.pace) / fullPace
		}
	}
	return value, true
}

// submitCheckpointJobs submits a job with checkpoints now and then.
func (s *sim) submitCheckpointJobs() {
	if !s.checkpointJobs || s.checkpointRNG.IntN(30) > 0 {
		return
	}
	s.checkpointIDs++
	spec := s.checkpointJob(firstCheckpointJob + s.checkpointIDs)
	s.submit(spec)
	if spec.LongRunning() {
		s.later(2*time.Second+time.Duration(s.checkpointRNG.Int64N(int64(20*time.Second))), func() { s.cancel(spec.ID) })
	}
}

func (s *sim) checkpointJob(id int) *job.Spec {
	rng := s.checkpointRNG
	spec := simpleJob(id, 1+rng.IntN(3), 1+rng.IntN(2))
	first := &spec.Steps[0]
	first.Checkpoints = true
	switch rng.IntN(7) {
	case 0:
		first.Gang, first.Count = true, 2+rng.IntN(3)
	case 1:
		spec.Occurrences, spec.IntervalMS = 2+rng.IntN(2), rng.Int64N(1500)
		spec.FirstDueMS = s.now.Milliseconds() + rng.Int64N(2000)
		first.Gang = rng.IntN(2) == 0
	case 2:
		spec.Steps = spec.Steps[:1]
		first.LongRunning = true
	case 3:
		spec.Steps = spec.Steps[:1]
		first.LongRunning, first.TargetMS, first.Image = true, simTarget, "serves"
	case 4, 5:
		spec.Queue = fillQueue
		spec.Steps = spec.Steps[:1]
		first.Fills, first.MemoryMiB, first.Image = true, 2500, "fills"
	}
	return spec
}

// config returns the owners' configuration; it has the queue of fill tasks if jobs keep checkpoints.
func (s *sim) config() *job.Config {
	queues := s.simQueues()
	if s.checkpointJobs {
		queues = append(queues, job.Queue{Name: fillQueue, Service: "svc", Priority: 1, MaxAttempts: s.maxAttempts, Stretch: s.stretch})
	}
	return &job.Config{Version: 1, Queues: queues}
}

func (s *sim) isFill(id job.TaskID) bool { return s.stepOf(id).Fills }
