package dispatch

import (
	"time"
)

// gangID identifies one run of a gang.
type gangID struct {
	job        string
	occurrence int
	step       int
	run        uint64
}

// simGang is a gang's run at all workers: its members work from the time when all are started, and
// end together.
type simGang struct {
	members []gangMember
	whole   bool // all members are started
	over    bool // a member has ended
}

type gangMember struct {
	worker *simWorker
	run    *simRun
}

const (
	// simGangTimeout is how long a member waits for the others.
	simGangTimeout = 3 * time.Second
	// simGangEndDelay is the longest that members take to end after one has ended.
	simGangEndDelay = 300 * time.Millisecond
)

// joinGang has a run wait for the other members if it belongs to a gang.
func (s *sim) joinGang(w *simWorker, r *simRun, work time.Duration) {
	step := &s.specs[r.task.Job].Steps[r.task.Step]
	if !step.Gang {
		return
	}
	id := gangID{r.task.Job, r.task.Occurrence, r.task.Step, r.run}
	if s.gangs == nil {
		s.gangs = map[gangID]*simGang{}
	}
	g := s.gangs[id]
	if g == nil {
		g = &simGang{}
		s.gangs[id] = g
	}
	g.members = append(g.members, gangMember{w, r})
	r.gang, r.ends = g, s.now+simGangTimeout
	if len(g.members) < step.Count || g.over {
		return
	}
	g.whole = true
	for _, m := range g.members {
		m.run.ends = s.now + work
		m.run.work.working, m.run.work.since = true, s.now
		if m.run.fails { // before any member is done: a gang ends done together
			m.run.ends = s.now + work/2
		}
	}
}

// left ends the other members if one has ended otherwise than done.
func (g *simGang) left(s *sim, kind EndKind) {
	if g == nil || kind == EndDone {
		return
	}
	g.over = true
	for _, m := range g.members {
		s.later(s.within(simGangEndDelay), func() {
			m.worker.advance()
			if m.worker.running[m.run.task] == m.run {
				m.worker.end(m.run, EndBroken)
			}
		})
	}
}

// submitGang submits a job with a gang and a step after it.
func (s *sim) submitGang(id int) {
	spec := simpleJob(id, 2+s.rng.IntN(4), 1)
	spec.Steps[0].Gang = true
	s.submit(spec)
}
