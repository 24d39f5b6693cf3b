package cell

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/scheduler"
)

// checkWritable returns why nothing can be recorded now, or nil.
func (o *Owner) checkWritable(now time.Duration) *result.Error {
	if !o.mayDecide(now) {
		return result.New(result.OwnerUnavailable, "entry %s does not own cell %s", o.params.Self, o.params.Cell).After(time.Second)
	}
	if o.core.StoreSilent(now) > o.params.StoreSilence {
		return result.New(result.StoreUnavailable, "the store has not answered a commit").After(o.params.StoreSilence)
	}
	return nil
}

// Submit records tasks. The reply to ticket comes once they are durable. A repeated
// submission of a task changes nothing.
func (o *Owner) Submit(now time.Duration, ticket uint64, specs []*journalv1.TaskSpec) {
	if refusal := o.checkWritable(now); refusal != nil {
		o.out.Replies = append(o.out.Replies, Reply{Ticket: ticket, Err: refusal})
		return
	}
	reply := Reply{Ticket: ticket}
	for _, s := range specs {
		code, detail := o.submitOne(now, s)
		reply.Results = append(reply.Results, TaskResult{ID: s.GetId(), Code: code, Detail: detail})
	}
	// The record of a task that exists already may still wait for its commit, so
	// the reply waits for all proposed records.
	o.answerAfter(o.core.Proposed(), reply)
}

func (o *Owner) submitOne(now time.Duration, s *journalv1.TaskSpec) (result.Code, string) {
	if t := o.table.tasks[s.GetId()]; t != nil {
		if !sameSpec(t.spec, s) {
			return result.TaskIDConflict, "a task with this id asks for something else"
		}
		return result.OK, "known already: " + t.phase.String()
	}
	if _, err := labels.Parse(s.GetVmSelector()); err != nil {
		return result.BadSelector, err.Error()
	}
	if o.shares.ExceedsQuota(s.GetGroup(), fromProto(s.GetRequest())) {
		return result.QuotaExceeded, fmt.Sprintf("more than the quota of group %s", s.GetGroup())
	}
	o.propose(&journalv1.TaskRecord{Id: s.GetId(), Change: &journalv1.TaskRecord_Submitted{Submitted: s}})
	o.table.tasks[s.GetId()].since = now
	o.counters.Submitted++
	return result.OK, ""
}

// Cancel ends the task with an id, or all tasks that match a selector. The reply
// lists them and comes once the cancellation is durable. A running task is
// stopped first; one that ends at the same time keeps its own outcome.
func (o *Owner) Cancel(now time.Duration, ticket uint64, id string, sel labels.Selector) {
	reply := Reply{Ticket: ticket}
	if refusal := o.checkWritable(now); refusal != nil {
		o.out.Replies = append(o.out.Replies, Reply{Ticket: ticket, Err: refusal})
		return
	}
	tasks := o.find(id, sel)
	if id != "" && len(tasks) == 0 {
		reply.Results = []TaskResult{{ID: id, Code: result.UnknownTask}}
	}
	for _, t := range tasks {
		if t.phase != Done {
			o.cancelOne(now, t)
		}
		reply.Results = append(reply.Results, TaskResult{ID: t.spec.GetId(), Code: result.OK, Detail: t.phase.String()})
	}
	o.answerAfter(o.core.Proposed(), reply)
}

func (o *Owner) cancelOne(now time.Duration, t *task) {
	if t.phase == Pending {
		o.finish(now, t, result.TaskCancelled, "cancelled before it ran")
		return
	}
	if !t.cancelRequested {
		o.propose(&journalv1.TaskRecord{
			Id:     t.spec.GetId(),
			Change: &journalv1.TaskRecord_CancelRequested{CancelRequested: &journalv1.CancelRequested{}},
		})
	}
	o.stop(t)
}

// find returns the task with an id, or all that match a selector, in order of
// submission.
func (o *Owner) find(id string, sel labels.Selector) []*task {
	if id != "" {
		if t := o.table.tasks[id]; t != nil {
			return []*task{t}
		}
		return nil
	}
	var out []*task
	for _, t := range o.table.tasks {
		if sel.Matches(labels.Set(t.spec.GetLabels())) {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// Get replies to ticket with the state of tasks by id or selector, once the
// reported state is durable.
func (o *Owner) Get(now time.Duration, ticket uint64, id string, sel labels.Selector) {
	reply := Reply{Ticket: ticket}
	if !o.owning || !o.mayRenew(now) {
		reply.Err = result.New(result.OwnerUnavailable, "entry %s does not own cell %s", o.params.Self, o.params.Cell).After(time.Second)
		o.out.Replies = append(o.out.Replies, reply)
		return
	}
	tasks := o.find(id, sel)
	if id != "" && len(tasks) == 0 {
		reply.Err = result.New(result.UnknownTask, "task %s", id)
	}
	var pos uint64
	for _, t := range tasks {
		pos = max(pos, t.lastRecordPos)
		reply.Tasks = append(reply.Tasks, t.state())
	}
	o.answerAfter(pos, reply)
}

// Waiting counts the pending tasks by group. Groups without any are left out.
func (o *Owner) Waiting() map[string]int {
	out := map[string]int{}
	for group, q := range o.table.queues {
		for _, t := range q.tasks {
			if t.phase == Pending && !t.unfit {
				out[group]++
			}
		}
	}
	return out
}

// Explain returns one line on why a task runs where it does or why it waits.
func (o *Owner) Explain(now time.Duration, id string) string {
	t := o.table.tasks[id]
	if t == nil {
		return "unknown task"
	}
	switch t.phase {
	case Done:
		return fmt.Sprintf("ended with %s %s", t.code, t.detail)
	case Assigned:
		return o.explainAssigned(t)
	default:
		return o.explainPending(now, t)
	}
}

func (o *Owner) explainAssigned(t *task) string {
	state := "start sent or about to be sent"
	if t.running {
		state = "running"
	}
	if t.stopping {
		state = "stopping"
	}
	return fmt.Sprintf("attempt %d on VM %s: %s; given %d millicores, %d MiB, %d accelerators",
		t.attempt, t.worker, state, t.given.CPUMilli, t.given.MemoryMiB, t.given.Accelerators)
}

func (o *Owner) explainPending(now time.Duration, t *task) string {
	reason := o.waitReasons[t.spec.GetId()]
	if reason == "" {
		reason = scheduler.ReasonBehind
	}
	counts := o.planner.Explain(o.candidate(now, t), o.views())
	var steps []string
	for name, n := range counts {
		steps = append(steps, fmt.Sprintf("%s: %d", name, n))
	}
	sort.Strings(steps)
	return fmt.Sprintf("waiting for %s: %s (VMs by first rejecting step: %s)",
		(now - t.since).Round(time.Millisecond), reason, strings.Join(steps, ", "))
}
