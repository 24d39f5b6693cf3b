package dispatch

import (
	"cmp"
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// checkpointSeeds is the number of seeds for each kind of fault with jobs that keep checkpoints; the
// first one is that of the other runs.
var checkpointSeeds = flag.Uint64("dispatch.checkpoints", 2, "number of seeds of each kind of fault with checkpoints")

// checkpointRun runs one seed of faultsRun with additional jobs that keep checkpoints. Fill tasks that
// are halted stay long, and may by chance run at several workers that crash; see mayBeGivenUp.
func checkpointRun(seed uint64, setup, mutate func(s *sim)) *sim {
	return faultsRun(seed, func(s *sim) {
		s.checkpointJobs, s.onCrashed = true, map[job.TaskID]int{}
		s.params.OverTarget, s.params.PaceAfter = simOverTarget, simPaceAfter
		if setup != nil {
			setup(s)
		}
		s.settleMore += time.Minute // there are more jobs than in other runs
		if mutate != nil {
			mutate(s)
		}
	})
}

// checkpointTally sums up the use of checkpoints over several runs.
type checkpointTally struct {
	resumed, jobs, paced, moved int
	stale                       map[string]int
	examples                    map[string]string
	repeated                    float64 // seconds
}

func (c *checkpointTally) add(s *sim) {
	o := &s.oracle.checkpoints
	c.resumed += o.resumed
	c.jobs += s.checkpointIDs
	c.paced += s.paced
	c.moved += s.preempted
	c.repeated += o.repeated.Seconds()
	for class, n := range o.stale {
		c.stale[class] += n
		if c.examples[class] == "" {
			c.examples[class] = o.examples[class]
		}
	}
}

func (c *checkpointTally) log(t *testing.T) {
	t.Helper()
	t.Logf("%d jobs, %d starts with a checkpoint, %d pace orders, %d preemptions for memory or readings; %.1f s of work repeated", c.jobs, c.resumed, c.paced, c.moved, c.repeated)
	for _, class := range slices.Sorted(maps.Keys(c.stale)) {
		t.Logf("%d starts with less work than %s; %s", c.stale[class], class, c.examples[class])
	}
}

// TestCheckpointFaults runs all kinds of faults with jobs that keep checkpoints.
func TestCheckpointFaults(t *testing.T) {
	cases := append([]faultCase{{name: "plain faults", inShort: true}}, moreFaultCases()...)
	tally := checkpointTally{stale: map[string]int{}, examples: map[string]string{}}
	for _, c := range cases {
		if testing.Short() && !c.inShort {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			for n := range *checkpointSeeds {
				seed := *simFirst + n
				s := checkpointRun(seed, c.setup, nil)
				tally.add(s)
				checkAll(t, s)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
	tally.log(t)
	if tally.resumed == 0 || tally.paced == 0 || tally.moved == 0 {
		t.Error("no start had a checkpoint, or no fill task was slowed or preempted")
	}
}

// foreignCheckpoint replaces the checkpoint of a start if fits accepts its step.
func foreignCheckpoint(fits func(s *stepRun) bool, other func(t *task) string) func(s *sim) {
	return func(s *sim) {
		s.alterStart = func(core *Core, o *Order) {
			if t := core.findTask(o.Task); t != nil && fits(t.step) {
				o.Checkpoint = other(t)
			}
		}
	}
}

// checkpointMutations returns changes that each remove one safeguard.
func checkpointMutations() map[string]func(s *sim) {
	return map[string]func(s *sim){
		"a step's checkpoint is used for plain tasks": foreignCheckpoint(
			func(s *stepRun) bool { return s.spec.Checkpoints && !s.spec.Gang },
			func(t *task) string {
				last := t.step.tasks[len(t.step.tasks)-1]
				return cmp.Or(last.checkpoint.text, t.checkpoint.text)
			}),
		"a gang's members bring their own": func(s *sim) {
			reported := map[job.TaskID]string{}
			s.alterReply = func(_ *Core, reply *PollReply) { recordCheckpoints(reported, reply) }
			s.alterStart = func(_ *Core, o *Order) {
				if text := reported[o.Task]; s.stepOf(o.Task).Gang && text != "" {
					o.Checkpoint = text
				}
			}
		},
		"occurrences share a checkpoint": foreignCheckpoint(
			func(s *stepRun) bool { return s.spec.Checkpoints && s.occurrence > 0 },
			func(t *task) string {
				first := job.TaskID{Job: t.id().Job, Step: t.step.index, Index: t.index}
				return t.step.job.steps[first.Step].tasks[first.Index].continuesFrom().text
			}),
		"a text told of a step that keeps none is used": func(s *sim) {
			falsifyPlainSteps(s)
			reported := map[job.TaskID]string{}
			s.alterReply = func(_ *Core, reply *PollReply) { recordCheckpoints(reported, reply) }
			s.alterStart = func(_ *Core, o *Order) {
				if o.Checkpoint == "" {
					o.Checkpoint = reported[o.Task]
				}
			}
		},
		"an end's checkpoint goes to what the worker runs now": func(s *sim) {
			s.alterReply = func(_ *Core, reply *PollReply) {
				for i := range reply.Ended {
					if text := reply.Ended[i].Checkpoint; text != "" && len(reply.Running) > 0 {
						reply.Running = slices.Clone(reply.Running)
						reply.Running[0].Checkpoint = text
					}
				}
			}
		},
		"a list's rows are matched by their place": func(s *sim) {
			s.alterReply = func(_ *Core, reply *PollReply) {
				if len(reply.Running) < 2 {
					return
				}
				rows := slices.Clone(reply.Running)
				for i := range rows {
					rows[i].Checkpoint = reply.Running[(i+1)%len(rows)].Checkpoint
				}
				reply.Running = rows
			}
		},
	}
}

// recordCheckpoints records the checkpoint that a reply reports for each task.
func recordCheckpoints(reported map[job.TaskID]string, reply *PollReply) {
	for i := range reply.Running {
		reported[reply.Running[i].Task] = reply.Running[i].Checkpoint
	}
	for i := range reply.Ended {
		reported[reply.Ended[i].Task] = reply.Ended[i].Checkpoint
	}
}

// falsifyPlainSteps has workers report a checkpoint for each task whose step keeps none.
func falsifyPlainSteps(s *sim) {
	s.falsify = func(w *simWorker, reply *PollReply) {
		for i := range reply.Running {
			if row := &reply.Running[i]; !s.stepOf(row.Task).Checkpoints {
				s.falsified++
				row.Checkpoint = s.checkpointText(row.Task, simCheckpointInterval)
			}
		}
		for i := range reply.Ended {
			if e := &reply.Ended[i]; !s.stepOf(e.Task).Checkpoints {
				s.falsified++
				e.Checkpoint = s.checkpointText(e.Task, simCheckpointInterval)
			}
		}
	}
}

// TestCheckpointMutations removes one safeguard at a time; the oracle must detect each removal.
func TestCheckpointMutations(t *testing.T) {
	mutations := checkpointMutations()
	for _, name := range slices.Sorted(maps.Keys(mutations)) {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if s := checkpointRun(seed, gangsLoseMembers, mutations[name]); len(s.oracle.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.broken[0])
					return
				}
			}
			t.Errorf("not detected in %d seeds", mutationSeeds)
		})
	}
}

// falsifyUnknownRuns has workers list runs that no owner ordered, with a checkpoint.
func falsifyUnknownRuns(s *sim) {
	const firstUnknown = 1 << 20 // beyond the starts of a term
	s.falsify = func(w *simWorker, reply *PollReply) {
		rng := s.checkpointRNG
		if len(s.order) == 0 || rng.IntN(20) > 0 {
			return
		}
		id := job.TaskID{Job: s.order[rng.IntN(len(s.order))]}
		if w.running[id] != nil || !s.stepOf(id).Checkpoints {
			return
		}
		s.falsified++
		const work = 10 * time.Second // more than any task does
		run := w.term<<runBits | uint64(firstUnknown+s.falsified)
		reply.Running = append(reply.Running, RunningTask{Task: id, Run: run, Percent: 1, Checkpoint: s.checkpointText(id, work)})
	}
}

// TestCheckpointsThatDoNotCount guards against starts that use a false checkpoint: workers report
// checkpoints for steps that keep none, or for runs that no owner ordered, together with all faults.
func TestCheckpointsThatDoNotCount(t *testing.T) {
	for name, falsify := range map[string]func(s *sim){"of plain steps": falsifyPlainSteps, "of unknown runs": falsifyUnknownRuns} {
		t.Run(name, func(t *testing.T) {
			falsified := 0
			for n := range *checkpointSeeds {
				seed := *simFirst + n
				s := checkpointRun(seed, allFaults, falsify)
				falsified += s.falsified
				checkAll(t, s)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
			t.Logf("%d false entries", falsified)
			if falsified == 0 {
				t.Error("no false checkpoint was reported")
			}
		})
	}
}
