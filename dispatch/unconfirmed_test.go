package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestUnansweredStartsBlameNoTask: starts that are lost on their way prove nothing about crashes of
// their workers afterwards, whenever these come. Otherwise a job whose task crashes no worker fails
// permanently, though some of the counted runs have never started.
func TestUnansweredStartsBlameNoTask(t *testing.T) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	const lostStarts = 3
	for after := 20 * time.Millisecond; after <= startWindow+500*time.Millisecond; after += 60 * time.Millisecond {
		for _, sameID := range []bool{false, true} {
			t.Run(fmt.Sprintf("crash after %v, same ids %v", after, sameID), func(t *testing.T) {
				f := newCrashFleetOf(t, 12, sameID)
				beside, spec := simpleJob(1, 24), simpleJob(2, 1)
				f.core.AddJob(beside, nil, false, f.now)
				f.pass(8 * time.Second)
				lost := map[uint64]string{}
				f.startFault = func(o Order) (bool, Outcome) {
					if o.Task.Job == spec.ID && (lost[o.Run] != "" || len(lost) < lostStarts) {
						lost[o.Run] = o.Address
						return false, OutcomeUnknown
					}
					return true, OutcomeOK
				}
				f.core.AddJob(spec, nil, false, f.now)
				for ended := 0; f.now.Steady < 90*time.Second; {
					f.pass(20 * time.Millisecond)
					if len(lost) == ended {
						continue
					}
					ended = len(lost)
					f.pass(after)
					for run, vm := range lost {
						if run == f.core.newestRunOf(spec) && f.down[vm] == 0 {
							f.end(vm, 400*time.Millisecond)
						}
					}
				}
				if s := f.state(spec); s != job.Running {
					t.Errorf("the job is %s: %v", s, f.decisionsOf("task_suspected"))
				}
				if len(lost) < lostStarts {
					t.Errorf("only %d starts were lost", len(lost))
				}
			})
		}
	}
}

// newestRunOf returns the newest run of a job's only task.
func (c *Core) newestRunOf(spec *job.Spec) uint64 {
	return c.jobs[spec.ID].steps[0].tasks[0].lastStart.run
}

// TestCrashThatBreaksOffItsStartCounts: a task that crashes its worker before the call of its start
// is answered is given up after three crashes, too.
func TestCrashThatBreaksOffItsStartCounts(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		f := newCrashFleetOf(t, 12, sameID)
		bad, good := simpleJob(1, 1), simpleJob(2, 24)
		f.crasher = firstTaskOf(bad)
		f.startFault = func(o Order) (bool, Outcome) {
			if o.Task.Job == bad.ID {
				return true, OutcomeBroken
			}
			return true, OutcomeOK
		}
		f.core.AddJob(good, nil, false, f.now)
		f.pass(time.Second)
		f.core.AddJob(bad, nil, false, f.now)
		f.pass(60 * time.Second)
		f.checkGivenUp(bad, good)
		if n := f.crashed(); n > crashLimit {
			t.Errorf("same ids %v: %d workers have crashed, want %d", sameID, n, crashLimit)
		}
	}
}
