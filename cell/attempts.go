package cell

import (
	"slices"
	"time"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
)

// endLostAttempts ends the attempts on a worker whose task leases have ended or
// whose VM is gone. It does so only while this entry may decide; until then the
// attempts count as running, which is safe.
func (o *Owner) endLostAttempts(now time.Duration, w *worker, gone bool) {
	if !o.mayDecide(now) {
		return
	}
	w.leaseEnded = true
	w.fullListNeeded = true
	for _, t := range o.onWorker(w.id) {
		why := "no contact until its lease had ended"
		if gone {
			why = "its VM is gone"
		}
		o.attemptLost(now, t, why)
	}
}

// attemptLost ends an attempt that may have run for a while and can't be running
// any more.
func (o *Owner) attemptLost(now time.Duration, t *task, why string) {
	o.counters.Lost++
	switch {
	case t.cancelRequested:
		o.finish(now, t, result.TaskCancelled, "its worker was lost while it was being stopped")
	case t.spec.GetNotRepeatable():
		o.finish(now, t, result.WorkerLostNoRep, why)
	default:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_WORKER_LOST, nil, why)
	}
}

func (o *Owner) endAttempt(now time.Duration, t *task, reason journalv1.EndReason, checkpoint []byte, why string) {
	w := o.ensureWorker(t.worker)
	attempt := t.attempt
	o.propose(&journalv1.TaskRecord{
		Id: t.spec.GetId(),
		Change: &journalv1.TaskRecord_Ended{Ended: &journalv1.Ended{
			Attempt: attempt, Reason: reason, Checkpoint: checkpoint,
		}},
	})
	t.since = now
	o.recordKinds(now, w)
	o.recordDecision(Decision{What: "attempt-ended", Task: t.spec.GetId(), Attempt: attempt, Worker: w.id, Reason: why})
}

func (o *Owner) finish(now time.Duration, t *task, code result.Code, detail string) {
	workerID, wasAssigned := t.worker, t.phase == Assigned
	o.propose(&journalv1.TaskRecord{
		Id: t.spec.GetId(),
		Change: &journalv1.TaskRecord_Finished{Finished: &journalv1.Finished{
			Attempt: t.attempt, Code: uint32(code), Detail: detail,
		}},
	})
	t.doneAt = now
	o.finishedTasks = append(o.finishedTasks, t)
	delete(o.waitReasons, t.spec.GetId())
	o.counters.Finished++
	if wasAssigned {
		w := o.ensureWorker(workerID)
		o.recordKinds(now, w)
	}
	o.recordDecision(Decision{What: "done", Task: t.spec.GetId(), Attempt: t.attempt, Worker: workerID, Reason: code.String()})
}

func (o *Owner) attemptEnded(now time.Duration, w *worker, t *task, r fleet.Report) {
	switch r.State {
	case fleet.AttemptFinished:
		w.recordSuccess()
		o.finish(now, t, result.OK, r.Detail)
	case fleet.AttemptFailed:
		o.attemptFailed(now, w, t, r)
	case fleet.AttemptRefused:
		o.counters.Refused++
		w.notBefore = now + o.params.RetryEvery
		w.fullListNeeded = true
		o.endOrCancel(now, t, journalv1.EndReason_END_REASON_NEVER_BEGAN, nil, "refused by the worker")
	default:
		o.counters.Evicted++
		o.endOrCancel(now, t, journalv1.EndReason_END_REASON_EVICTED, r.Checkpoint, "stopped with a checkpoint")
	}
}

func (o *Owner) endOrCancel(now time.Duration, t *task, reason journalv1.EndReason, checkpoint []byte, why string) {
	if t.cancelRequested {
		o.finish(now, t, result.TaskCancelled, why)
		return
	}
	o.endAttempt(now, t, reason, checkpoint, why)
}

func (o *Owner) attemptFailed(now time.Duration, w *worker, t *task, r fleet.Report) {
	blamed := o.blameWorker(now, w, t)
	switch {
	case t.cancelRequested:
		o.finish(now, t, result.TaskCancelled, "failed while it was being cancelled")
	case t.spec.GetNotRepeatable():
		o.finish(now, t, result.TaskFailed, r.Detail)
	case blamed:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_WORKER_LOST, nil, "failed on a quarantined worker")
	case o.exhausted(t):
		o.finish(now, t, result.AttemptsExhausted, r.Detail)
	default:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_FAILED, nil, "failed; tried again")
	}
}

// exhausted reports whether a failure now is the task's last allowed one: it has
// failed on enough different workers, or too often in all.
func (o *Owner) exhausted(t *task) bool {
	workers := len(t.failedOn)
	if !slices.Contains(t.failedOn, t.worker) {
		workers++
	}
	return workers >= o.params.MaxFailures || int(t.failures)+1 >= 2*o.params.MaxFailures
}

// blameWorker reports whether a failure counts as the worker's rather than the
// task's: quarantineThreshold tasks in a row that had not failed before failed
// there, without a success. It puts such a worker into quarantine unless too many
// are in quarantine already.
func (o *Owner) blameWorker(now time.Duration, w *worker, t *task) bool {
	if t.failures == 0 {
		w.failuresInRow++
	}
	if w.failuresInRow < quarantineThreshold {
		return false
	}
	if now >= w.quarantineUntil && o.quarantined(now) < maxQuarantinedFraction*float64(len(o.workers)) {
		w.quarantineFor = min(max(2*w.quarantineFor, initialQuarantine), maxQuarantine)
		w.quarantineUntil = now + w.quarantineFor
		o.recordDecision(Decision{What: "quarantine", Worker: w.id, Reason: "its tasks fail repeatedly; quarantined for " + w.quarantineFor.String()})
	}
	return now < w.quarantineUntil
}

func (o *Owner) quarantined(now time.Duration) float64 {
	n := 0.0
	for _, w := range o.workers {
		if now < w.quarantineUntil {
			n++
		}
	}
	return n
}

// recordSuccess ends the count of failures in a row and resets the quarantine time.
func (w *worker) recordSuccess() {
	w.failuresInRow = 0
	w.quarantineFor = 0
}
