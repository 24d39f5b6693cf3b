package dispatch

import (
	"testing"
	"time"
)

// silence has polls of a worker stay unanswered until it counts as unreached.
func silence(core *Core, id WorkerID, now Instant) {
	for range unreachedAfter {
		core.PollDone(PollRequest{Worker: id}, PollReply{}, OutcomeUnknown, now)
	}
}

// TestSealedWorkerGetsNoLease guards against a lease that the next owner does not wait for: a worker
// that answers again gets no deadline before the store has its entry without a seal.
func TestSealedWorkerGetsNoLease(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, id := startedCore(t, now)
	silence(core, id, now)
	sealed, err := core.Roster(1)
	if err != nil {
		t.Fatal(err)
	}
	now.Steady += time.Second
	poll(core, id, now.Steady, now.Steady+time.Millisecond)
	core.RosterStored(sealed)
	now.Steady += 10 * time.Millisecond
	if plan := core.PlanPoll(id, now); !plan.Send || plan.Request.DeadlineMS != 0 || plan.Request.Wait > pollWaitSealed {
		t.Errorf("beside a seal the worker is polled with %+v", plan.Request)
	}
	if e := entryOf(rosterOf(t, core), id); e.Seal != nil {
		t.Fatal("the entry of a worker that answers stays sealed")
	}
	if plan := core.PlanPoll(id, now); plan.Request.DeadlineMS == 0 {
		t.Error("no lease is given after the entry without a seal was stored")
	}
}

// TestSealTellsWhenTheLastLeaseEnds guards against a seal that expires before the lease of a worker
// whose clock runs 2% slow, and against one that does not expire sooner than the longest wait.
func TestSealTellsWhenTheLastLeaseEnds(t *testing.T) {
	now := Instant{Steady: time.Second}
	old, id := startedCore(t, now)
	now.Steady += 3 * time.Second // the leases of earlier owners are shorter
	poll(old, id, now.Steady, now.Steady)
	granted := now.Steady
	now.Steady += time.Second
	silence(old, id, now)
	entry := entryOf(rosterOf(t, old), id)
	old.Tick(now)
	elapsed, err := old.Elapsed(now)
	if err != nil || elapsed == nil {
		t.Fatalf("no elapsed time is stored: %v", err)
	}
	next := leasedCore(Params{RecoveryWait: 10 * time.Second}, old.term+TokensPerTerm, now)
	begun := Instant{Steady: time.Hour}
	if err := next.RecoverSeals(elapsed, old.term, begun); err != nil {
		t.Fatal(err)
	}
	next.Recover([]RosterEntry{entry}, begun)
	slowest := float64(DefaultTaskLease) / clockRate
	lease := time.Duration(slowest)
	until := next.unresolved[id].until - begun.Steady + now.Steady
	if until < granted+lease || until > granted+lease+time.Second {
		t.Errorf("the next owner takes the leases for over at %v, the last one was given at %v and lasts %v", until, granted, lease)
	}
}

// TestSealsThatDoNotCount guards against seals of owners that others may have followed which ignored
// them, and of another count of the elapsed time.
func TestSealsThatDoNotCount(t *testing.T) {
	const term = 3 * TokensPerTerm
	reading := `{"ms":5000,"from":512}`
	for name, c := range map[string]struct {
		seal    *Seal
		elapsed string
		from    uint64
		counts  bool
	}{
		"of the previous owner":         {&Seal{Term: 512, ExpiresMS: 5100}, reading, 512, true},
		"of an owner before the gap":    {&Seal{Term: 512, ExpiresMS: 5100}, reading, term, false},
		"of another elapsed time":       {&Seal{Term: 256, ExpiresMS: 5100}, reading, 256, false},
		"without a reading":             {&Seal{Term: 512, ExpiresMS: 5100}, "", 512, false},
		"with a reading that is broken": {&Seal{Term: 512, ExpiresMS: 5100}, "{", 512, false},
		"none":                          {nil, reading, 512, false},
	} {
		now := Instant{Steady: time.Minute}
		core := leasedCore(Params{RecoveryWait: 10 * time.Second}, term, now)
		var value []byte
		if c.elapsed != "" {
			value = []byte(c.elapsed)
		}
		if err := core.RecoverSeals(value, c.from, now); (err != nil) != (c.elapsed == "{") {
			t.Errorf("%s: %v", name, err)
		}
		core.Recover([]RosterEntry{{ID: "w1", Address: "a", Closed: true, Seal: c.seal}}, now)
		if wait := core.unresolved["w1"].until - now.Steady; (wait < time.Second) != c.counts || core.workers["w1"].sealed != c.counts {
			t.Errorf("%s: awaited for %v, sealed %v", name, wait, core.workers["w1"].sealed)
		}
	}
}

// TestElapsedTimeIsStoredOnlyWhileLeasesAreAwaited guards against writes without end.
func TestElapsedTimeIsStoredOnlyWhileLeasesAreAwaited(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, id := startedCore(t, now)
	written := 0
	for range 300 {
		now.Steady += 100 * time.Millisecond
		if now.Steady > 5*time.Second {
			silence(core, id, now)
		}
		other := WorkerID("w1")
		if id == other {
			other = "w2"
		}
		poll(core, other, now.Steady, now.Steady)
		core.Renewed(now.Steady)
		core.Tick(now)
		core.TakeOrders()
		storeRoster(t, core)
		value, err := core.Elapsed(now)
		if err != nil {
			t.Fatal(err)
		}
		if value != nil {
			written++
		}
	}
	if longest := int((DefaultTaskLease + 2*time.Second) / elapsedInterval); written == 0 || written > longest {
		t.Errorf("%d readings are written, want 1 to %d", written, longest)
	}
}
