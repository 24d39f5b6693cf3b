package node

import (
	"strconv"
	"sync"

	"leverstile.dev/dispatch"
)

// mostComplaints bounds what is remembered of keys that can't be read, and so
// the lines on them: some KB, and a line each the first time.
const mostComplaints = 256

// complaints remembers what was said of keys that can't be read, so that each
// change gets one line however often the key is read. Its lock guards said.
type complaints struct {
	mu   sync.Mutex
	said map[string]string
}

// fresh reports whether this was not said of the key last, and remembers it.
func (c *complaints) fresh(key, what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.said[key]; ok && before == what {
		return false
	}
	if len(c.said) >= mostComplaints {
		return false
	}
	if c.said == nil {
		c.said = map[string]string{}
	}
	c.said[key] = what
	return true
}

// keep forgets the keys under which nothing is wrong any more.
func (c *complaints) keep(wrong map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.said {
		if !wrong[key] {
			delete(c.said, key)
		}
	}
}

// noteUnusable takes in the entries of workers that can't be used, as of the
// newest list.
func (n *Node) noteUnusable(list []dispatch.UnusableEntry) {
	wrong := make(map[string]bool, len(list))
	for _, e := range list {
		wrong[string(e.ID)] = true
	}
	n.badEntries.keep(wrong)
	n.unusable.Store(int64(len(list)))
	for _, e := range list {
		if n.badEntries.fresh(string(e.ID), e.Reason) {
			n.log.Warn().Str("event", "worker_entry_unusable").Str("worker", string(e.ID)).Str("reason", e.Reason).Msg("")
		}
	}
}

// noteUnreadable logs a key that can't be read, once for each of its revisions.
func (n *Node) noteUnreadable(event, key string, revision int64, err error) {
	if n.badKeys.fresh(key, strconv.FormatInt(revision, 10)) {
		n.metrics.unreadable.Inc()
		n.log.Error().Str("event", event).Str("key", key).Int64("revision", revision).Err(err).Msg("")
	}
}
