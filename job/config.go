package job

import (
	"strings"
	"time"
)

// Queue is a destination of submitted jobs; jobs are counted under its name.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request.
	Host       string
	PathPrefix string
	// Service is the pool of workers that runs the queue's tasks.
	Service string
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// A job is on time if it ends, counted from its first submission, within
	// Stretch times its longest chain of work plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// CapacityUnchecked is set if the service's workers don't check their capacity
	// themselves: they start every run that is ordered, also beyond their capacity.
	CapacityUnchecked bool
	// Advice is set if the service's placement policy must be consulted.
	Advice *AdviceTerms
}

// AdviceTerms are the times of a call to the placement policy: it costs Decision
// plus PerWorker for each worker named, and its ticket is valid for Validity.
type AdviceTerms struct {
	Decision, PerWorker, Validity time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes bounds a submitted job; 0 means that it is not set.
	MaxBodyBytes int64
}

// QueueFor returns the queue for a request: of the queues of its host, the one with
// the longest prefix of the path, or nil.
func (c *Config) QueueFor(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with that name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
