package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// fleetSizes returns the numbers of workers at which the scans are counted.
func fleetSizes() []int {
	if testing.Short() {
		return []int{500, 5000}
	}
	return []int{500, 5000, 50_000}
}

// Shape of the fleets.
const (
	growthCentres = 6
	growthRack    = 20
	growthJobs    = 5
)

// growthFleet is a core whose workers each run one long-running task.
type growthFleet struct {
	t    testing.TB
	core *Core
	now  Instant
	list []WorkerInfo
}

func newGrowthFleet(t testing.TB, workers int) *growthFleet {
	t.Helper()
	f := &growthFleet{t: t, now: Instant{Steady: time.Second}}
	f.core = New(Params{MaxTaskLease: 10 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: 2 * time.Hour, JobKept: time.Hour}, 1, nil)
	f.core.Renewed(0)
	f.core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, MaxAttempts: 3}}})
	for i := range workers {
		f.list = append(f.list, WorkerInfo{
			ID: WorkerID(fmt.Sprintf("w%05d", i)), VM: fmt.Sprintf("m%05d", i), Address: fmt.Sprint(i), Service: "svc", CPUMilli: 4000, MemoryMiB: 8000,
			DataCentre: fmt.Sprint(i % growthCentres), Rack: fmt.Sprintf("r%d", i/growthRack),
		})
	}
	f.core.SetWorkers(f.list, f.now)
	storeRoster(t, f.core)
	for _, info := range f.list {
		f.core.PollDone(f.core.PlanPoll(info.ID, f.now).Request, PollReply{ClockMS: 1000}, OutcomeOK, f.now)
	}
	for i := range growthJobs {
		spec := longRunningJob(i, workers/growthJobs)
		spec.Steps[0].CPUMilli, spec.Steps[0].MaxPerWorker = 4000, 1
		f.core.AddJob(spec, nil, false, f.now)
	}
	f.core.Schedule(f.now)
	for _, o := range f.core.TakeOrders() {
		f.core.OrderDone(o, Answer{ClockMS: 1001}, f.now)
	}
	return f
}

// silenceDataCentre has all workers of a data centre leave polls unanswered while the others answer.
func (f *growthFleet) silenceDataCentre(centre string) {
	f.t.Helper()
	f.now.Steady += time.Second
	for _, info := range f.list {
		order := f.core.PlanPoll(info.ID, f.now).Request
		if info.DataCentre == centre {
			f.core.PollDone(order, PollReply{}, OutcomeUnknown, f.now)
			continue
		}
		w := f.core.workers[info.ID]
		reply := PollReply{ClockMS: 2000}
		for _, a := range w.attempts {
			reply.Running = append(reply.Running, RunningTask{Task: a.task.id(), Run: a.run, Percent: 100})
		}
		f.core.PollDone(order, reply, OutcomeOK, f.now)
	}
}

// TestTickWithLostDataCentreScansEachWorkerOnce guards against an owner that is late for as long as a
// data centre is lost, because it determines for each silent worker whether it reaches most workers:
// with 1,000 of 6,000 workers silent, a tick then scans workers six million times.
func TestTickWithLostDataCentreScansEachWorkerOnce(t *testing.T) {
	for _, workers := range fleetSizes() {
		f := newGrowthFleet(t, workers)
		f.silenceDataCentre("1")
		f.now.Steady += 100 * time.Millisecond
		before := f.core.checkCounts.reachChecks
		f.core.Tick(f.now)
		if scans := f.core.checkCounts.reachChecks - before; scans > uint64(workers) {
			t.Errorf("%d workers: %d scans in a tick", workers, scans)
		}
	}
}

// TestStoredWriteScansOnlyWorkersWithEnds guards against a cost of each stored write of progress that
// grows with all workers instead of those whose ends wait for it.
func TestStoredWriteScansOnlyWorkersWithEnds(t *testing.T) {
	for _, workers := range fleetSizes() {
		f := newGrowthFleet(t, workers)
		records, err := f.core.Records(25)
		if err != nil {
			t.Fatal(err)
		}
		w := f.core.sortedWorkers[workers/2]
		a := w.attempts[0]
		f.core.processEnds(w, []EndedTask{{Number: 1, Task: a.task.id(), Run: a.run, Kind: EndFailed}}, f.now)
		before := f.core.checkCounts.endChecks
		f.core.Persisted(records)
		if scans := f.core.checkCounts.endChecks - before; scans > 1 {
			t.Errorf("%d workers: %d scans for one with an end", workers, scans)
		}
	}
}

// TestWorkerChangeWritesOneRosterPart guards against writes that grow with the number of workers when
// one of them starts to drain or joins. In one value, a list of more than some 10,000 workers exceeds
// the store's limit, so that nothing starts; a shorter one costs megabytes for each change.
func TestWorkerChangeWritesOneRosterPart(t *testing.T) {
	const most = 10_000 // bytes
	for _, workers := range fleetSizes() {
		f := newGrowthFleet(t, workers)
		f.list[workers/2].Draining = true
		f.core.SetWorkers(f.list, f.now)
		f.core.Tick(f.now)
		if n := rosterBytes(storeRoster(t, f.core)); n == 0 || n > most {
			t.Errorf("%d workers: %d bytes for one that drains", workers, n)
		}
		f.list = append(f.list, WorkerInfo{ID: "x", VM: "x", Address: "x", Service: "svc", CPUMilli: 4000, MemoryMiB: 8000})
		f.core.SetWorkers(f.list, f.now)
		if n := rosterBytes(storeRoster(t, f.core)); n == 0 || n > most {
			t.Errorf("%d workers: %d bytes for one that joins", workers, n)
		}
	}
}

func rosterBytes(parts []RosterPart) int {
	n := 0
	for _, p := range parts {
		n += len(p.Value)
	}
	return n
}

// TestSlowWorkersAreCountedOnce guards against counting the slow workers again for each list of a
// slow one.
func TestSlowWorkersAreCountedOnce(t *testing.T) {
	for _, workers := range fleetSizes() {
		f := newGrowthFleet(t, workers)
		before := f.core.checkCounts.slowChecks
		for _, w := range f.core.sortedWorkers[:workers/2] {
			f.core.pauseSlowWorker(w, f.now)
		}
		if scans := f.core.checkCounts.slowChecks - before; scans > uint64(workers) {
			t.Errorf("%d workers: %d scans for the lists of half of them", workers, scans)
		}
	}
}
