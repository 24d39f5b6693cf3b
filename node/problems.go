package node

import (
	"strconv"
	"sync"

	"leverstile.dev/dispatch"
)

// maxReportedProblems bounds the keys with reported problems, and so the log lines on
// them: some KB of memory, and one line each the first time.
const maxReportedProblems = 256

// reportedProblems remembers the last problem that was logged of each key, so that each
// change is logged once however often the key is read. Its lock guards reported.
type reportedProblems struct {
	mu       sync.Mutex
	reported map[string]string
}

// add records a key's problem; it reports whether the problem is new and to be logged.
func (c *reportedProblems) add(key, what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.reported[key]; ok && before == what {
		return false
	}
	if len(c.reported) >= maxReportedProblems {
		return false
	}
	if c.reported == nil {
		c.reported = map[string]string{}
	}
	c.reported[key] = what
	return true
}

// retain forgets all keys except those that still have a problem.
func (c *reportedProblems) retain(wrong map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.reported {
		if !wrong[key] {
			delete(c.reported, key)
		}
	}
}

// recordUnusable records the entries of workers that can't be used in the newest list,
// and logs the new ones.
func (n *Node) recordUnusable(list []dispatch.UnusableEntry) {
	wrong := make(map[string]bool, len(list))
	for _, e := range list {
		wrong[string(e.ID)] = true
	}
	n.badWorkerEntries.retain(wrong)
	n.unusable.Store(int64(len(list)))
	for _, e := range list {
		if n.badWorkerEntries.add(string(e.ID), e.Reason) {
			n.log.Warn().Str("event", "worker_entry_unusable").Str("worker", string(e.ID)).Str("reason", e.Reason).Msg("")
		}
	}
}

// logUnreadable logs a key that can't be read, once for each of its revisions.
func (n *Node) logUnreadable(event, key string, revision int64, err error) {
	if n.badKeys.add(key, strconv.FormatInt(revision, 10)) {
		n.metrics.unreadable.Inc()
		n.log.Error().Str("event", event).Str("key", key).Int64("revision", revision).Err(err).Msg("")
	}
}
