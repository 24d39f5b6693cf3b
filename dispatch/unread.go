package dispatch

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// unreadTasks are the tasks that may have run at workers of the previous owner that were
// lost before this owner read their lists.
type unreadTasks struct {
	any   bool // any task may have run at one of these workers
	tasks map[string]bool
}

// unreadRecord is unreadTasks as stored.
type unreadRecord struct {
	Any   bool     `json:"any,omitempty"`
	Tasks []string `json:"tasks,omitempty"`
}

// add adds the tasks that may have run at one more worker.
func (l *unreadTasks) add(u unresolvedWorker) {
	l.any = l.any || u.open
	if l.tasks == nil {
		l.tasks = map[string]bool{}
	}
	maps.Copy(l.tasks, u.tasks)
}

// none reports whether no task may have run at such a worker.
func (l *unreadTasks) none() bool { return !l.any && len(l.tasks) == 0 }

// has reports whether a suspect, or any task of the gang that it represents, may have run there.
func (l *unreadTasks) has(t *task) bool {
	if l.any || !t.step.spec.Gang {
		return l.any || l.tasks[t.id().String()]
	}
	return slices.ContainsFunc(t.step.tasks, func(t *task) bool { return l.tasks[t.id().String()] })
}

// recordUnreadLoss records what may have run at a worker that was lost before its lists were read.
func (c *Core) recordUnreadLoss(u unresolvedWorker) {
	c.unreadInTerm.add(u)
	c.lostUnread.add(u)
	c.unreadStale = true
}

// forgetUnread forgets the tasks that may have run at lost workers, once no worker of the
// previous owner is awaited and each task with a possible crash has outlived a start since.
// Until then the record is kept: owners may end before such a task is started again.
func (c *Core) forgetUnread() {
	if len(c.unresolved) == 0 && !c.unknownPending && c.possibleCrashTasks == 0 && !c.lostUnread.none() {
		c.lostUnread, c.unreadInTerm = unreadTasks{}, unreadTasks{}
		c.unreadStale = true
	}
}

// Unread returns the record to store of the tasks that may have run at lost workers, for an
// owner that takes over before they are forgotten; nil if the store has the newest one.
func (c *Core) Unread() ([]byte, error) {
	if !c.unreadStale {
		return nil, nil
	}
	return json.Marshal(unreadRecord{c.lostUnread.any, slices.Sorted(maps.Keys(c.lostUnread.tasks))})
}

// UnreadStored records that the store holds what Unread returned.
func (c *Core) UnreadStored(value []byte) {
	if value == nil {
		return
	}
	newest, err := c.Unread()
	c.unreadStale = err != nil || !bytes.Equal(value, newest)
}

// RecoverUnread applies the record that the previous owner stored. One that can't be decoded
// stands for all tasks.
func (c *Core) RecoverUnread(value []byte) error {
	var r unreadRecord
	if err := json.Unmarshal(value, &r); err != nil {
		c.lostUnread.add(unresolvedWorker{open: true})
		return err
	}
	u := unresolvedWorker{open: r.Any, tasks: map[string]bool{}}
	for _, id := range r.Tasks {
		u.tasks[id] = true
	}
	c.lostUnread.add(u)
	return nil
}
