package job

import (
	"strings"
	"time"
)

// Queue is where jobs are handed in; it names the group that they count for.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Service is the pool of workers that runs the queue's tasks.
	Service string
	// Priority 0 goes first.
	Priority int
	// MaxAttempts is how many failed runs a task may have.
	MaxAttempts int
	// A job is on time if it ends within Stretch times its longest chain of
	// work, plus TargetLatency, of its first submission.
	Stretch       float64
	TargetLatency time.Duration
	// RoomUnguarded is set if the service's workers start whatever they are told, also
	// beyond their room.
	RoomUnguarded bool
	// Advice is set if the service's placement policy must be asked.
	Advice *AdviceTerms
}

// AdviceTerms are the costs of a call to the placement policy: Decision plus
// PerWorker for each worker named; a ticket holds for Validity.
type AdviceTerms struct {
	Decision, PerWorker, Validity time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes bounds a submitted job; 0 is not set.
	MaxBodyBytes int64
}

// QueueFor returns the queue of a request: that of the host with the longest
// prefix that the path starts with, or nil.
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

// Queue returns the queue of that name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
