package dispatch

import (
	"math"
	"time"
)

// runTimeKey groups tasks with similar run times: those of one queue and image.
type runTimeKey struct{ queue, image string }

// runTimes is a moving average of the logarithm of run times.
type runTimes struct {
	n   int
	log float64
}

// runTimeWeight is the weight of a new run time once there are many: the average
// covers about the last 30.
const runTimeWeight = 1.0 / 30

func (r *runTimes) add(d time.Duration) {
	r.n++
	weight := max(runTimeWeight, 1/float64(r.n))
	r.log += weight * (math.Log(max(d.Seconds(), 0.01)) - r.log)
}

func (r *runTimes) mean() time.Duration {
	return time.Duration(math.Exp(r.log) * float64(time.Second))
}

// learnRunTime records the time of a run that started without a checkpoint.
func (c *Core) learnRunTime(a *attempt, now Instant) {
	s := a.task.step
	if s.spec.LongRunning || a.adopted || a.task.checkpoint.text != "" {
		return
	}
	key := runTimeKey{s.job.spec.Queue, s.spec.Image}
	r := c.runTimesByKey[key]
	if r == nil {
		r = &runTimes{}
		c.runTimesByKey[key] = r
	}
	r.add(now.Steady - a.started)
}

// estimate returns the expected run time of a step's task: the geometric mean of
// the submitter's estimate and the run times of its queue and image.
func (c *Core) estimate(s *stepRun) time.Duration {
	guess := s.spec.Estimate()
	r := c.runTimesByKey[runTimeKey{s.job.spec.Queue, s.spec.Image}]
	switch {
	case r == nil || r.n == 0:
		return guess
	case guess == 0:
		return r.mean()
	default:
		return time.Duration(math.Sqrt(float64(guess) * float64(r.mean())))
	}
}

// criticalPath returns the critical path of the job's work that is left in one
// occurrence, by estimates.
func (c *Core) criticalPath(j *jobState, occurrence int) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i, s := range j.stepsOf(occurrence) {
		for _, earlier := range s.spec.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if s.remaining > 0 && !s.spec.LongRunning {
			ends[i] += c.estimate(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
