package dispatch

import (
	"bytes"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"leverstile.dev/job"
)

// queueRecords is what the store has of the queues' settings. The next owner may have an
// older configuration than this one, or a newer one that lacks queues with unfinished jobs.
type queueRecords struct {
	// versions holds, for each known queue, the version of the configuration in which its
	// settings last changed.
	versions map[string]int64
	// stored is the value that the store has; stale is set while it may be out of date.
	stored []byte
	stale  bool
}

// newest returns the newest version in which the settings of a known queue changed.
func (r *queueRecords) newest() (version int64) {
	for _, v := range r.versions {
		version = max(version, v)
	}
	return version
}

// SetConfig applies a version of the configuration. A queue that was removed keeps its last
// settings while it has unfinished jobs.
func (c *Core) SetConfig(config *job.Config) {
	if c.config == config || c.config != nil && config.Version < c.config.Version {
		return
	}
	first := c.config == nil
	c.config = config
	listed := make(map[string]bool, len(config.Queues))
	for i := range config.Queues {
		listed[config.Queues[i].Name] = true
		c.setQueue(job.QueueRecord{Version: config.Version, Queue: config.Queues[i]})
	}
	older := config.Version < c.queueRecords.newest()
	for _, s := range config.Services {
		c.unguarded[s.Name] = s.CapacityUnchecked || older && c.unguarded[s.Name]
	}
	if !first { // the stored jobs are added after the first configuration
		c.forgetRemovedQueues(listed)
	}
}

// setQueue applies the settings of a queue unless newer ones are known.
func (c *Core) setQueue(r job.QueueRecord) {
	before, known := c.queues[r.Name]
	if known && r.Version < c.queueRecords.versions[r.Name] {
		return
	}
	c.queues[r.Name] = r.Queue
	c.services[r.Service] = true
	c.unguarded[r.Service] = r.CapacityUnchecked
	if !known || !before.SameSettings(&r.Queue) {
		c.queueRecords.versions[r.Name] = r.Version
		c.queueRecords.stale = true
	}
}

// forgetRemovedQueues forgets the queues that are not listed and have no unfinished jobs.
func (c *Core) forgetRemovedQueues(listed map[string]bool) {
	if len(c.queues) == len(listed) {
		return
	}
	used := map[string]bool{}
	for _, j := range c.jobs {
		if !j.progress.State.Final() || j.active > 0 {
			used[j.spec.Queue] = true
		}
	}
	for _, d := range c.deferred {
		used[d.spec.Queue] = true
	}
	for name := range c.queues {
		if !listed[name] && !used[name] {
			delete(c.queues, name)
			delete(c.queueRecords.versions, name)
			c.queueRecords.stale = true
		}
	}
}

// queueOf returns the settings of a job's queue: the newest that are known or, for a queue
// that was removed before this owner knew it, those with which the job was accepted.
func (c *Core) queueOf(spec *job.Spec) (q job.Queue, known bool) {
	if q, known := c.queues[spec.Queue]; known {
		return q, true
	}
	if r := spec.AcceptedQueue; r != nil && r.Service != "" {
		return r.Queue, true
	}
	return job.Queue{}, false
}

// settingsOf is queueOf without the report whether the queue is known.
func (c *Core) settingsOf(spec *job.Spec) job.Queue {
	q, _ := c.queueOf(spec)
	return q
}

// serviceOf returns the service that runs a job's tasks.
func (c *Core) serviceOf(spec *job.Spec) string { return c.settingsOf(spec).Service }

// serveQueueOf includes the service of a job's queue in those that the owner uses, if only the
// job's record has the queue.
func (c *Core) serveQueueOf(spec *job.Spec) {
	if _, inForce := c.queues[spec.Queue]; inForce {
		return
	}
	q, known := c.queueOf(spec)
	if !known {
		c.trace(Decision{Event: "job_without_queue", Job: spec.ID, Reason: "no configuration or record has the queue " + spec.Queue})
		return
	}
	c.services[q.Service] = true
	if _, listed := c.unguarded[q.Service]; !listed {
		c.unguarded[q.Service] = q.CapacityUnchecked
	}
	c.trace(Decision{Event: "queue_recovered", Job: spec.ID, Reason: "the settings with which the job was accepted, of the removed queue " + spec.Queue})
}

// RecoverQueues applies the record of the queues that the previous owner stored, before the
// configuration is set. One that can't be decoded is replaced.
func (c *Core) RecoverQueues(value []byte) error {
	var list []job.QueueRecord
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	for _, r := range list {
		if r.Name != "" && r.Service != "" {
			c.setQueue(r)
		}
	}
	c.queueRecords.stored, c.queueRecords.stale = value, false
	return nil
}

// QueueRecords returns the record of the queues to store; nil if the store has the newest one.
func (c *Core) QueueRecords() ([]byte, error) {
	if !c.queueRecords.stale {
		return nil, nil
	}
	value, err := c.encodeQueues()
	if err == nil && bytes.Equal(value, c.queueRecords.stored) {
		c.queueRecords.stale = false
		return nil, nil
	}
	return value, err
}

func (c *Core) encodeQueues() ([]byte, error) {
	list := make([]job.QueueRecord, 0, len(c.queues))
	for _, name := range slices.Sorted(maps.Keys(c.queues)) {
		list = append(list, job.QueueRecord{Version: c.queueRecords.versions[name], Queue: c.queues[name]})
	}
	return json.Marshal(list)
}

// QueuesStored records that the store holds what QueueRecords returned.
func (c *Core) QueuesStored(value []byte) {
	if value == nil {
		return
	}
	newest, err := c.encodeQueues()
	c.queueRecords.stored, c.queueRecords.stale = value, err != nil || !bytes.Equal(value, newest)
}

// QueuesStale reports whether the record of the queues may have to be written.
func (c *Core) QueuesStale() bool { return c.queueRecords.stale }
