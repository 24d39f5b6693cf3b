package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of what a call to the placement policy asks about.
const (
	// maxAdviceWorkers is how many workers a call may name.
	maxAdviceWorkers = 100
	// adviceWorkers is how many workers a call asks about where nothing else waits: the users
	// expect calls about 30 workers within a job's time, and more workers are a better choice.
	adviceWorkers = 30
	// spareWorkers are asked about in addition to those that are needed, and one more for each
	// spareShare needed ones: some are taken while the policy decides.
	spareWorkers = 2
	spareShare   = 8
	// enoughTickets is how many workers with tickets suffice as a choice for tasks that start
	// one by one.
	enoughTickets = 8
	// minGrantShare is the least share of granted workers that a request counts on.
	minGrantShare = 0.02
	// maxRackCalls is how many calls are made for a step before a rack of its own for it is no
	// longer sought.
	maxRackCalls = 3
)

// option is a worker that takes tasks of a step as far as the scheduler decides: the placement
// policy has granted it, or has not decided on it yet.
type option struct {
	worker    *worker
	grant     *grant // nil if the policy has not decided
	slots     int    // how many of the step's tasks the worker takes
	score     float64
	poolIndex int
}

// usable reports whether the option has a ticket that is valid at a time.
func (o *option) usable(at time.Duration) bool { return o.grant.valid(at) }

// slotsOf returns how many ready tasks of a step a worker takes by its capacity and the step's
// spread, 0 if it takes none now.
func (c *Core) slotsOf(s *stepRun, w *worker, v view, now Instant) (slots int, score float64) {
	if s.spec.Gang {
		return c.gangSlots(s, w, c.plainView(s, now), s.ready, now), -float64(len(w.attempts))
	}
	score, ok := c.rate(s, w, v, now)
	if !ok {
		return 0, 0
	}
	return s.slotsByCapacity(w, s.ready), score
}

// optionsOf returns the workers of a pool that take tasks of a step and that the policy has not
// refused, in the order of the pool.
func (c *Core) optionsOf(s *stepRun, workers []*worker, v view, now Instant) []option {
	var list []option
	for i, w := range workers {
		if s.advice.refused[w.info.ID] {
			continue
		}
		if slots, score := c.slotsOf(s, w, v, now); slots > 0 {
			list = append(list, option{w, s.advice.byID[w.info.ID], slots, score, i})
		}
	}
	return list
}

// totalSlots returns how many tasks the options take, counting those for which use is true.
func totalSlots(list []option, use func(o *option) bool) int {
	n := 0
	for i := range list {
		if use(&list[i]) {
			n += list[i].slots
		}
	}
	return n
}

// wantedWorkers returns how many workers with tickets a step should have to choose from.
func (s *stepRun) wantedWorkers() int {
	wanted := min(s.ready, enoughTickets)
	if s.spec.MaxPerWorker > 0 {
		wanted = max(wanted, ceilDiv(s.ready, s.spec.MaxPerWorker))
	}
	return wanted
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// lacksTickets reports whether the workers with valid tickets that take tasks of a step are too
// few: all members of a gang must be started at once, other tasks need a choice. Tickets at
// workers that are full, excluded or barred by the step's spread do not count.
func (c *Core) lacksTickets(s *stepRun, service string, v view, now Instant) bool {
	if !s.needsTickets() {
		return false
	}
	held := c.optionsOf(s, c.workersWithTicket(s, service, now.Steady, now), v, now)
	slots := totalSlots(held, func(*option) bool { return true })
	if s.spec.Gang {
		return slots < s.ready
	}
	return slots < s.ready || len(held) < s.wantedWorkers()
}

// ticketPlan is what the next call for a step asks about.
type ticketPlan struct {
	workers []WorkerID
	// more is set if the tickets of further workers must be collected right after the call.
	more bool
}

// planTickets decides about which workers the next call for a step asks. Where other steps wait
// too (crowded), it asks about no more than the step needs.
func (c *Core) planTickets(s *stepRun, x policyWait, p *pool, crowded bool, now Instant) ticketPlan {
	if !s.awaitsPolicy {
		return ticketPlan{workers: c.workersToPreempt(s, x.queue.Priority, p.workers, now)}
	}
	v := c.viewOf(s, p, now)
	options := c.optionsOf(s, p.workers, v, now)
	if s.spec.Gang {
		return c.planGangTickets(s, x.queue.Advice, options, now)
	}
	if len(options) == 0 {
		if c.newChooser(s, p.workers, v, now).best("") == nil {
			c.refusals.recordRefused(s.shape(x.queue.Service, v))
		}
		return ticketPlan{workers: c.workersToPreempt(s, x.queue.Priority, p.workers, now)}
	}
	var without []option
	for _, o := range options {
		if !o.usable(now.Steady) {
			without = append(without, o)
		}
	}
	atLeast := adviceWorkers
	if crowded {
		atLeast = 0
	}
	wanted := s.wantedWorkers() - (len(options) - len(without))
	slots := s.ready - totalSlots(options, func(o *option) bool { return o.usable(now.Steady) })
	return ticketPlan{workers: c.chooseAsked(s, without, wanted, slots, atLeast)}
}

// chooseAsked returns the workers to ask about so that so many workers and slots may be expected
// to be granted: granted ones first, then the best.
func (c *Core) chooseAsked(s *stepRun, options []option, workers, slots, atLeast int) []WorkerID {
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(boolRank(a.grant != nil), boolRank(b.grant != nil)), cmp.Compare(b.score, a.score), cmp.Compare(a.poolIndex, b.poolIndex))
	})
	share := c.grantShare(s)
	spare := spareWorkers + float64(workers)/spareShare
	expectedWorkers, expectedSlots := 0.0, 0.0
	var ids []WorkerID
	for _, o := range options {
		enough := expectedWorkers >= float64(workers)+spare && expectedSlots >= float64(slots)+spare
		if len(ids) >= maxAdviceWorkers || enough && len(ids) >= atLeast {
			break
		}
		granted := 1.0
		if o.grant == nil {
			granted = share
		}
		expectedWorkers += granted
		expectedSlots += granted * float64(o.slots)
		ids = append(ids, o.worker.info.ID)
	}
	return ids
}

// grantShare returns the share of workers that the policy is expected to grant a step: its own,
// with that of all steps where few were decided.
func (c *Core) grantShare(s *stepRun) float64 {
	const prior = 4 // decisions that the share of all steps counts as
	granted := float64(len(s.advice.granted)) + prior*(1-c.policy.refusedShare)
	decided := float64(len(s.advice.granted)+len(s.advice.refused)) + prior
	return max(granted/decided, minGrantShare)
}

// planGangTickets plans the calls for a gang, whose members need valid tickets at the same time. It
// asks about undecided workers until those that are granted can take the gang. Then it collects
// tickets at these, in as many calls as needed, renewing those that would expire meanwhile.
func (c *Core) planGangTickets(s *stepRun, terms *job.AdviceTerms, options []option, now Instant) ticketPlan {
	all := func(*option) bool { return true }
	if totalSlots(options, all) < s.ready {
		return ticketPlan{}
	}
	options = c.preferRack(s, options)
	var granted, undecided []option
	for _, o := range options {
		if o.grant != nil {
			granted = append(granted, o)
		} else {
			undecided = append(undecided, o)
		}
	}
	if lacking := s.ready - totalSlots(granted, all); lacking > 0 {
		return ticketPlan{workers: c.chooseAsked(s, undecided, 0, lacking, 0)}
	}
	slices.SortFunc(granted, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.grant.until, a.grant.until), cmp.Compare(b.score, a.score), cmp.Compare(a.poolIndex, b.poolIndex))
	})
	for n, slots := 0, 0; n < len(granted); n++ {
		if slots >= s.ready {
			granted = granted[:n]
			break
		}
		slots += granted[n].slots
	}
	return c.collect(s, terms, granted, now)
}

// collect plans the call that brings the first of the tickets that are missing, or would have
// expired by the time the last one is there.
func (c *Core) collect(s *stepRun, terms *job.AdviceTerms, chosen []option, now Instant) ticketPlan {
	missing, fits := missingTickets(terms, chosen, c.policy.slowness, now)
	if !fits { // a policy that was slow may decide in time again
		missing, fits = missingTickets(terms, chosen, 1, now)
	}
	if s.advice.tooSlow = !fits; !fits {
		return ticketPlan{}
	}
	return ticketPlan{workers: missing[:min(len(missing), maxAdviceWorkers)], more: len(missing) > maxAdviceWorkers}
}

// missingTickets returns the workers whose tickets are missing, or will have expired once the
// calls for all that are missing have ended. It reports whether the first of these tickets can
// still be valid by then.
func missingTickets(terms *job.AdviceTerms, chosen []option, slowness float64, now Instant) (missing []WorkerID, fits bool) {
	took := time.Duration(0)
	for known := -1; len(missing) > known; {
		known = len(missing)
		missing = missing[:0]
		for _, o := range chosen {
			if !o.usable(now.Steady + took) {
				missing = append(missing, o.worker.info.ID)
			}
		}
		took = collectTime(terms, len(missing), slowness)
	}
	return missing, collectable(terms, len(missing), slowness)
}

// collectable reports whether the tickets of n workers can be valid at the same time.
func collectable(terms *job.AdviceTerms, n int, slowness float64) bool {
	return n <= maxAdviceWorkers || collectTime(terms, n, slowness)+marginOf(terms.Validity) <= terms.Validity
}

// collectTime returns how long calls about n workers in all are expected to take.
func collectTime(terms *job.AdviceTerms, n int, slowness float64) time.Duration {
	total := time.Duration(0)
	for ; n > 0; n -= maxAdviceWorkers {
		total += callTime(terms, min(n, maxAdviceWorkers), slowness)
	}
	return total
}

// preferRack returns the options in the rack that can take the whole gang and has the most
// granted slots, if the step requests one rack and there is such a rack; else all options.
func (c *Core) preferRack(s *stepRun, options []option) []option {
	if !s.spec.SameRack {
		return options
	}
	racks := map[string][]option{}
	for _, o := range options {
		racks[o.worker.info.Rack] = append(racks[o.worker.info.Rack], o)
	}
	granted := func(o *option) bool { return o.grant != nil }
	var best []option
	for _, o := range options { // in the order of the pool
		rack := racks[o.worker.info.Rack]
		if totalSlots(rack, func(*option) bool { return true }) < s.ready {
			continue
		}
		if best == nil || totalSlots(rack, granted) > totalSlots(best, granted) {
			best = rack
		}
		delete(racks, o.worker.info.Rack)
	}
	if best == nil || s.advice.calls >= maxRackCalls && totalSlots(best, granted) < s.ready {
		return options
	}
	return best
}

// workersToPreempt returns workers without a decision where a task of the step would fit if fills
// of less urgent queues were stopped. None are returned if there is such a worker among the granted ones.
func (c *Core) workersToPreempt(s *stepRun, priority int, workers []*worker, now Instant) []WorkerID {
	if s.spec.Fills {
		return nil
	}
	var ids []WorkerID
	for _, w := range workers {
		if s.advice.refused[w.info.ID] || c.victimsAt(s, w, priority, now) == nil {
			continue
		}
		if s.advice.byID[w.info.ID] != nil {
			return nil
		}
		if len(ids) < adviceWorkers {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}
