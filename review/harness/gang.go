package main

import (
	"strconv"
	"strings"
	"time"
)

// gang is one run of a step whose tasks work only together. It begins to work once all
// members are there. world's lock guards it.
type gang struct {
	members map[string]bool
	ends    time.Time // zero: not all are there yet
	broken  bool
}

// gangKey is the step and the run that the members of a gang share.
func gangKey(r *taskRun) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + " " + strconv.FormatUint(r.run, 10)
}

// joinGang adds a run to its gang.
func (w *world) joinGang(r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := gangKey(r)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: map[string]bool{}}
		w.gangs[key] = g
	}
	r.gang = g
	g.members[r.task] = true
	if len(g.members) == r.spec.gangSize && !g.broken {
		g.ends = time.Now().Add(r.spec.work)
		w.write("gang %s is complete and works", key)
	}
}

// leaveGang ends a run's part in its gang; unless it is done, the others can't go on.
func (w *world) leaveGang(r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.gang != nil && how != "done" {
		r.gang.broken = true
	}
}

// gangState brings a run's end up to date with its gang. It reports whether another member
// has ended, and whether the run has waited for too long for the others.
func (w *world) gangState(r *taskRun, now time.Time) (broken, alone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.gang == nil {
		return false, false
	}
	r.ends = r.gang.ends
	return r.gang.broken, r.gang.ends.IsZero() && now.Sub(r.began) > gangTimeout
}
