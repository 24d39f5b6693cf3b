package soak

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"leverstile.dev/platform/wiretest"
)

// faultSeries starts a fault after each pause until end, in parallel with those that still
// last, and waits until all are over.
func faultSeries(rng *rand.Rand, end time.Time, minPause, maxPause time.Duration, fault func(seed uint64)) {
	var running sync.WaitGroup
	for time.Now().Before(end) {
		seed := rng.Uint64()
		running.Go(func() { fault(seed) })
		time.Sleep(between(rng, minPause, maxPause))
	}
	running.Wait()
}

func between(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}

// faults lets customers submit jobs while series of faults of entries, of their connections
// to the store, of workers and of the owner overlap.
func (w *world) faults() {
	var running sync.WaitGroup
	end := time.Now().Add(*soakFor)
	running.Go(func() { w.customers(w.rng(1), end) })
	running.Go(func() { faultSeries(w.rng(2), end, 300*time.Millisecond, 2*time.Second, w.entryFault) })
	running.Go(func() { faultSeries(w.rng(3), end, 50*time.Millisecond, 800*time.Millisecond, w.workerFault) })
	running.Go(func() {
		rng := w.rng(4)
		time.Sleep(between(rng, time.Second, 4*time.Second))
		faultSeries(rng, end, 2*time.Second, 7*time.Second, w.ownerFault)
	})
	running.Go(func() {
		odd := wiretest.OddEntries(oddDepth)
		faultSeries(w.rng(5), end, 100*time.Millisecond, time.Second, func(seed uint64) { w.oddEntry(seed, odd) })
	})
	running.Wait()
}

// oddDepth is how deep the entries of another writer are nested, oddEntryKeys how many it keeps.
const (
	oddDepth     = 20_000
	oddEntryKeys = 4
)

// oddEntry has another writer leave an odd entry among those of the workers, where others are
// replaced and removed.
func (w *world) oddEntry(seed uint64, odd []wiretest.OddEntry) {
	rng := rand.New(rand.NewPCG(seed, 0))
	key, e := fmt.Sprintf("servers/odd-%d", rng.IntN(oddEntryKeys)), odd[rng.IntN(len(odd))]
	if rng.IntN(4) == 0 {
		w.store.Delete(key)
		return
	}
	w.logFault(key, "entry: "+e.Name, 0)
	w.store.Put(key, e.Value)
}

// rng returns one of the seed's random streams. Which process or call a fault affects still
// depends on timing; the series themselves do not.
func (w *world) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, stream)) }

func (w *world) logFault(who, what string, length time.Duration) {
	_, _ = fmt.Fprintf(w.log, "{\"time\":%q,\"event\":\"soak_fault\",\"at\":%q,\"fault\":%q,\"length\":%q}\n",
		time.Now().UTC().Format(timeFormat), who, what, length)
}

// entryFault injects one fault of a process, of its connection to the store, or of the store.
func (w *world) entryFault(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := w.procs[rng.IntN(len(w.procs))]
	kind, length := rng.IntN(11), between(rng, 200*time.Millisecond, 3700*time.Millisecond)
	switch {
	case kind < 4:
		w.signalFault(p, kind, length)
	case kind < 9:
		w.pathFault(p, []mode{delaying, silent, requestsOnly, resetting, slow}[kind-4], length)
	case kind == 9:
		length /= 3 // it affects all entries
		f := []wiretest.Fault{wiretest.FaultBusy, wiretest.FaultLost, wiretest.FaultDrop}[rng.IntN(3)]
		w.logFault("store", fmt.Sprint("store fault ", f), length)
		w.store.SetFault(func(string, string) wiretest.Fault { return f })
		time.Sleep(length)
		w.store.SetFault(nil)
	default:
		w.logFault("store", "compaction", 0)
		w.store.Compact()
	}
}

// signalFault kills, ends, stops or slows a process that no other fault signals.
func (w *world) signalFault(p *process, kind int, length time.Duration) {
	if !p.signals.TryLock() {
		return
	}
	defer p.signals.Unlock()
	switch kind {
	case 0:
		w.logFault(p.name, "SIGKILL", length/2)
		p.end(syscall.SIGKILL)
		time.Sleep(length / 2)
		w.start(p)
	case 1:
		w.logFault(p.name, "SIGTERM", 0)
		p.end(syscall.SIGTERM)
		w.start(p)
	case 2:
		if length%2 == 0 { // the seed decides
			w.logFault(p.name, "suspended", length)
			w.suspend(p, length)
			return
		}
		w.logFault(p.name, "SIGSTOP", length)
		p.pause(length)
	default:
		w.logFault(p.name, "slow", length)
		for end := time.Now().Add(length); time.Now().Before(end); {
			p.pause(20*time.Millisecond + rand.N(maxProcessPause))
			time.Sleep(10*time.Millisecond + rand.N(90*time.Millisecond))
		}
	}
}

// maxProcessPause is the longest pause of a slowed process, below the time that counts as a freeze.
const maxProcessPause = 480 * time.Millisecond

// pause stops a process for a time.
func (p *process) pause(length time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// suspend stops a process as if its VM were suspended. The signal alone leaves the monotonic
// clock running: a process built with the tag suspendable subtracts the time in the file that
// suspend writes.
func (w *world) suspend(p *process, length time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.suspended += length
	text := binary.LittleEndian.AppendUint64(nil, uint64(p.suspended))
	if err := os.WriteFile(p.suspendedFile(), text, 0o600); err != nil {
		w.t.Error(err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// pathFault injects a fault of a process's connection to the store.
func (w *world) pathFault(p *process, m mode, length time.Duration) {
	if !p.path.TryLock() {
		return
	}
	defer p.path.Unlock()
	w.logFault(p.name, fmt.Sprint("store path ", m), length)
	p.proxy.setMode(m)
	time.Sleep(length)
	p.proxy.setMode(passing)
}

// ownerFault injects a fault of the owner, or kills all entries at once.
func (w *world) ownerFault(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	kind, length := rng.IntN(9), between(rng, 300*time.Millisecond, 3500*time.Millisecond)
	if kind < 2 {
		w.killAll(between(rng, 300*time.Millisecond, time.Second))
		return
	}
	p := w.owner()
	if p == nil {
		return
	}
	switch kind {
	case 2: // the restarted process can take over at once
		w.signalFault(p, 0, 0)
	case 3:
		w.signalFault(p, 1, 0)
	case 4, 5:
		w.signalFault(p, kind-2, length)
	case 6: // its lease in the store expires and it continues for a while
		w.pathFault(p, []mode{silent, requestsOnly, resetting}[rng.IntN(3)], 2*length)
	default: // it hands over while its connection to the store fails
		var ends sync.WaitGroup
		ends.Go(func() { w.signalFault(p, 1, 0) })
		w.pathFault(p, []mode{silent, requestsOnly, slow, resetting}[rng.IntN(4)], length)
		ends.Wait()
	}
}

// killAll kills all entries at once and starts them again after a pause.
func (w *world) killAll(pause time.Duration) {
	for _, p := range w.procs {
		p.signals.Lock()
		defer p.signals.Unlock()
	}
	w.logFault("all", "SIGKILL", pause)
	for _, p := range w.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range w.procs {
		<-p.done
	}
	time.Sleep(pause)
	var starts sync.WaitGroup
	for _, p := range w.procs {
		starts.Go(func() { w.start(p) })
	}
	starts.Wait()
}

// callFaultMixes are the mixes of faults of a worker that fails calls for some seconds: each
// call that is not served meets one fault of the mix.
var callFaultMixes = [][]wiretest.WorkerFault{
	{wiretest.WorkerUnavailable},
	{wiretest.WorkerBusy},
	{wiretest.WorkerUnavailable, wiretest.WorkerLost},
	{wiretest.WorkerUnavailable, wiretest.WorkerBusy, wiretest.WorkerDrop, wiretest.WorkerLost},
	{wiretest.WorkerFails, wiretest.WorkerFailsAfter},
	{wiretest.WorkerDrop, wiretest.WorkerLost},
	{wiretest.WorkerSilent, wiretest.WorkerNoAnswer},
	{wiretest.WorkerLate},
	{wiretest.WorkerLate, wiretest.WorkerUnavailable},
	{
		wiretest.WorkerUnavailable, wiretest.WorkerBusy, wiretest.WorkerFails, wiretest.WorkerFailsAfter, wiretest.WorkerDrop,
		wiretest.WorkerLost, wiretest.WorkerSilent, wiretest.WorkerNoAnswer, wiretest.WorkerLate,
	},
}

// drainEvery is the number of faults of workers for each one that drains and ends a worker.
const drainEvery = 10

// workerFault injects one fault of a worker or of the connections to it.
func (w *world) workerFault(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	i := rng.IntN(len(w.workers))
	worker, path, name := w.workers[i], w.workerProxies[i], w.workers[i].ID
	kind, length := rng.IntN(20), between(rng, 300*time.Millisecond, 5*time.Second)
	drains := rng.IntN(drainEvery) == 0
	if !w.workerLocks[i].TryLock() {
		return
	}
	defer w.workerLocks[i].Unlock()
	switch {
	case drains:
		w.logFault(name, "drains", length)
		worker.Drain(length)
		time.Sleep(length)
		worker.Crash(fmt.Sprintf("%s-%x", worker.ID, seed>>32), length/4)
	case kind < 6:
		m := []mode{delaying, silent, requestsOnly, resetting, losing, slow}[kind]
		w.logFault(name, fmt.Sprint("path ", m), length)
		path.setMode(m)
		time.Sleep(length)
		path.setMode(passing)
	case kind < 15:
		w.callFaults(rng, worker, length)
	case kind < 17:
		w.logFault(name, "crash", length/4)
		if kind == 16 {
			path.setMode(silent) // while it is down, connections are not refused either
		}
		worker.Crash(fmt.Sprintf("%s-%x", worker.ID, seed>>32), length/4)
		path.setMode(passing)
	case kind < 19:
		w.logFault(name, "smaller capacity", 2*length)
		worker.Resize(smallCPU, capacityNotice)
		time.Sleep(2 * length)
		worker.Resize(largeCPU, capacityNotice)
	default:
		w.logFault(name, "unlisted", length)
		worker.Unlist()
		time.Sleep(length)
		worker.List()
	}
}

// CPU capacities of workers that shrink and grow, in thousandths of a core, and the time that
// users give entries to learn of a change: the contact timeout of 3 s and a heartbeat of 1 s.
const (
	smallCPU, largeCPU = 2000, 9000
	capacityNotice     = 4 * time.Second
)

// callFaults makes a share of a worker's calls, or of the starts alone, fail.
func (w *world) callFaults(rng *rand.Rand, worker *wiretest.Worker, length time.Duration) {
	kinds := callFaultMixes[rng.IntN(len(callFaultMixes))]
	share, startsOnly := min(0.2+rng.Float64(), 1), rng.IntN(2) == 0
	w.logFault(worker.ID, fmt.Sprintf("call faults %v share %.2f starts only %v", kinds, share, startsOnly), length)
	worker.SetFault(func(path string) wiretest.WorkerFault { // called under the worker's lock
		if startsOnly && path != "/run-start" || rng.Float64() >= share {
			return wiretest.WorkerNoFault
		}
		return kinds[rng.IntN(len(kinds))]
	})
	time.Sleep(length)
	worker.SetFault(nil)
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.faultsEnded = time.Now()
	w.faultsOver.Store(true)
	w.store.SetFault(nil)
	for _, p := range w.procs {
		p.proxy.setMode(passing)
	}
	for i, worker := range w.workers {
		w.workerProxies[i].setMode(passing)
		worker.SetFault(nil)
	}
}
