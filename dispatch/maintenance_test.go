package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maintenanceSim simulates a platform of VMs, and an owner with its store.
type maintenanceSim struct {
	t      *rapid.T
	wave   Wave
	core   *Core
	term   uint64
	now    Instant
	record []byte // of the wave, as the store has it
	status bool   // the wave has succeeded, as the operators see it
	vms    map[string]*simVM
	calls  []MaintenanceOrder // sent and not answered yet
}

type simVM struct {
	incarnation int
	down        bool // for its maintenance
	started     bool
	upAt        time.Duration
	// listedUntil is when the entry of the incarnation that was taken down expires.
	listedUntil time.Duration
}

const simHolderGap = time.Second // between orders of two owners

func (u *maintenanceSim) takeOver() {
	u.term++
	u.core = New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: 3 * time.Second, OwnerHorizon: 12 * time.Second, HolderGap: simHolderGap}, u.term, nil)
	u.calls = nil
	u.core.Renewed(u.now.Steady)
	u.list()
	if err := u.core.SetWave(u.wave, u.record, u.now); err != nil {
		u.t.Fatal(err)
	}
}

// list updates the core's workers and has it read their empty lists.
func (u *maintenanceSim) list() {
	var infos []WorkerInfo
	for name, vm := range u.vms {
		if !vm.down || u.now.Steady < vm.listedUntil {
			infos = append(infos, WorkerInfo{ID: WorkerID(fmt.Sprintf("i-%s-%d", name, vm.incarnation)), VM: name, Address: name, Service: "svc", CPUMilli: 1000, MemoryMiB: 1000})
		}
	}
	u.core.SetWorkers(infos, u.now)
	for _, info := range infos {
		switch {
		case u.core.workers[info.ID] == nil:
		case u.vms[info.VM].down:
			u.core.PollDone(PollRequest{Worker: info.ID}, PollReply{}, OutcomeUnknown, u.now)
		default:
			u.core.PollDone(PollRequest{Worker: info.ID}, PollReply{ClockMS: u.now.Steady.Milliseconds() + 1}, OutcomeOK, u.now)
		}
	}
}

func (u *maintenanceSim) advance(d time.Duration) {
	u.now.Steady += d
	for _, vm := range u.vms {
		if vm.down && u.now.Steady >= vm.upAt {
			vm.down = false
			vm.incarnation++
		}
	}
	u.core.Renewed(u.now.Steady)
	u.list()
	u.core.Tick(u.now)
	u.calls = append(u.calls, u.core.TakeMaintenanceOrders()...)
}

func (u *maintenanceSim) persist() {
	r, err := u.core.DirtyWave()
	if err != nil {
		u.t.Fatal(err)
	}
	if r == nil {
		return
	}
	u.record = r.Value
	if r.Succeeded && !u.status {
		u.status = true
		for name, vm := range u.vms {
			if !vm.started {
				u.t.Fatalf("the wave is recorded as succeeded, %s had no maintenance", name)
			}
		}
	}
	u.core.WavePersisted(r)
}

// carryOut has the platform take a VM down, unless it has done so before.
func (u *maintenanceSim) carryOut(o MaintenanceOrder) {
	vm := u.vms[o.VM]
	if vm.started {
		return
	}
	down := 0
	for _, other := range u.vms {
		if other.down {
			down++
		}
	}
	if down >= u.wave.AtOnce {
		u.t.Fatalf("%s is taken down while %d others are", o.VM, down)
	}
	vm.started, vm.down = true, true
	vm.upAt = u.now.Steady + 5*time.Second
	vm.listedUntil = u.now.Steady + time.Duration(rapid.IntRange(0, 4).Draw(u.t, "seconds listed"))*time.Second
}

func (u *maintenanceSim) answer(carried, answered bool) {
	if len(u.calls) == 0 {
		return
	}
	o := u.calls[0]
	u.calls = u.calls[1:]
	outcome := MaintenanceUnknown
	if carried {
		u.carryOut(o)
		outcome = MaintenanceStarted
	}
	if !answered {
		outcome = MaintenanceUnknown
	}
	u.core.MaintenanceDone(o, outcome, u.now)
}

// TestWavesKeepTheirBoundsAcrossTakeovers: whichever orders and answers are lost and whenever owners
// change, at most AtOnce VMs are down for the wave, it succeeds only once all have had their
// maintenance, and it ends.
func TestWavesKeepTheirBoundsAcrossTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &maintenanceSim{t: t, vms: map[string]*simVM{}, now: Instant{Steady: time.Second}}
		u.wave = Wave{Number: 1, Allowed: 20 * time.Second, AtOnce: rapid.IntRange(1, 3).Draw(t, "at once")}
		for i := range rapid.IntRange(1, 6).Draw(t, "VMs") {
			name := fmt.Sprintf("m%d", i)
			u.vms[name] = &simVM{}
			u.wave.VMs = append(u.wave.VMs, name)
		}
		u.takeOver()
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				u.advance(time.Duration(rapid.IntRange(50, 400).Draw(t, "ms")) * time.Millisecond)
			case 4, 5:
				u.persist()
			case 6, 7:
				u.answer(true, true)
			case 8:
				u.answer(rapid.Bool().Draw(t, "carried out"), false)
			case 9:
				if rapid.Bool().Draw(t, "takeover") {
					u.takeOver()
				}
			}
		}
		for range 1200 {
			u.advance(200 * time.Millisecond)
			u.persist()
			u.answer(true, true)
		}
		if !u.status {
			t.Fatalf("the wave has not ended: %s", u.record)
		}
	})
}

// An owner gives no order for a VM before the previous owner has certainly stopped giving any.
func TestMaintenanceWaitsForPreviousOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &maintenanceSim{t: t, vms: map[string]*simVM{"m0": {}}, now: Instant{Steady: time.Minute}}
		u.wave = Wave{Number: 1, VMs: []string{"m0"}, AtOnce: 1}
		u.takeOver()
		takenOverAt := u.now.Steady
		for u.now.Steady < takenOverAt+simHolderGap {
			if len(u.calls) > 0 {
				t.Fatalf("an order %v after the takeover", u.now.Steady-takenOverAt)
			}
			u.advance(100 * time.Millisecond)
			u.persist()
		}
		u.advance(200 * time.Millisecond)
		u.persist()
		u.advance(200 * time.Millisecond)
		if len(u.calls) != 1 {
			t.Fatalf("%d orders", len(u.calls))
		}
		u.now.Steady += 4 * time.Second // not renewed: another owner may be there
		u.core.MaintenanceDone(u.calls[0], MaintenanceBusy, u.now)
		u.now.Steady += 2 * maintenanceRetry
		u.core.Tick(u.now)
		if n := len(u.core.TakeMaintenanceOrders()); n != 0 {
			t.Fatalf("%d orders while the lease is not held for certain", n)
		}
	})
}

// Long-running tasks leave a VM in turn, at most MaxUnavailable of a step at a time, and the VM is
// taken down only when it is empty.
func TestMaintenanceMovesLongRunningTasksInTurn(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := leasedCore(Params{}, 1, now)
	var infos []WorkerInfo
	for i := range 2 {
		infos = append(infos, WorkerInfo{ID: WorkerID(fmt.Sprintf("w%d", i)), VM: fmt.Sprintf("m%d", i), Address: "a", Service: "svc", CPUMilli: 16000, MemoryMiB: 64000})
	}
	core.SetWorkers(infos[:1], now) // all tasks start on the first
	storeOpen(core, "w0")
	core.PollDone(PollRequest{Worker: "w0"}, PollReply{ClockMS: 1}, OutcomeOK, now)
	spec := longRunningJob(1, 3)
	spec.Steps[0].MaxUnavailable = 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	rows := map[WorkerID][]RunningTask{}
	for _, o := range core.TakeOrders() {
		core.OrderDone(o, Answer{ClockMS: 2}, now)
		rows[o.Worker] = append(rows[o.Worker], RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace})
	}
	core.SetWorkers(infos, now)
	storeOpen(core, "w0", "w1")
	core.PollDone(PollRequest{Worker: "w1"}, PollReply{ClockMS: 1}, OutcomeOK, now)
	if err := core.SetWave(Wave{Number: 1, VMs: []string{"m0"}, Allowed: 10 * time.Second, AtOnce: 1}, nil, now); err != nil {
		t.Fatal(err)
	}
	stops, number := 0, uint64(0)
	for range 40 {
		now.Steady += 100 * time.Millisecond
		clock := now.Steady.Milliseconds()
		for _, id := range []WorkerID{"w0", "w1"} {
			core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: clock, Running: rows[id]}, OutcomeOK, now)
		}
		core.Tick(now)
		if len(core.TakeMaintenanceOrders()) > 0 {
			if len(rows["w0"]) > 0 {
				t.Fatalf("taken down with %d tasks", len(rows["w0"]))
			}
			if stops != 3 {
				t.Fatalf("%d stops", stops)
			}
			return
		}
		if r, err := core.DirtyWave(); err == nil && r != nil {
			core.WavePersisted(r)
		}
		stopped := 0
		for _, o := range core.TakeOrders() {
			core.OrderDone(o, Answer{ClockMS: clock}, now)
			switch o.Kind {
			case OrderStop:
				stopped++
				number++
				rows["w0"] = rows["w0"][1:]
				core.PollDone(PollRequest{Worker: "w0"}, PollReply{ClockMS: clock + 1, Running: rows["w0"], Ended: []EndedTask{{Number: number, Task: o.Task, Run: o.Run, Kind: EndStopped}}}, OutcomeOK, now)
			case OrderStart:
				if o.Worker != "w1" {
					t.Fatalf("a start at the cordoned worker")
				}
				rows["w1"] = append(rows["w1"], RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace})
			}
		}
		if stops += stopped; stopped > 1 {
			t.Fatalf("%d tasks of the step are stopped at once", stopped)
		}
	}
	t.Fatal("the VM is not taken down")
}

// A VM that two waves name is taken down for one after the other, and the worker that the first
// wave brought does not count as its return from the second.
func TestOverlappingWavesTakeTurnsAtAVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &maintenanceSim{t: t, vms: map[string]*simVM{"m0": {}, "m1": {}}, now: Instant{Steady: time.Minute}}
		u.wave = Wave{Number: 1, VMs: []string{"m0", "m1"}, AtOnce: 1}
		u.takeOver()
		second := Wave{Number: 2, VMs: []string{"m0", "m1"}, AtOnce: 1}
		if err := u.core.SetWave(second, nil, u.now); err != nil {
			t.Fatal(err)
		}
		taken := map[string]time.Duration{}
		for len(taken) < 4 && u.now.Steady < 3*time.Minute {
			u.advance(time.Duration(rapid.IntRange(50, 400).Draw(t, "ms")) * time.Millisecond)
			for r, _ := u.core.DirtyWave(); r != nil; r, _ = u.core.DirtyWave() {
				u.core.WavePersisted(r)
			}
			for _, o := range u.calls {
				vm := u.vms[o.VM]
				if vm.down {
					t.Fatalf("wave %d asks for %s, which is down", o.Wave, o.VM)
				}
				vm.down, vm.upAt = true, u.now.Steady+2*time.Second
				taken[fmt.Sprint(o.Wave, o.VM)] = u.now.Steady
				u.core.MaintenanceDone(o, MaintenanceStarted, u.now)
			}
			u.calls = nil
		}
		if len(taken) != 4 {
			t.Fatalf("taken down: %v", taken)
		}
	})
}

// TestFencedMaintenanceEndsTheTerm: an owner that learns of a higher term decides nothing more.
func TestFencedMaintenanceEndsTheTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &maintenanceSim{t: t, vms: map[string]*simVM{"m0": {}}, now: Instant{Steady: time.Minute}}
		u.wave = Wave{Number: 1, VMs: []string{"m0"}, AtOnce: 1}
		u.takeOver()
		for range 100 {
			u.advance(100 * time.Millisecond)
			u.persist()
		}
		if len(u.calls) == 0 {
			t.Fatal("no order")
		}
		u.core.MaintenanceDone(u.calls[0], MaintenanceFenced, u.now)
		if !u.core.Deposed() {
			t.Error("the owner is not deposed")
		}
	})
}
