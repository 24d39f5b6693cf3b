package dispatch

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// unheardTasks are those that may have run at workers of the previous owner which were
// lost before this one heard of them.
type unheardTasks struct {
	any   bool // at one of these, any task
	tasks map[string]bool
}

// unheardRecord is unheardTasks as stored.
type unheardRecord struct {
	Any   bool     `json:"any,omitempty"`
	Tasks []string `json:"tasks,omitempty"`
}

func (l *unheardTasks) add(u unresolvedWorker) {
	l.any = l.any || u.open
	if l.tasks == nil {
		l.tasks = map[string]bool{}
	}
	maps.Copy(l.tasks, u.tasks)
}

func (l *unheardTasks) none() bool { return !l.any && len(l.tasks) == 0 }

// has reports whether a task of the step that a suspect stands for may have run there.
func (l *unheardTasks) has(t *task) bool {
	if l.any || !t.step.spec.Gang {
		return l.any || l.tasks[t.id().String()]
	}
	return slices.ContainsFunc(t.step.tasks, func(t *task) bool { return l.tasks[t.id().String()] })
}

// noteUnheard takes in what may have run at a worker that was lost unheard.
func (c *Core) noteUnheard(u unresolvedWorker) {
	c.lostInTerm.add(u)
	c.lostUnheard.add(u)
	c.unheardStale = true
}

// forgetUnheard forgets the tasks that may have run at lost workers, once nothing waits
// for a worker of the previous owner and each of them has outlived a start since: owners
// may end before it is started again.
func (c *Core) forgetUnheard() {
	if len(c.unresolved) == 0 && !c.unknown && c.doubtful == 0 && !c.lostUnheard.none() {
		c.lostUnheard, c.lostInTerm = unheardTasks{}, unheardTasks{}
		c.unheardStale = true
	}
}

// Unheard returns the record of tasks that may have run at lost workers, for an owner that
// takes over before they were released; nil if the store has it.
func (c *Core) Unheard() ([]byte, error) {
	if !c.unheardStale {
		return nil, nil
	}
	return json.Marshal(unheardRecord{c.lostUnheard.any, slices.Sorted(maps.Keys(c.lostUnheard.tasks))})
}

// UnheardStored tells that the store holds what Unheard returned.
func (c *Core) UnheardStored(value []byte) {
	if value == nil {
		return
	}
	newest, err := c.Unheard()
	c.unheardStale = err != nil || !bytes.Equal(value, newest)
}

// TakeUnheard takes in the previous owner's record. One that can't be read is taken to
// name all tasks.
func (c *Core) TakeUnheard(value []byte) error {
	var r unheardRecord
	if err := json.Unmarshal(value, &r); err != nil {
		c.lostUnheard.add(unresolvedWorker{open: true})
		return err
	}
	u := unresolvedWorker{open: r.Any, tasks: map[string]bool{}}
	for _, id := range r.Tasks {
		u.tasks[id] = true
	}
	c.lostUnheard.add(u)
	return nil
}
