package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// policyTerms are the terms of the tests' policy: a call about 30 workers takes 0.1 s.
var policyTerms = job.AdviceTerms{Decision: 40 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 3 * time.Second}

// submitIfAdmitted submits a job unless the owner refuses it, as an entry does, and reports
// whether it did.
func (s *sim) submitIfAdmitted(t *testing.T, spec *job.Spec) bool {
	t.Helper()
	a := s.owner.core.Admit(spec, s.instant())
	if a.Refused {
		if a.RetryAfter < minAdmitRetry || a.RetryAfter > maxAdmitRetry {
			t.Errorf("%v: job %s is to return after %v", s.now, spec.ID, a.RetryAfter)
		}
		return false
	}
	s.submit(spec)
	return true
}

// policyLoad plays jobs of one short task each at three quarters of the rate at which the
// policy decides, and hard times in between.
type policyLoad struct {
	name string
	// each is the mean time between jobs, burst the factor of their rate from burstFrom to
	// burstTo.
	each               time.Duration
	burst              float64
	burstFrom, burstTo time.Duration
	// slowness is that of the policy from slowFrom to slowTo.
	slowness         float64
	slowFrom, slowTo time.Duration
	// takeovers are when the owner is lost.
	takeovers []time.Duration
	// calm is set if no job may have nothing running for longer than simIdleLimit.
	calm bool
}

func (l *policyLoad) play(t *testing.T, seed uint64, terms job.AdviceTerms) (s *sim, accepted, refused int) {
	t.Helper()
	s = newSim(seed, 30)
	p := s.withPolicy(terms)
	s.workTime = func(job.TaskID) time.Duration { return 2200 * time.Millisecond }
	idle := &idleJobs{s, map[string]time.Duration{}}
	s.run(time.Second)
	next, lost := s.now, 0
	for id := 1; s.now < 25*time.Second && len(s.oracle.broken) == 0; s.step() {
		if l.calm {
			idle.check(t)
		}
		p.slowness = 1
		if s.now >= l.slowFrom && s.now < l.slowTo {
			p.slowness = l.slowness
		}
		if lost < len(l.takeovers) && s.now >= l.takeovers[lost] {
			s.owner.dead = true
			lost++
		}
		for ; s.now >= next; id++ {
			each := l.each
			if s.now >= l.burstFrom && s.now < l.burstTo {
				each = time.Duration(float64(each) / l.burst)
			}
			next += each
			if s.owner.dead {
				s.submit(simpleJob(id, 1))
				accepted++
			} else if s.submitIfAdmitted(t, simpleJob(id, 1)) {
				accepted++
			} else {
				refused++
			}
		}
	}
	return s, accepted, refused
}

// TestQueueOfThePolicyDrains guards against a backlog of the placement policy that never gets
// shorter: after a burst, a slow spell or the loss of the owner all accepted jobs are done, no
// ticket has expired on arrival, and the policy has no more than one call of an owner at a time.
func TestQueueOfThePolicyDrains(t *testing.T) {
	const each = 133 * time.Millisecond
	for _, l := range []policyLoad{
		{name: "steady", each: each, calm: true},
		{name: "burst", each: each, burst: 2.6, burstFrom: 8 * time.Second, burstTo: 12 * time.Second, calm: true},
		{name: "large burst", each: each, burst: 20, burstFrom: 8 * time.Second, burstTo: 12 * time.Second, calm: true},
		{name: "slow", each: each, slowness: 4, slowFrom: 8 * time.Second, slowTo: 12 * time.Second},
		{name: "very slow", each: each, slowness: 40, slowFrom: 8 * time.Second, slowTo: 16 * time.Second},
		{name: "new owners", each: each, takeovers: []time.Duration{8 * time.Second, 16 * time.Second}},
		{name: "new owner in a burst", each: each, burst: 4, burstFrom: 8 * time.Second, burstTo: 10 * time.Second, takeovers: []time.Duration{9 * time.Second}},
		{name: "all", each: each, burst: 4, burstFrom: 8 * time.Second, burstTo: 10 * time.Second, slowness: 10, slowFrom: 9 * time.Second, slowTo: 14 * time.Second, takeovers: []time.Duration{11 * time.Second}},
	} {
		for _, validity := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%s, tickets for %v", l.name, validity), func(t *testing.T) {
				t.Parallel()
				terms := policyTerms
				terms.Validity = validity
				s, accepted, refused := l.play(t, 1, terms)
				s.run(20 * time.Second)
				checkAll(t, s)
				t.Logf("%d accepted, %d refused, %d calls, %d starts without a ticket", accepted, refused, s.policy.calls, s.policy.refusedStarts)
				if s.policy.rejected > 0 {
					t.Errorf("%d calls of the policy were rejected", s.policy.rejected)
				}
			})
		}
	}
}

// TestPolicyServesTheMostUrgent guards against calls that are decided when a step begins to wait:
// the next call is for the step that is most urgent by then, and none is for a step that has been
// cancelled.
func TestPolicyServesTheMostUrgent(t *testing.T) {
	core, now := idleCore(t, 3)
	terms := policyTerms
	queue := func(name string, priority int) job.Queue {
		return job.Queue{Name: name, Service: "svc", Priority: priority, Stretch: 2, TargetLatency: time.Second, Advice: &terms}
	}
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{queue("urgent", 0), queue("patient", 1)}})
	submit := func(id int, queue string) {
		spec := simpleJob(id, 1)
		spec.Queue = queue
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
	}
	for id := 1; id <= 3; id++ {
		submit(id, "patient")
	}
	first := core.TakeAdviceRequests()
	if len(first) != 1 {
		t.Fatalf("%d calls at once", len(first))
	}
	submit(4, "urgent")
	core.Cancel(simpleJob(2, 1).ID, now)
	var order []string
	for requests := first; len(requests) > 0; requests = core.TakeAdviceRequests() {
		now.Steady += 100 * time.Millisecond
		order = append(order, requests[0].Task.Job[15:])
		var answer Advice
		for _, id := range requests[0].Workers {
			answer.Tickets = append(answer.Tickets, Ticket{id, "t"})
		}
		core.AdviceDone(requests[0], answer, true, now)
		core.Schedule(now)
	}
	if got := fmt.Sprint(order); got != "[1 4 3]" {
		t.Errorf("calls for the jobs %s", got)
	}
}

// TestRecordedStartNeedsAValidTicket guards against a start that waits for the store until its
// ticket has expired, and is sent with it.
func TestRecordedStartNeedsAValidTicket(t *testing.T) {
	for _, wait := range []time.Duration{100 * time.Millisecond, time.Second} {
		core, now := idleCore(t, 2)
		terms := policyTerms
		terms.Validity = 800 * time.Millisecond
		core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 9, Stretch: 2, Advice: &terms}}})
		core.AddJob(simpleJob(1, 1), nil, false, now)
		task := core.jobs[simpleJob(1, 1).ID].steps[0].tasks[0]
		core.setCrashes(task, 1)
		task.crashVersion = 0
		core.Schedule(now)
		req := core.TakeAdviceRequests()[0]
		now.Steady += suspectRetryInterval
		core.AdviceDone(req, Advice{Tickets: []Ticket{{req.Workers[0], "t"}}}, true, now)
		core.Schedule(now)
		if !core.HasUnsentStarts() {
			t.Fatal("no start waits for the store")
		}
		now.Steady += wait
		records, err := core.Records(5)
		if err != nil {
			t.Fatal(err)
		}
		core.Persisted(records)
		core.Schedule(now)
		if sent, valid := len(starts(core)) > 0, wait+suspectRetryInterval < terms.Validity; sent != valid {
			t.Errorf("after %v the start was sent: %v", wait, sent)
		}
	}
}

// TestFaultsWithPolicy plays all faults of faultsRun and gangs on a queue whose policy grants half of
// the VMs, fails to answer and becomes slow at times: nothing runs twice, and all jobs end.
func TestFaultsWithPolicy(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := faultsRun(seed, func(s *sim) {
				terms := policyTerms
				terms.Validity = []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}[seed%3]
				p := s.withPolicy(terms)
				p.failShare = 0.1
				p.grants = func(_ string, w WorkerID) bool { return w[1]%2 == 0 } // by the place in the id
				s.gangJobs, s.delayShare, s.notSentShare = true, 0.02, 0.02
				s.extra = func(s *sim) { p.slowness = []float64{1, 1, 1, 10}[s.rng.IntN(4)] }
				s.settleMore = 30 * time.Second
			})
			checkAll(t, s)
			if s.policy.calls == 0 || s.policy.rejected > 0 {
				t.Errorf("%d calls of the policy, %d were rejected", s.policy.calls, s.policy.rejected)
			}
		})
	}
}

// TestQueueWithoutPolicyAnyMore guards against tickets that are sent, and waited for, after a
// configuration has ended the consultation of the policy.
func TestQueueWithoutPolicyAnyMore(t *testing.T) {
	core, now := idleCore(t, 2)
	config := func(version int64, terms *job.AdviceTerms) {
		core.SetConfig(&job.Config{Version: version, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 9, Stretch: 2, Advice: terms}}})
	}
	config(2, &policyTerms)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	req := core.TakeAdviceRequests()[0]
	config(3, nil)
	core.Schedule(now)
	core.AdviceDone(req, Advice{Tickets: []Ticket{{req.Workers[0], "t"}}}, true, now)
	if list := starts(core); len(list) != 1 || list[0].Ticket != "" {
		t.Errorf("starts %+v, want one without a ticket", list)
	}
}
