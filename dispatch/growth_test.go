package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// fleetSizes returns the numbers of workers at which work is counted.
func fleetSizes() []int {
	if testing.Short() {
		return []int{500, 5000}
	}
	return []int{500, 5000, 50_000}
}

// Shape of the fleets whose work is counted.
const (
	growthCentres = 6
	growthRack    = 20
	growthJobs    = 5
)

// growthFleet is a core whose workers have one task each that lasts.
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
		f.core.HoldDone(f.core.PlanHold(info.ID, f.now).Order, HoldReply{ClockMS: 1000}, OutcomeOK, f.now)
	}
	for i := range growthJobs {
		spec := lastingJob(i, workers/growthJobs)
		spec.Steps[0].CPUMilli, spec.Steps[0].MaxPerWorker = 4000, 1
		f.core.AddJob(spec, nil, false, f.now)
	}
	f.core.Schedule(f.now)
	for _, o := range f.core.TakeOrders() {
		f.core.OrderDone(o, Answer{ClockMS: 1001}, f.now)
	}
	return f
}

// TestAChangeOfOneWorkerWritesOnePart: what the store is told when a worker begins to drain,
// or joins, does not grow with the number of workers.
//
// Users would see no starts at all beyond some 10,000 workers, whose list in one value is
// larger than the store takes; below that, megabytes for each change of one worker.
func TestAChangeOfOneWorkerWritesOnePart(t *testing.T) {
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
