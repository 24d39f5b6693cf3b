package cell

import (
	"time"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/fleet"
)

// syncWorkers calls the workers for which there is something to send or whose
// heartbeat is due.
func (o *Owner) syncWorkers(now time.Duration) {
	if !o.mayRenew(now) {
		return
	}
	for _, w := range o.sortedWorkers() {
		w.updateCommitted(o.core.Committed())
		if w.address == "" || now < w.notBefore || w.inFlight && !(w.callNeeded && w.idleSync) {
			continue
		}
		if !w.callNeeded && len(w.acks) > 0 && now-w.clockAt < o.params.HeartbeatEvery {
			continue // the worker would answer at once with ends whose commit is pending
		}
		if !w.inFlight && o.inFlight >= o.params.WorkerCalls {
			return
		}
		o.sync(now, w)
	}
}

// updateCommitted marks the worker for a call once records that concern it are
// durable.
func (w *worker) updateCommitted(committed uint64) {
	n := 0
	for n < len(w.pendingCommits) && w.pendingCommits[n] <= committed {
		n++
	}
	if n > 0 {
		w.pendingCommits = w.pendingCommits[n:]
		w.callNeeded = true
	}
}

func (o *Owner) sync(now time.Duration, w *worker) {
	w.seq++
	req := &fleet.SyncRequest{
		Cell: o.params.Cell, Term: o.core.Term(), Seq: w.seq, Boot: w.boot, Full: w.fullListNeeded,
	}
	if w.boot != 0 {
		o.renew(w, req)
	}
	o.fillRequest(now, w, req)
	if !w.inFlight {
		o.inFlight++
	}
	w.inFlight = true
	w.fullListRequested = w.fullListNeeded
	w.idleSync = !w.callNeeded && !w.fullListNeeded
	if w.idleSync {
		req.WaitMS = o.params.HeartbeatEvery.Milliseconds()
	}
	w.callNeeded = false
	o.out.Syncs = append(o.out.Syncs, Sync{Worker: w.id, Address: w.address, Request: req})
}

// renew sets the lease's end as a reading of the worker's own clock. The reading
// from which it counts was taken before clockAt, so by the entry's clock the
// lease ends no later than leaseEnd, however late the request arrives.
func (o *Owner) renew(w *worker, req *fleet.SyncRequest) {
	req.LeaseUntilMS = w.clockMS + o.params.TaskLease.Milliseconds()
	w.leaseEnd = max(w.leaseEnd, w.clockAt+o.params.TaskLease+o.params.ClockMargin)
}

// fillRequest adds the starts, stops and acknowledgements that are due.
func (o *Owner) fillRequest(now time.Duration, w *worker, req *fleet.SyncRequest) {
	w.starts, w.stops = w.starts[:0], w.stops[:0]
	for _, t := range o.onWorker(w.id) {
		switch {
		case t.stopping:
			w.stops = append(w.stops, t.ref())
		case o.mayStart(now, w, t):
			req.Starts = append(req.Starts, startOf(t))
			w.starts = append(w.starts, t.ref())
		}
		if t.throttled {
			req.Throttled = append(req.Throttled, t.ref())
		}
	}
	req.Stops = append(req.Stops, w.stops...)
	req.Stops = append(req.Stops, w.orphans...)
	for ref, pos := range w.acks {
		if pos <= o.core.Committed() || o.params.NoAckCommit {
			req.Acks = append(req.Acks, ref)
		}
	}
}

// mayStart reports whether an attempt's start is to be sent to the worker: it is
// committed, meant for this incarnation and not listed by the worker yet. As a
// worker lists each attempt until its end is acknowledged, one that it doesn't
// list has not started there, and sending the start again is safe.
func (o *Owner) mayStart(now time.Duration, w *worker, t *task) bool {
	committed := t.startPos <= o.core.Committed() || o.params.NoStartCommit
	return !t.running && !w.fullListNeeded && t.boot == w.boot && committed && o.mayDecide(now)
}

func startOf(t *task) fleet.Start {
	return fleet.Start{
		AttemptRef: t.ref(), Kind: t.spec.GetKind(), Given: t.given,
		Payload: t.spec.GetPayload(), Checkpoint: t.checkpoint,
	}
}

// WorkerAnswer processes the outcome of a call to a worker. Only the answer to the
// last call counts; it reports everything that earlier ones would.
func (o *Owner) WorkerAnswer(now time.Duration, id string, term, seq uint64, reply *fleet.SyncReply, err error) {
	w := o.workers[id]
	if !o.owning || term != o.core.Term() || w == nil || seq != w.seq || !w.inFlight {
		return
	}
	w.inFlight = false
	o.inFlight--
	if err != nil || reply.Refused != "" {
		w.notBefore = now + o.params.RetryEvery
		w.callNeeded = true
		w.fullListNeeded = true
		o.Tick(now)
		return
	}
	o.handleReply(now, w, reply)
	o.Tick(now)
}

// handleReply processes a worker's answer to the last call.
func (o *Owner) handleReply(now time.Duration, w *worker, reply *fleet.SyncReply) {
	if w.boot != reply.Boot {
		o.handleRestart(now, w, reply.Boot)
	}
	w.clockMS, w.clockAt = reply.ClockMS, now
	w.leaseEnded = false
	ended := o.handleEnded(now, w, reply.Ended)
	o.markStarted(w, ended)
	o.endNeverStarted(now, w)
	if w.fullListRequested {
		o.applyRunningList(w, reply.Running)
	} else if reply.RunningHash != o.runningHash(w) {
		w.fullListNeeded, w.callNeeded = true, true
	}
	o.applySamples(now, w, reply)
}

// handleRestart handles a worker's first answer under this term, or a restart.
// Attempts started on another incarnation no longer run.
func (o *Owner) handleRestart(now time.Duration, w *worker, boot uint64) {
	if w.boot == 0 {
		// From here on the worker refuses former owners; the last lease that
		// they granted counts from an earlier reading of its clock.
		w.leaseEnd = now + o.params.TaskLease + o.params.ClockMargin
	}
	w.boot = boot
	w.fullListNeeded = true
	for _, t := range o.onWorker(w.id) {
		if t.boot != boot {
			o.attemptLost(now, t, "its worker has restarted")
		}
	}
}

// handleEnded processes the attempts that the worker lists as ended, and returns them.
func (o *Owner) handleEnded(now time.Duration, w *worker, reports []fleet.Report) map[fleet.AttemptRef]bool {
	ended := make(map[fleet.AttemptRef]bool, len(reports))
	acks := make(map[fleet.AttemptRef]uint64, len(reports))
	for _, r := range reports {
		ended[r.AttemptRef] = true
		t := o.table.onWorker[w.id][r.Task]
		if t != nil && t.attempt == r.Attempt {
			o.attemptEnded(now, w, t, r)
		}
		if r.State == fleet.AttemptRefused {
			continue // the worker doesn't keep refused attempts
		}
		// The end of an attempt that the table no longer has was recorded before.
		pos, known := w.acks[r.AttemptRef]
		if !known {
			pos = o.core.Proposed()
			w.pendingCommits = append(w.pendingCommits, pos)
		}
		acks[r.AttemptRef] = pos
	}
	w.acks = acks
	return ended
}

// markStarted marks the starts of the answered call as running.
func (o *Owner) markStarted(w *worker, ended map[fleet.AttemptRef]bool) {
	for _, ref := range w.starts {
		t := o.table.onWorker[w.id][ref.Task]
		if t != nil && t.attempt == ref.Attempt && !ended[ref] {
			t.running = true
		}
	}
	w.starts = w.starts[:0]
}

// endNeverStarted ends attempts that were to be stopped and that the worker does
// not list: had they started, it would list them until they are acknowledged, and
// the check of sequence numbers rejects earlier starts from now on.
func (o *Owner) endNeverStarted(now time.Duration, w *worker) {
	for _, ref := range w.stops {
		t := o.table.onWorker[w.id][ref.Task]
		if t != nil && t.attempt == ref.Attempt {
			o.endOrCancel(now, t, journalv1.EndReason_END_REASON_NEVER_BEGAN, nil, "stopped before it began")
		}
	}
	w.stops = w.stops[:0]
}

func (o *Owner) runningHash(w *worker) uint64 {
	var sum uint64
	for _, t := range o.table.onWorker[w.id] {
		if t.running {
			sum += t.ref().Hash()
		}
	}
	return sum
}

// applyRunningList processes a full list of what runs on the worker. Attempts that
// the table doesn't have there are stopped, and count as used capacity until then.
func (o *Owner) applyRunningList(w *worker, running []fleet.Report) {
	w.fullListNeeded = false
	for _, t := range o.table.onWorker[w.id] {
		t.running = false
	}
	w.view.Free = w.view.Free.Add(w.orphanResources)
	w.orphanResources, w.orphans = fleet.Resources{}, nil
	for _, r := range running {
		t := o.table.onWorker[w.id][r.Task]
		if t != nil && t.attempt == r.Attempt {
			t.running = true
			continue
		}
		w.orphanResources = w.orphanResources.Add(r.Given)
		w.orphans = append(w.orphans, r.AttemptRef)
	}
	w.view.Free = w.view.Free.Sub(w.orphanResources)
	// Orphans are stopped by the next call, and the list after it shows whether
	// they are gone.
	w.fullListNeeded = len(w.orphans) > 0
	w.callNeeded = w.callNeeded || w.fullListNeeded || o.hasUnstarted(w)
}

func (o *Owner) hasUnstarted(w *worker) bool {
	for _, t := range o.table.onWorker[w.id] {
		if !t.running {
			return true
		}
	}
	return false
}
