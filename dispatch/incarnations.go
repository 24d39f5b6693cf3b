package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// bornSeparator can't be part of a worker's id, which is sent as a header.
const bornSeparator = " "

// IncarnationID names an incarnation, one run of a worker's process, by the worker's id and
// the Unix millisecond when it started; 0 if that is not known.
func IncarnationID(name string, born int64) WorkerID {
	if born == 0 {
		return WorkerID(name)
	}
	return WorkerID(name + bornSeparator + strconv.FormatInt(born, 10))
}

// split returns the worker's id and when the incarnation started.
func (id WorkerID) split() (name string, born int64) {
	name, text, ok := strings.Cut(string(id), bornSeparator)
	if !ok {
		return name, 0
	}
	born, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return string(id), 0
	}
	return name, born
}

// Name returns the worker's id, which the next incarnation may share.
func (id WorkerID) Name() string {
	name, _ := id.split()
	return name
}

// Born returns when the incarnation started, in Unix milliseconds by the worker's own clock; 0
// if that is not known. The later of two incarnations may report the earlier time.
func (id WorkerID) Born() int64 {
	_, born := id.split()
	return born
}

// mayMatch reports whether two names may be of one incarnation: one without a start time may
// be any of its worker's id.
func (id WorkerID) mayMatch(other WorkerID) bool {
	if id == other {
		return true
	}
	return id.Name() == other.Name() && (id.Born() == 0 || other.Born() == 0)
}

// TokensPerTerm is how many fencing tokens a term has: the term itself, and those above it for
// further incarnations under one worker's id. The next term is at least this much higher.
const TokensPerTerm = 256

// sameIDIncarnations holds the incarnations under one worker's id.
type sameIDIncarnations struct {
	incarnations []*worker // those that the owner has a record of
	// newest is the one that was found last, generation how often that has changed.
	newest     WorkerID
	generation uint64
}

// tokenOf returns the fencing token of calls to a worker. It rises with each incarnation that
// is found under the worker's id, since calls name only the id: once an incarnation has
// answered a call, it refuses those sent before it was known.
func (c *Core) tokenOf(w *worker) uint64 {
	n := c.incarnationsByName[w.info.ID.Name()]
	if n == nil {
		return c.term // the worker was dropped meanwhile
	}
	return c.term + min(n.generation, TokensPerTerm-1)
}

// addIncarnation adds an incarnation to those under its worker's id.
func (c *Core) addIncarnation(w *worker) {
	id := w.info.ID
	n := c.incarnationsByName[id.Name()]
	if n == nil {
		n = &sameIDIncarnations{newest: id}
		c.incarnationsByName[id.Name()] = n
	}
	if n.newest != id {
		n.newest = id
		n.generation++
	}
	if n.generation >= TokensPerTerm {
		c.trace(Decision{Event: "deposed", Worker: id, Reason: "the term has no fencing token left for its next incarnation"})
		c.deposed = true
	}
	w.hasPredecessor = n.generation > 0
	n.incarnations = append(n.incarnations, w)
}

// removeIncarnation is the opposite of addIncarnation. The fencing token stays unchanged.
func (c *Core) removeIncarnation(w *worker) {
	name := w.info.ID.Name()
	n := c.incarnationsByName[name]
	n.incarnations = slices.DeleteFunc(n.incarnations, func(o *worker) bool { return o == w })
	if len(n.incarnations) == 0 && n.generation == 0 {
		delete(c.incarnationsByName, name)
	}
}

// otherIncarnations returns the other known incarnations under a worker's id and on its VM.
func (c *Core) otherIncarnations(w *worker) []*worker {
	var list []*worker
	for _, known := range [][]*worker{c.incarnationsByName[w.info.ID.Name()].incarnations, c.workersByVM[w.info.VM]} {
		for _, other := range known {
			if other != w && !slices.Contains(list, other) {
				list = append(list, other)
			}
		}
	}
	return list
}

// successor returns the incarnation that follows a worker under its id, as far as is known.
func (c *Core) successor(w *worker) *worker {
	n := c.incarnationsByName[w.info.ID.Name()]
	if next := c.workers[n.newest]; next != nil && next != w {
		return next
	}
	for _, next := range slices.Backward(n.incarnations) {
		if next != w {
			return next
		}
	}
	return nil
}

// handleRestart handles a poll that was answered by another incarnation, under the same id,
// than the one it was sent to.
func (c *Core) handleRestart(w *worker, reply PollReply, now Instant) {
	id := IncarnationID(w.info.ID.Name(), reply.Born)
	c.stats.Restarts++
	c.trace(Decision{
		Event: "worker_restarted", Worker: id, Reason: "before: " + string(w.info.ID),
		Detail: fmt.Sprintf("clock %d after %d, %d ends listed, %d processed before", reply.ClockMS, w.clock, len(reply.Ended), w.processedEnd),
	})
	c.addSuccessor(w, id, now)
	c.incarnationsByName[id.Name()].newest = id
	c.endIncarnation(w, "another life answers under its id", now)
}

// addSuccessor adds the incarnation that follows a worker under its id, unless it is known
// or has ended too.
func (c *Core) addSuccessor(w *worker, id WorkerID, now Instant) {
	if c.ended[id] || c.workers[id] != nil {
		return
	}
	info := w.info
	info.ID, info.Draining, info.Leaving = id, false, 0
	c.addWorker(info, now)
	c.roster.ensure(info) // the tasks in the previous incarnation's entry may run here
}

// transferRuns transfers the runs that the next incarnation under a worker's id may carry out,
// since calls name only the id. Runs that the previous incarnation has listed ended with it,
// if its start time is known: without that, the next one may be the same.
func (c *Core) transferRuns(w, next *worker) {
	for _, a := range slices.Clone(w.attempts) {
		if !a.unsent && (!a.listed || w.info.ID.Born() == 0) {
			a.moveTo(next)
		}
	}
	if w.info.ID.Born() != 0 {
		c.excludeForAcknowledgement(w, next)
	}
	next.leaseSent = max(next.leaseSent, w.leaseSent)
	c.transferUnresolved(w, next)
}

// attemptAt returns the task's attempt that is this run, at this worker. One that was sent to
// another incarnation under the worker's id is transferred to this one.
func (t *task) attemptAt(w *worker, run uint64) *attempt {
	a := t.runOf(run)
	switch {
	case a == nil:
		return nil
	case a.worker == w:
		return a
	case a.worker.info.ID.Name() == w.info.ID.Name():
		a.moveTo(w)
		return a
	default:
		return nil
	}
}

// excludeForAcknowledgement keeps new tasks off an incarnation that may have received an
// acknowledgement meant for the previous one. It may then forget as many of its own ends before
// they are read, and nothing would show whether a run that it no longer lists is done.
func (c *Core) excludeForAcknowledgement(w, next *worker) {
	if w.unansweredAck == 0 || next.endsUncertain {
		return
	}
	next.endsUncertain = true
	c.trace(Decision{
		Event: "ends_doubted", Worker: next.info.ID, Reason: "an acknowledgement meant for the previous incarnation was not answered by it",
		Detail: fmt.Sprintf("of ends up to %d", w.unansweredAck),
	})
}

// mayHaveRestarted reports whether a worker may have restarted under its id since it answered
// while another owner may be active. The next incarnation has no record of terms: it would
// carry out a start of this owner although the other owner has read the previous incarnation's
// lists. An answer may be read long after it was given, so the time when its poll was sent
// counts.
func (c *Core) mayHaveRestarted(w *worker, now Instant) bool {
	return !c.holdsLease(now) && w.info.ID.Born() != 0 && now.Steady-w.answeredPollSent > incarnationFresh
}

// moveTo moves an attempt to the next incarnation. It is unconfirmed there: only that
// incarnation's own lists show whether it runs there.
func (a *attempt) moveTo(next *worker) {
	w, s := a.worker, a.task.step
	w.remove(a)
	if s.perWork != nil {
		s.perWork[w]--
		s.perWork[next]++
	}
	a.worker, a.deadline, a.ackClock, a.unlisted, a.listed = next, 0, 0, false, false
	if a.task.lastStart.run == a.run {
		a.task.lastStart.worker = next.info.ID
	}
	next.add(a)
}

// transferUnresolved transfers to the next incarnation the tasks that the previous owner may
// have sent to this one, unless the next one's lists were already read. If this one was lost
// before its lists were read, these tasks may have crashed it.
func (c *Core) transferUnresolved(w, next *worker) {
	from := w.info.ID
	u, ok := c.unresolved[from]
	if !ok || next.synced {
		return
	}
	if w.lastContact == 0 && from.Born() != 0 {
		c.recordUnreadLoss(u)
	}
	known, ok := c.unresolved[next.info.ID]
	if !ok {
		known = unresolvedWorker{tasks: map[string]bool{}}
	}
	if u.open && known.open {
		c.openUnresolved--
	}
	known.open = known.open || u.open
	known.until = max(known.until, u.until)
	known.listedUntil, known.listedExpired = known.until, false
	for id := range u.tasks {
		known.tasks[id] = true
	}
	delete(c.unresolved, from)
	c.unresolved[next.info.ID] = known
}
