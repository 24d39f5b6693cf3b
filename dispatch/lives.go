package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// bornSeparator can't be part of a worker's id, which is sent as a header.
const bornSeparator = " "

// LifeID names the life of a worker that began at a Unix millisecond; 0 is not known.
func LifeID(name string, born int64) WorkerID {
	if born == 0 {
		return WorkerID(name)
	}
	return WorkerID(name + bornSeparator + strconv.FormatInt(born, 10))
}

// split returns the worker's id and when its life was born.
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

// Name returns the worker's id, which its next life may have too.
func (id WorkerID) Name() string {
	name, _ := id.split()
	return name
}

// Born returns when the life was born, in Unix milliseconds by the worker's own clock; 0 if
// that is not known. Of two lives the later one may tell the earlier time.
func (id WorkerID) Born() int64 {
	_, born := id.split()
	return born
}

// mayBe reports whether two names may be of one life: of one that is not known to be born,
// any of its name.
func (id WorkerID) mayBe(other WorkerID) bool {
	if id == other {
		return true
	}
	return id.Name() == other.Name() && (id.Born() == 0 || other.Born() == 0)
}

// TokensPerTerm is how many fencing tokens a term has: the term, and those above it for
// further lives of a worker under one id. The next term is at least so much higher.
const TokensPerTerm = 256

// namesakes are the lives of one worker's id.
type namesakes struct {
	lives []*worker // those that the owner knows
	// newest is the one that was heard of last, generation how often that has changed.
	newest     WorkerID
	generation uint64
}

// tokenOf returns the fencing token of calls to a worker. It rises with each life that is
// heard of under the worker's id, since calls name the id only: once a life has answered a
// call, it refuses those that were sent before that life was known.
func (c *Core) tokenOf(w *worker) uint64 {
	n := c.names[w.info.ID.Name()]
	if n == nil {
		return c.term // it was forgotten meanwhile
	}
	return c.term + min(n.generation, TokensPerTerm-1)
}

// joinName takes in a life among those of its name.
func (c *Core) joinName(w *worker) {
	id := w.info.ID
	n := c.names[id.Name()]
	if n == nil {
		n = &namesakes{newest: id}
		c.names[id.Name()] = n
	}
	if n.newest != id {
		n.newest = id
		n.generation++
	}
	if n.generation >= TokensPerTerm {
		c.trace(Decision{Event: "deposed", Worker: id, Reason: "the term has no token left for its next life"})
		c.deposed = true
	}
	w.follows = n.generation > 0
	n.lives = append(n.lives, w)
}

// leaveName is the opposite of joinName. The token stays what it was.
func (c *Core) leaveName(w *worker) {
	name := w.info.ID.Name()
	n := c.names[name]
	n.lives = slices.DeleteFunc(n.lives, func(o *worker) bool { return o == w })
	if len(n.lives) == 0 && n.generation == 0 {
		delete(c.names, name)
	}
}

// otherLives returns the other lives that are known of a worker's id and of its VM.
func (c *Core) otherLives(w *worker) []*worker {
	var list []*worker
	for _, known := range [][]*worker{c.names[w.info.ID.Name()].lives, c.lives[w.info.VM]} {
		for _, other := range known {
			if other != w && !slices.Contains(list, other) {
				list = append(list, other)
			}
		}
	}
	return list
}

// namesake returns the life that has followed one under its id, as far as is known.
func (c *Core) namesake(w *worker) *worker {
	n := c.names[w.info.ID.Name()]
	if next := c.workers[n.newest]; next != nil && next != w {
		return next
	}
	for _, next := range slices.Backward(n.lives) {
		if next != w {
			return next
		}
	}
	return nil
}

// restarted takes in that a poll was answered by another life than the one it was sent to,
// under the same id.
func (c *Core) restarted(w *worker, reply HoldReply, now Instant) {
	id := LifeID(w.info.ID.Name(), reply.Born)
	c.stats.Restarts++
	c.trace(Decision{
		Event: "worker_restarted", Worker: id, Reason: "before: " + string(w.info.ID),
		Detail: fmt.Sprintf("clock %d after %d, %d ends listed, %d taken in before", reply.ClockMS, w.clock, len(reply.Ended), w.processed),
	})
	c.addNextLife(w, id, now)
	c.names[id.Name()].newest = id
	c.lifeOver(w, "another life answers under its id", now)
}

// addNextLife takes in the life that has followed one under its id, unless it is known, or
// known to be over too.
func (c *Core) addNextLife(w *worker, id WorkerID, now Instant) {
	if c.over[id] || c.workers[id] != nil {
		return
	}
	info := w.info
	info.ID, info.Draining, info.Leaving = id, false, 0
	c.addWorker(info, now)
	c.roster.want(info) // what the entry of the life before stands for may run here
}

// inherit hands on what may be carried out by the next life of a worker's id: calls name the
// id only. Runs that the life before has listed ended with it, if that was another one.
func (c *Core) inherit(w, next *worker) {
	for _, a := range slices.Clone(w.attempts) {
		if !a.unsent && (!a.listed || w.info.ID.Born() == 0) {
			a.moveTo(next)
		}
	}
	if w.info.ID.Born() != 0 {
		c.doubtEnds(w, next)
	}
	next.leaseSent = max(next.leaseSent, w.leaseSent)
	c.inheritUnresolved(w, next)
}

// attemptAt returns a task's attempt if it is this run, at this worker. One that was ordered
// of another life of the worker's id is this life's.
func (t *task) attemptAt(w *worker, run uint64) *attempt {
	a := t.attempt
	switch {
	case a == nil || a.run != run:
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

// doubtEnds keeps new tasks off a life that may have been sent an acknowledgement meant for the
// one before. It may forget as many of its own ends before they are read: of a run that it no
// longer lists nobody could tell whether it is done.
func (c *Core) doubtEnds(w, next *worker) {
	if w.ackUnanswered == 0 || next.endsDoubted {
		return
	}
	next.endsDoubted = true
	c.trace(Decision{
		Event: "ends_doubted", Worker: next.info.ID, Reason: "an acknowledgement meant for the life before was not answered by it",
		Detail: fmt.Sprintf("of ends up to %d", w.ackUnanswered),
	})
}

// lifeDoubted reports whether a worker may have restarted under its id since it answered, and
// another owner may be there. The next life knows of no terms: it would carry out a start of
// this owner though the other one has read the life before. An answer may be read long after it
// was given, so what counts is when its poll was sent.
func (c *Core) lifeDoubted(w *worker, now Instant) bool {
	return !c.certain(now) && w.info.ID.Born() != 0 && now.Steady-w.answeredSent > lifeFresh
}

// moveTo makes an attempt one of the next life's. Whether it runs there is told by the
// lists that are read under that life's own terms.
func (a *attempt) moveTo(next *worker) {
	w, s := a.worker, a.task.step
	w.remove(a)
	if s.perWork != nil {
		s.perWork[w]--
		s.perWork[next]++
	}
	a.worker, a.deadline, a.ackClock, a.missed, a.listed = next, 0, 0, false, false
	if a.task.lastStart.run == a.run {
		a.task.lastStart.worker = next.info.ID
	}
	next.add(a)
}

// inheritUnresolved hands on that the previous owner may have ordered tasks of a life, unless
// the next one's lists were read already. If the life was lost unheard, these tasks may have
// crashed it.
func (c *Core) inheritUnresolved(w, next *worker) {
	from := w.info.ID
	u, ok := c.unresolved[from]
	if !ok || next.synced {
		return
	}
	if w.heardAt == 0 && from.Born() != 0 {
		c.noteUnheard(u)
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
	for id := range u.tasks {
		known.tasks[id] = true
	}
	delete(c.unresolved, from)
	c.unresolved[next.info.ID] = known
}
