package job

import (
	"strings"
	"time"
)

// Queue is a destination of submitted jobs; jobs are counted under its name. Its settings are
// stored with the jobs that need them, except for Host and PathPrefix, which only select it.
// Times are stored in nanoseconds.
type Queue struct {
	Name string `json:"name"`
	// Host and PathPrefix select the queue of a request.
	Host       string `json:"-"`
	PathPrefix string `json:"-"`
	// Service is the pool of workers that runs the queue's tasks.
	Service string `json:"service"`
	// Priority 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// A job is on time if it ends, counted from its first submission, within
	// Stretch times its longest chain of work plus TargetLatency.
	Stretch       float64       `json:"stretch,omitempty"`
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	// CapacityUnchecked is set if the service's workers don't check their capacity
	// themselves: they start every run that is ordered, also beyond their capacity.
	CapacityUnchecked bool `json:"capacity_unchecked,omitempty"`
	// Advice is set if the service's placement policy must be consulted.
	Advice *AdviceTerms `json:"advice,omitempty"`
}

// AdviceTerms are the times of a call to the placement policy: it costs Decision
// plus PerWorker for each worker named, and its ticket is valid for Validity.
type AdviceTerms struct {
	Decision  time.Duration `json:"decision,omitempty"`
	PerWorker time.Duration `json:"per_worker,omitempty"`
	Validity  time.Duration `json:"validity,omitempty"`
}

// QueueRecord holds the settings of a queue by a version of the configuration, for owners
// whose configuration no longer has the queue.
type QueueRecord struct {
	Version int64 `json:"version"`
	Queue
}

// SameSettings reports whether tasks of both queues are treated alike.
func (q *Queue) SameSettings(o *Queue) bool {
	x, y := *q, *o
	x.Advice, y.Advice = nil, nil
	x.Host, x.PathPrefix, y.Host, y.PathPrefix = "", "", "", ""
	if x != y || (q.Advice == nil) != (o.Advice == nil) {
		return false
	}
	return q.Advice == nil || *q.Advice == *o.Advice
}

// Service is a pool of workers.
type Service struct {
	Name string
	// CapacityUnchecked is that of Queue, for the queues that no longer exist.
	CapacityUnchecked bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// Services are those that the configuration lists, also without a queue.
	Services []Service
	// MaxHeadBytes bounds the request line and the headers of a customer's request, MaxBodyBytes
	// its body; 0 means that a limit is not set.
	MaxHeadBytes, MaxBodyBytes int64
	// HeadTimeout bounds the time in which a head must arrive, IdleTimeout the time without a
	// request, or without progress in one; 0 means that a limit is not set.
	HeadTimeout, IdleTimeout time.Duration
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

// QueueRecord returns the record of the queue with that name, or nil.
func (c *Config) QueueRecord(name string) *QueueRecord {
	q := c.Queue(name)
	if q == nil {
		return nil
	}
	return &QueueRecord{Version: c.Version, Queue: *q}
}
