package dispatch

import (
	"slices"
	"time"
)

// PollPlan is the next step for a worker: if Send is set, Request is sent, otherwise the
// next plan is due after Pause.
type PollPlan struct {
	Request PollRequest
	Send    bool
	Pause   time.Duration
	// Gone is set once the core has dropped the worker: it is not polled any more.
	Gone bool
}

// idlePause is the interval at which the polling loop checks a worker without
// tasks again; nothing is sent.
const idlePause = 500 * time.Millisecond

// idleClockAge is the age from which the clock of a worker without tasks is read again.
// A minute later the estimate may be 1.2 s off, at 2%, and deadlines that much
// shorter; after ten minutes none could be given.
const idleClockAge = time.Minute

// PlanPoll returns the next poll of a worker, or the pause until it is planned again.
func (c *Core) PlanPoll(id WorkerID, now Instant) PollPlan {
	w := c.workers[id]
	if w == nil {
		return PollPlan{Gone: true}
	}
	if w.endReason != "" {
		return PollPlan{Pause: idlePause}
	}
	if c.needsNoPolls(w) {
		return PollPlan{Pause: idlePause}
	}
	// A worker whose last task has ended gets one more poll, so that it forgets the end.
	idle := w.synced && len(w.attempts) == 0 && len(w.unexpected) == 0 && len(w.ends) == 0 && w.acknowledgedEnd >= w.storedEnd
	if idle && now.Steady-w.clockAt < c.idlePollAge() {
		return PollPlan{Pause: idlePause}
	}
	r := PollRequest{Worker: id, Address: w.info.Address, Token: c.tokenOf(w), Seen: w.acknowledgement(now)}
	w.unansweredAck = max(w.unansweredAck, r.Seen)
	// An unanswered poll may still extend the leases. While a worker is silent,
	// polls only ask for its lists, so that its leases expire.
	if (w.synced || w.partlyRead) && w.failedPolls == 0 {
		r.DeadlineMS = c.deadlineIn(w, c.params.TaskLease-w.clockError(now), now)
		if w.sealed {
			r.Wait = pollWaitSealed
		} else if !idle && !w.mustAcknowledge() {
			r.Wait = w.pollWait(c.overload.load, !c.params.NoCopies)
			if wait := w.pollWaitForRecentRuns(now); wait < r.Wait {
				r.Wait, r.ForLease = wait, true
			}
		}
	}
	if c.mayBeStarting(w) {
		r.Wait = startGap
	}
	w.pollSent, w.pollWaitSent = now.Steady, r.Wait
	return PollPlan{Request: r, Send: true}
}

// idlePollAge returns the age of the newest answer from which a worker without tasks is polled.
func (c *Core) idlePollAge() time.Duration {
	if c.reachUndecided {
		return idleReachAge
	}
	return idleClockAge
}

// needsNoPolls reports whether no queue uses the worker's service and no run of this
// owner or the previous one can be there. Another writer may list workers of services
// that do not exist; the owner does not call their addresses.
func (c *Core) needsNoPolls(w *worker) bool {
	_, waits := c.unresolved[w.info.ID]
	return !c.services[w.info.Service] && !waits && !w.synced && len(w.attempts) == 0
}

// pollWait returns how long a poll may wait for an end of a task.
func (w *worker) pollWait(load Load, withCopies bool) time.Duration {
	if len(w.ends) > 0 || w.partlyRead || len(w.attempts) == 0 && len(w.unexpected) == 0 {
		return 0
	}
	serves, fills, copied := false, false, false
	for _, a := range w.attempts {
		if a.unlisted {
			return 0 // the next list shows whether the run has ended
		}
		s := a.task.step.spec
		serves = serves || (s.LongRunning && s.TargetMS > 0)
		fills = fills || s.Fills
		copied = copied || withCopies && mayCopy(s)
	}
	switch {
	case load >= LoadFewReadings:
		return pollWaitDefault
	case copied:
		return pollWaitCopies
	case serves && fills:
		return pollWaitWatched
	}
	return pollWaitDefault
}

// PollDone processes the answer to a poll and returns how long to wait before
// the next one.
func (c *Core) PollDone(request PollRequest, reply PollReply, outcome Outcome, now Instant) time.Duration {
	w := c.workers[request.Worker]
	if w == nil {
		return 0
	}
	switch outcome {
	case OutcomeOK:
	case OutcomeFenced:
		if request.Token < c.tokenOf(w) {
			return 0 // sent before another incarnation of its id was known
		}
		c.depose(w)
		return pollRetryMax
	case OutcomeOtherIncarnation:
		c.endIncarnation(w, "another life answers", now)
		return 0
	default:
		return c.pollFailed(w, outcome, now)
	}
	if reply.Born != 0 && reply.Born != w.info.ID.Born() {
		c.handleRestart(w, reply, now)
		return 0
	}
	if w.unreached() {
		c.trace(Decision{Event: "worker_reached", Worker: w.info.ID, Age: now.Steady - w.lastPollAnswer})
	}
	w.failedPolls, w.unansweredCalls, w.lastPollAnswer = 0, 0, now.Steady
	c.reach.invalidate()
	w.answeredPollSent = w.pollSent
	w.confirmedDeadline = max(w.confirmedDeadline, request.DeadlineMS)
	w.acknowledgedEnd, w.unansweredAck = max(w.acknowledgedEnd, request.Seen), 0
	w.recordAnswer(now)
	c.endOtherIncarnations(w, now)
	c.settleLostIncarnation(w, now)
	fresh := w.recordClock(reply.ClockMS, now)
	c.processEnds(w, reply.Ended, now)
	if fresh {
		w.forLease = request.ForLease
		c.compareRunning(w, reply, now)
	}
	if !w.synced && fresh {
		c.sync(w, request, reply, now)
	}
	w.advanceStoredEnd()
	c.updateEntry(w)
	c.followEnds(w)
	if len(w.ends) > 0 || !fresh || w.mustAcknowledge() && w.acknowledgement(now) == 0 {
		return pollPauseUnstoredEnds
	}
	return 0
}

// acknowledgement returns the number of the last end that the next poll lets the worker forget.
//
// The next incarnation of a worker's id would apply an acknowledgement to one of its own ends,
// which then nobody reads. So a worker that may restart under its id gets each only once, in a
// poll that follows an answer too closely for a restart, and none while the next incarnation may
// have carried out a start. See Core.excludeForAcknowledgement for the remaining cases.
func (w *worker) acknowledgement(now Instant) uint64 {
	switch {
	case w.info.ID.Born() == 0:
		return w.storedEnd
	case !w.mustAcknowledge() || w.failedPolls > 0 || now.Steady-w.lastPollAnswer > incarnationFresh:
		return 0
	case slices.ContainsFunc(w.attempts, func(a *attempt) bool { return !a.listed }):
		return 0
	default:
		return w.storedEnd
	}
}

// mustAcknowledge reports whether a worker that may restart under its id has ends to forget.
// They are acknowledged in a poll without a wait, which is answered at once: a poll that waits
// is often in flight when the worker crashes.
func (w *worker) mustAcknowledge() bool {
	return w.info.ID.Born() != 0 && w.acknowledgedEnd < w.storedEnd
}

// sync records that the worker's lists were read under this term. While an answer is full, the
// end of a task may not have fitted in it: what it lacks is not known until an answer is not
// full, and runs keep their leases.
func (c *Core) sync(w *worker, request PollRequest, reply PollReply, now Instant) {
	w.lastDeadline = max(w.lastDeadline, reply.ClockMS+c.earlierLease(w).Milliseconds())
	if w.fencedAt == 0 {
		w.fencedAt = now.Steady
	}
	w.partlyRead = reply.full() || c.mayBeStarting(w) && !waitedFor(startGap, request, reply)
	if w.partlyRead {
		return
	}
	w.synced = true
	c.resolve(w.info.ID, "lists read", now)
}

// earlierLease returns the longest lease, on the worker's clock, that calls of previous owners can have
// given to the runs at a worker that answers under this term. They are the same length as this owner's;
// only a call meant for an earlier incarnation, by another clock, may have given the longest that the
// worker accepts.
func (c *Core) earlierLease(w *worker) time.Duration {
	if w.info.ID.Born() == 0 || c.roster.entries[w.info.ID].Fenced {
		return c.params.TaskLease
	}
	return c.params.MaxTaskLease
}

// mayBeStarting reports whether a list of a worker of the previous owner, or of one that has
// restarted under its id, may lack a run that was ordered before: the worker may check the
// start's token before a poll brings the new one, and carry the start out after it has
// gathered its list. So its first list is requested with a wait of startGap. A list that
// arrives sooner, since there are ends, is used for what it reports; the next one shows
// whether a run is missing.
func (c *Core) mayBeStarting(w *worker) bool {
	_, waits := c.unresolved[w.info.ID]
	return (waits || w.hasPredecessor) && (w.fencedAt == 0 || w.pollSent < w.fencedAt+startGap)
}

// waitedFor reports whether a worker gathered its lists at least d after a poll had reached it:
// it answers sooner only if it has ends to report.
func waitedFor(d time.Duration, request PollRequest, reply PollReply) bool {
	return request.Wait >= d && len(reply.Ended) == 0
}

// depose records that a worker has seen a higher term: another owner has taken over.
func (c *Core) depose(w *worker) {
	if !c.deposed {
		c.trace(Decision{Event: "deposed", Worker: w.info.ID, Reason: "the worker has seen a higher term"})
	}
	c.deposed = true
}

// pollFailed processes a poll without a usable answer and returns the pause before the next one.
func (c *Core) pollFailed(w *worker, outcome Outcome, now Instant) time.Duration {
	w.recordNoAnswer(outcome, now)
	w.failedPolls++
	c.reach.invalidate()
	w.failedPollSent = w.pollSent
	w.unansweredCalls++
	if w.failedPolls == unreachedAfter {
		c.trace(Decision{Event: "worker_unreached", Worker: w.info.ID, Reason: outcome.String()})
		c.logAwaited(w.info.ID, now)
		c.updateEntry(w)
	}
	return min(pollRetryMin<<min(w.failedPolls, 4), pollRetryMax)
}
