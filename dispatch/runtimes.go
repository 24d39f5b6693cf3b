package dispatch

import (
	"math"
	"time"
)

// perfKey groups tasks that run alike.
type perfKey struct{ queue, image string }

// runTimes is a moving mean of the logarithm of run times.
type runTimes struct {
	n   int
	log float64
}

// runTimeWeight is the weight of a new run time once there are many: the mean
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

// learnRunTime takes in the time of a run that began without a checkpoint.
func (c *Core) learnRunTime(a *attempt, now Instant) {
	s := a.task.step
	if s.spec.Lasting || a.adopted || a.task.checkpoint.text != "" {
		return
	}
	key := perfKey{s.job.spec.Queue, s.spec.Image}
	r := c.perfByKey[key]
	if r == nil {
		r = &runTimes{}
		c.perfByKey[key] = r
	}
	r.add(now.Steady - a.started)
}

// estimate returns the expected run time of a step's task: the geometric mean
// of what its submitter guessed and what its like took.
func (c *Core) estimate(s *stepRun) time.Duration {
	guess := s.spec.Estimate()
	r := c.perfByKey[perfKey{s.job.spec.Queue, s.spec.Image}]
	switch {
	case r == nil || r.n == 0:
		return guess
	case guess == 0:
		return r.mean()
	default:
		return time.Duration(math.Sqrt(float64(guess) * float64(r.mean())))
	}
}

// chain returns the longest chain of work of the job that is left in one
// occurrence, by estimates.
func (c *Core) chain(j *jobState, occurrence int) time.Duration {
	n := len(j.spec.Steps)
	first := occurrence * n
	if first+n > len(j.steps) {
		return 0
	}
	ends := make([]time.Duration, n)
	longest := time.Duration(0)
	for i, s := range j.steps[first : first+n] {
		for _, earlier := range s.spec.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if s.left > 0 && !s.spec.Lasting {
			ends[i] += c.estimate(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
