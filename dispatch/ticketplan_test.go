package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// ticketWorld plays owners, one after the other, with idle workers and a placement policy in
// virtual time. Tasks run until the end once they are started.
type ticketWorld struct {
	t       *testing.T
	core    *Core
	now     Instant
	term    uint64
	workers []WorkerInfo
	terms   job.AdviceTerms
	// grants is what the policy allows, slowness a factor of the time that its calls take.
	grants   func(w WorkerID) bool
	slowness int
	call     *AdviceRequest
	callEnds time.Duration
	tickets  map[WorkerID]time.Duration
	running  map[job.TaskID]WorkerID
	runs     map[job.TaskID]uint64
	// refused counts starts without a valid ticket, calls the calls that were decided.
	refused, calls int
}

func newTicketWorld(t *testing.T, workers int, terms job.AdviceTerms) *ticketWorld {
	w := &ticketWorld{
		t: t, now: Instant{Steady: time.Minute, UnixMS: 1_000_000}, terms: terms, slowness: 1,
		grants: func(WorkerID) bool { return true }, running: map[job.TaskID]WorkerID{}, runs: map[job.TaskID]uint64{},
	}
	for i := range workers {
		w.workers = append(w.workers, WorkerInfo{
			ID: WorkerID(fmt.Sprintf("w%04d", i)), Address: fmt.Sprint(i), Service: "svc", CPUMilli: 4000, MemoryMiB: 8000, Rack: fmt.Sprintf("r%02d", i/8),
		})
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner; the next one knows of no ticket and of no call.
func (w *ticketWorld) takeOver() {
	w.term += TokensPerTerm
	w.core = New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, JobKept: time.Hour, RemoteFactor: 2}, w.term, nil)
	w.core.Renewed(w.now.Steady)
	w.core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{
		{Name: "q", Service: "svc", Priority: 1, MaxAttempts: 9, Stretch: 2, TargetLatency: time.Second, Advice: &w.terms},
		{Name: "plain", Service: "svc", Priority: 1, MaxAttempts: 9, Stretch: 2, TargetLatency: time.Second},
		{Name: "fills", Service: "svc", Priority: 2, MaxAttempts: 9, Stretch: 9, TargetLatency: time.Second},
	}})
	w.core.SetWorkers(w.workers, w.now)
	var ids []WorkerID
	for _, info := range w.workers {
		ids = append(ids, info.ID)
	}
	storeOpen(w.core, ids...)
	w.call, w.tickets = nil, map[WorkerID]time.Duration{}
	w.poll()
}

// poll reads the lists of all workers.
func (w *ticketWorld) poll() {
	lists := map[WorkerID][]RunningTask{}
	for task, at := range w.running {
		lists[at] = append(lists[at], RunningTask{Task: task, Run: w.runs[task], Percent: 100})
	}
	for _, info := range w.workers {
		list := lists[info.ID]
		slices.SortFunc(list, func(a, b RunningTask) int { return a.Task.Index - b.Task.Index })
		w.core.PollDone(w.core.PlanPoll(info.ID, w.now).Request, PollReply{ClockMS: w.now.Steady.Milliseconds(), Running: list}, OutcomeOK, w.now)
	}
}

// run lets time pass until done reports true, and reports whether it did.
func (w *ticketWorld) run(limit time.Duration, done func() bool) bool {
	w.t.Helper()
	for end := w.now.Steady + limit; w.now.Steady < end; {
		if done() {
			return true
		}
		w.now.Steady += 10 * time.Millisecond
		w.core.Renewed(w.now.Steady)
		w.advise()
		if w.now.Steady%(200*time.Millisecond) == 0 {
			w.poll()
			w.core.Tick(w.now)
		} else {
			w.core.Schedule(w.now)
		}
		w.carryOut()
	}
	return done()
}

func (w *ticketWorld) advise() {
	if w.call != nil && w.now.Steady >= w.callEnds {
		req := *w.call
		w.call = nil
		w.calls++
		answer := Advice{Validity: w.terms.Validity}
		for _, id := range req.Workers {
			if w.grants(id) {
				w.tickets[id] = w.now.Steady + w.terms.Validity
				answer.Tickets = append(answer.Tickets, Ticket{id, "t"})
			}
		}
		w.core.AdviceDone(req, answer, true, w.now)
	}
	for _, req := range w.core.TakeAdviceRequests() {
		if w.call != nil || len(req.Workers) > 100 {
			w.t.Fatalf("a call about %d workers, another one is in flight: %v", len(req.Workers), w.call != nil)
		}
		w.call = &req
		w.callEnds = w.now.Steady + time.Duration(w.slowness)*(w.terms.Decision+time.Duration(len(req.Workers))*w.terms.PerWorker)
	}
}

func (w *ticketWorld) carryOut() {
	for orders := w.core.TakeOrders(); len(orders) > 0; orders = w.core.TakeOrders() {
		for _, o := range orders {
			answer := Answer{Outcome: OutcomeOK, ClockMS: w.now.Steady.Milliseconds()}
			switch {
			case o.Kind == OrderStop:
				delete(w.running, o.Task)
			case o.Kind == OrderStart && o.Ticket != "" && w.now.Steady >= w.tickets[o.Worker]:
				w.refused++
				answer.Outcome = OutcomeNoTicket
			case o.Kind == OrderStart:
				w.running[o.Task], w.runs[o.Task] = o.Worker, o.Run
			}
			w.core.OrderDone(o, answer, w.now)
		}
	}
}

// runningOf returns how many tasks of a job run.
func (w *ticketWorld) runningOf(id string) int {
	n := 0
	for task := range w.running {
		if task.Job == id {
			n++
		}
	}
	return n
}

// wideJob is a job of one step of lasting tasks.
func wideJob(id, count, spread int, gang bool) *job.Spec {
	spec := longRunningJob(id, count)
	spec.Steps[0].Gang, spec.Steps[0].MaxPerWorker = gang, spread
	return spec
}

// TestWideStepsWithPolicyStart guards against steps that need many workers at once and wait for
// ever though the policy grants enough: requests that end at a fixed number of workers, tickets that
// expire while others are requested, and tickets at workers that can't be used.
func TestWideStepsWithPolicyStart(t *testing.T) {
	const workers = 640
	grants := map[string]func(i int) bool{
		"all":  func(int) bool { return true },
		"half": func(i int) bool { return i%2 == 0 },
		"few":  func(i int) bool { return i >= workers/2 && i < workers/2+260 }, // the best ones come last
	}
	terms := map[string]job.AdviceTerms{
		"usual": policyTerms,
		"short": {Decision: 40 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 1200 * time.Millisecond},
		"long":  {Decision: 40 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: time.Minute},
		"slow":  {Decision: 500 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 3 * time.Second},
	}
	for granting, grant := range grants {
		for name, term := range terms {
			t.Run(granting+" granted, "+name, func(t *testing.T) {
				t.Parallel()
				for _, width := range []int{1, 8, 30, 31, 36, 99, 101, 150, 250} {
					for _, spread := range []int{0, 1, 3} {
						for _, gang := range []bool{true, false} {
							for _, takeover := range []bool{false, true} {
								w := newTicketWorld(t, workers, term)
								w.grants = func(id WorkerID) bool {
									return grant(slices.IndexFunc(w.workers, func(i WorkerInfo) bool { return i.ID == id }))
								}
								what := fmt.Sprintf("%d tasks, %d a worker, gang %v, takeover %v", width, spread, gang, takeover)
								w.startWide(what, wideJob(1, width, spread, gang), takeover)
							}
						}
					}
				}
			})
		}
	}
}

// startWide submits a job and checks that all its tasks are started.
func (w *ticketWorld) startWide(what string, spec *job.Spec, takeover bool) {
	w.t.Helper()
	if a := w.core.Admit(spec, w.now); a.Refused {
		w.t.Errorf("%s: refused: %s", what, a.Reason)
		return
	}
	w.core.AddJob(spec, nil, false, w.now)
	if takeover {
		w.run(time.Duration(3*w.terms.Decision/2), func() bool { return len(w.running) > 0 })
		if len(w.running) == 0 {
			w.takeOver()
			w.core.AddJob(spec, nil, false, w.now)
		}
	}
	began := w.now.Steady
	count := spec.Steps[0].Count
	if !w.run(30*time.Second, func() bool { return w.runningOf(spec.ID) == count }) {
		w.t.Errorf("%s: %d tasks run after %v and %d calls", what, w.runningOf(spec.ID), w.now.Steady-began, w.calls)
	}
	if w.refused > 0 {
		w.t.Errorf("%s: %d starts without a valid ticket", what, w.refused)
	}
}

// TestWideStepsBesideOtherWorkStart guards against tickets that count though their workers are full,
// leave or are refused: other jobs take and leave capacity, workers drain, and small steps ask
// the policy all the time. A step starts if the workers that the policy grants have twice the
// capacity for it.
func TestWideStepsBesideOtherWorkStart(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			w := newTicketWorld(t, 120, policyTerms)
			share := []float64{1, 0.5, 0.25}[rng.IntN(3)]
			granted := map[WorkerID]bool{}
			for _, info := range w.workers {
				granted[info.ID] = rng.Float64() < share
			}
			w.grants = func(id WorkerID) bool { return granted[id] }
			full := 0
			for _, spec := range w.submitOthers(rng) {
				full += spec.Steps[0].Count
			}
			w.run(time.Second, func() bool { return len(w.running) == full })
			spread := rng.IntN(3)
			most := w.freeSlots(granted, spread) / 2
			if most == 0 {
				return
			}
			spec := wideJob(1, 1+rng.IntN(most), spread, rng.IntN(2) == 0)
			next := 100
			w.core.AddJob(spec, nil, false, w.now)
			for step := 0; step < 30 && w.runningOf(spec.ID) < spec.Steps[0].Count; step++ {
				w.disturb(rng, &next)
				w.run(500*time.Millisecond, func() bool { return w.runningOf(spec.ID) == spec.Steps[0].Count })
			}
			if n := w.runningOf(spec.ID); n < spec.Steps[0].Count {
				t.Errorf("%d of %d tasks run, %d a worker, gang %v, %v granted; %d calls, %s", n, spec.Steps[0].Count, spread, spec.Steps[0].Gang, share, w.calls,
					w.core.policyWaitReason(w.core.jobs[spec.ID].steps[0], "svc", w.now))
			}
			if w.refused > 0 {
				t.Errorf("%d starts without a valid ticket", w.refused)
			}
		})
	}
}

// submitOthers submits jobs of a queue without a policy that fill about half of the workers.
func (w *ticketWorld) submitOthers(rng *rand.Rand) (specs []*job.Spec) {
	for i := range len(w.workers) {
		if rng.IntN(2) == 0 {
			continue
		}
		spec := wideJob(1000+i, 1+rng.IntN(2), 0, false)
		spec.Queue, spec.Steps[0].CPUMilli = "plain", 1900
		w.core.AddJob(spec, nil, false, w.now)
		specs = append(specs, spec)
	}
	return specs
}

// freeSlots returns how many tasks of 500 millicores the granted workers take, at most spread
// each if that is not 0.
func (w *ticketWorld) freeSlots(granted map[WorkerID]bool, spread int) int {
	n := 0
	for _, o := range w.core.workers {
		if !granted[o.info.ID] || o.info.Draining {
			continue
		}
		slots := int((o.info.CPUMilli - o.used.cpu) / 500)
		if spread > 0 {
			slots = min(slots, spread)
		}
		n += slots
	}
	return n
}

// disturb has small steps ask the policy, another job take capacity, and a worker drain.
func (w *ticketWorld) disturb(rng *rand.Rand, next *int) {
	for range 1 + rng.IntN(3) {
		*next++
		w.core.AddJob(wideJob(*next, 1, 0, false), nil, false, w.now)
	}
	if rng.IntN(4) == 0 {
		*next++
		spec := wideJob(*next, 1, 0, false)
		spec.Queue, spec.Steps[0].CPUMilli = "plain", 1900
		w.core.AddJob(spec, nil, false, w.now)
	}
	if rng.IntN(8) == 0 {
		i := rng.IntN(len(w.workers))
		w.workers[i].Draining, w.workers[i].Leaving = true, time.Hour
		w.core.SetWorkers(w.workers, w.now)
	}
}

// TestPreemptionWithPolicy guards against an urgent step that waits for ever beside fills of less
// urgent queues, since it has tickets only at workers with capacity: it preempts at a worker that the
// policy grants, and nowhere else.
func TestPreemptionWithPolicy(t *testing.T) {
	for _, validity := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		terms := policyTerms
		terms.Validity = validity
		w := newTicketWorld(t, 40, terms)
		w.grants = func(id WorkerID) bool { return id == "w0033" }
		for i := range w.workers {
			spec := simpleJob(100+i, 1)
			spec.Queue = "fills"
			spec.Steps[0].Fills, spec.Steps[0].Checkpoints, spec.Steps[0].MemoryMiB, spec.Steps[0].EstimateMS = true, true, 7900, 600_000
			w.core.AddJob(spec, nil, false, w.now)
		}
		if !w.run(5*time.Second, func() bool { return len(w.running) == len(w.workers) }) {
			t.Fatalf("%d fills run", len(w.running))
		}
		spec := simpleJob(1, 1)
		w.core.AddJob(spec, nil, false, w.now)
		if !w.run(10*time.Second, func() bool { return w.runningOf(spec.ID) == 1 }) {
			t.Errorf("tickets for %v: the urgent task does not run after %d calls", validity, w.calls)
		}
		if n := len(w.running); n != len(w.workers) {
			t.Errorf("tickets for %v: %d tasks run on %d workers", validity, n, len(w.workers))
		}
	}
}

// TestGangTooWideForThePolicyIsRefused guards against an accepted gang that can never start: its
// first tickets expire before the policy has decided on the last ones.
func TestGangTooWideForThePolicyIsRefused(t *testing.T) {
	terms := job.AdviceTerms{Decision: 500 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 1600 * time.Millisecond}
	w := newTicketWorld(t, 300, terms)
	for _, x := range []struct {
		count, spread int
		refused       bool
	}{{100, 1, false}, {101, 1, false}, {250, 1, true}, {250, 3, false}, {800, 0, false}, {900, 0, false}, {2000, 0, true}} {
		a := w.core.Admit(wideJob(1, x.count, x.spread, true), w.now)
		if a.Refused != x.refused || a.Refused && a.RetryAfter != maxAdmitRetry {
			t.Errorf("%d members, %d a worker: %+v", x.count, x.spread, a)
		}
	}
}

// TestGangOfOneRackAsksThere guards against requests about workers of all racks for a gang that
// should be in one.
func TestGangOfOneRackAsksThere(t *testing.T) {
	w := newTicketWorld(t, 80, policyTerms)
	w.grants = func(id WorkerID) bool { return id >= "w0008" } // none in the first rack
	spec := wideJob(1, 8, 1, true)
	spec.Steps[0].SameRack = true
	w.core.AddJob(spec, nil, false, w.now)
	if !w.run(10*time.Second, func() bool { return w.runningOf(spec.ID) == 8 }) {
		t.Fatalf("%d members run", w.runningOf(spec.ID))
	}
	racks := map[string]bool{}
	for _, id := range w.running {
		racks[w.core.workers[id].info.Rack] = true
	}
	if len(racks) != 1 {
		t.Errorf("the gang is in the racks %v", racks)
	}
}

// TestMovesStayWithinThePolicy guards against a task that is moved off its worker for another one
// that the policy does not allow.
func TestMovesStayWithinThePolicy(t *testing.T) {
	w := newTicketWorld(t, 10, policyTerms)
	w.grants = func(id WorkerID) bool { return id == "w0003" }
	spec := wideJob(1, 1, 0, false)
	w.core.AddJob(spec, nil, false, w.now)
	w.run(5*time.Second, func() bool { return len(w.running) == 1 })
	task := w.core.jobs[spec.ID].steps[0].tasks[0]
	task.avoid = "w0003"
	if w.core.hasCapacityElsewhere(task, w.now) {
		t.Error("a refused worker counts as a place for the task")
	}
	task.step.advice.record("w0005", "t", 0, 0)
	if !w.core.hasCapacityElsewhere(task, w.now) {
		t.Error("a granted worker does not count")
	}
}

// TestNoPreemptionWhileThePolicyIsAsked guards against fills that are stopped at a granted worker while
// others have capacity that the policy has not decided on.
func TestNoPreemptionWhileThePolicyIsAsked(t *testing.T) {
	w := newTicketWorld(t, 40, policyTerms)
	for i := range 10 {
		spec := simpleJob(100+i, 1)
		spec.Queue = "fills"
		spec.Steps[0].Fills, spec.Steps[0].Checkpoints, spec.Steps[0].MemoryMiB, spec.Steps[0].EstimateMS = true, true, 7900, 600_000
		w.core.AddJob(spec, nil, false, w.now)
	}
	w.run(5*time.Second, func() bool { return len(w.running) == 10 })
	fills := maps.Clone(w.running)
	spec := wideJob(1, 1, 0, false)
	w.core.AddJob(spec, nil, false, w.now)
	w.core.Schedule(w.now)
	for _, at := range fills {
		w.core.jobs[spec.ID].steps[0].advice.record(at, "", 0, 0)
	}
	if !w.run(10*time.Second, func() bool { return w.runningOf(spec.ID) == 1 }) {
		t.Error("the task does not run")
	}
	for task, at := range fills {
		if w.running[task] != at {
			t.Errorf("%s was stopped at %s", task, at)
		}
	}
}

// TestHopelessStepsDoNotBlockThePolicy guards against steps that no worker takes and that count as work
// of the policy: their number would have all other jobs refused.
func TestHopelessStepsDoNotBlockThePolicy(t *testing.T) {
	w := newTicketWorld(t, 20, policyTerms)
	w.grants = func(id WorkerID) bool { return id < "w0010" }
	for i := range 60 {
		gang := wideJob(100+i, 200, 0, true)
		large := wideJob(200+i, 1, 0, false)
		large.Steps[0].CPUMilli = 5000
		w.core.AddJob(gang, nil, false, w.now)
		w.core.AddJob(large, nil, false, w.now)
	}
	spread := wideJob(400, 15, 1, false) // ten workers are granted
	w.core.AddJob(spread, nil, false, w.now)
	w.run(5*time.Second, func() bool { return false })
	if wait := w.core.policyWait(leastUrgent, w.now); wait > 0 {
		t.Errorf("the policy is taken to be busy for %v", wait)
	}
	spec := wideJob(1, 4, 0, false)
	began := w.now.Steady
	w.startWide("beside hopeless steps", spec, false)
	if took := w.now.Steady - began; took > time.Second {
		t.Errorf("a step started after %v", took)
	}
}
