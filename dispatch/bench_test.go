package dispatch

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"leverstile.dev/job"
)

// benchCore returns a core whose workers all run long-running serving tasks.
func benchCore(b *testing.B, workers int) *Core {
	b.Helper()
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, JobKept: time.Hour}, 1, nil)
	core.Renewed(0)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, MaxAttempts: 3}}})
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: WorkerID(fmt.Sprintf("w%05d", i)), Address: fmt.Sprint(i), Service: "svc", CPUMilli: 16000, MemoryMiB: 64000})
	}
	now := Instant{Steady: time.Second}
	core.SetWorkers(list, now)
	storeRoster(b, core)
	for i, info := range list {
		core.PollDone(PollRequest{Worker: info.ID}, PollReply{ClockMS: 1000}, OutcomeOK, now)
		spec := longRunningJob(i, 4)
		spec.Steps[0].CPUMilli, spec.Steps[0].MemoryMiB = 3200, 6400
		spec.Steps[0].Image, spec.Steps[0].TargetMS = fmt.Sprintf("serve%d", i%5), 50
		core.AddJob(spec, nil, false, now)
	}
	core.Schedule(now)
	core.TakeOrders()
	return core
}

// BenchmarkStart measures a fill task from submission to its recorded end: 1.5, 3.2 and 11 microseconds
// as the number of workers grows. It takes 3.9, 20 and 92 if each task scans all workers and each pass
// rates their fill acceptance.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{66, 490, 2000, 5000, 50_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			core := benchCore(b, workers)
			now := Instant{Steady: 2 * time.Second}
			number := map[WorkerID]uint64{}
			const tasks = 8
			b.ResetTimer()
			for n := 0; n < b.N; n += tasks {
				now.Steady += 10 * time.Millisecond
				core.Renewed(now.Steady)
				spec := simpleJob(1_000_000+n, tasks)
				spec.Steps[0].Fills, spec.Steps[0].Image = true, fmt.Sprintf("fill%d", n/tasks%9)
				core.AddJob(spec, nil, false, now)
				core.Schedule(now)
				for _, o := range core.TakeOrders() {
					if o.Kind != OrderStart {
						continue
					}
					core.OrderDone(o, Answer{ClockMS: 1000 + int64(n)}, now)
					number[o.Worker]++
					ended := []EndedTask{{Number: number[o.Worker], Task: o.Task, Run: o.Run, Kind: EndDone}}
					w := core.workers[o.Worker]
					core.processEnds(w, ended, now)
					w.rebuildLoad()
				}
				records, err := core.Records(27)
				if err != nil {
					b.Fatal(err)
				}
				core.Persisted(records)
			}
		})
	}
}

// waitingCore returns a core with waiting steps, each with a request of its own that is larger than
// any worker. Half of the steps are fill steps.
func waitingCore(b *testing.B, workers, steps int) (*Core, Instant) {
	b.Helper()
	core := benchCore(b, workers)
	now := Instant{Steady: 2 * time.Second}
	for i := range steps {
		spec := simpleJob(2_000_000+i, 8)
		spec.Steps[0].CPUMilli = int64(16_100 + i)
		if i%2 == 0 {
			spec.Steps[0].Fills, spec.Steps[0].Image = true, fmt.Sprintf("fill%d", i%9)
		}
		core.AddJob(spec, nil, false, now)
	}
	core.Renewed(now.Steady)
	core.Schedule(now)
	core.TakeOrders()
	return core, now
}

// BenchmarkPass measures a scheduling pass 8 ms after the previous one, with steps that wait for
// capacity, while eight workers have sent their lists in between. At 490 workers with 20, 100 and 400
// steps it takes 0.011, 0.035 and 0.13 ms; a scan of all workers for each step takes 0.18, 0.65 and
// 2.5 ms.
func BenchmarkPass(b *testing.B) {
	for _, steps := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("workers=490/steps=%d", steps), func(b *testing.B) {
			core, now := waitingCore(b, 490, steps)
			ids := core.Workers()
			n := 0
			for b.Loop() {
				now.Steady += 8 * time.Millisecond
				core.Renewed(now.Steady)
				for range 8 {
					core.refusals.recordChange(core.workers[ids[n%len(ids)]], true)
					n++
				}
				core.Schedule(now)
			}
			if len(core.TakeOrders()) > 0 {
				b.Fatal("a step that can't start was started")
			}
		})
	}
}

// policyBenchCore returns a core with 2,000 workers, all of which run long-running tasks, and steps
// that wait for the placement policy.
func policyBenchCore(b *testing.B, steps int, shape func(s *job.Step)) (*Core, Instant) {
	b.Helper()
	core := benchCore(b, 2000)
	now := Instant{Steady: 2 * time.Second}
	core.Renewed(now.Steady)
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, MaxAttempts: 3, Advice: &policyTerms}}})
	for i := range steps {
		spec := simpleJob(2_000_000+i, 8)
		shape(&spec.Steps[0])
		core.AddJob(spec, nil, false, now)
	}
	core.Schedule(now)
	return core, now
}

// BenchmarkPassWithPolicy measures a scheduling pass at 2,000 workers with steps that wait for the
// placement policy, and the answer to a call with the choice of the next one: steps of eight tasks,
// steps larger than any worker, and gangs of 250 spread over as many workers.
func BenchmarkPassWithPolicy(b *testing.B) {
	shapes := map[string]func(s *job.Step){
		"small": func(*job.Step) {}, "unfit": func(s *job.Step) { s.CPUMilli = 20_000 },
		"gang": func(s *job.Step) { s.Count, s.Gang, s.MaxPerWorker = 250, true, 1 },
	}
	for _, x := range []struct {
		shape string
		steps int
	}{{"small", 20}, {"small", 100}, {"small", 400}, {"unfit", 400}, {"gang", 20}} {
		b.Run(fmt.Sprintf("pass/%s/steps=%d", x.shape, x.steps), func(b *testing.B) {
			core, now := policyBenchCore(b, x.steps, shapes[x.shape])
			for b.Loop() {
				now.Steady += 8 * time.Millisecond
				core.Renewed(now.Steady)
				core.Schedule(now)
			}
		})
		b.Run(fmt.Sprintf("answer/%s/steps=%d", x.shape, x.steps), func(b *testing.B) {
			core, now := policyBenchCore(b, x.steps, shapes[x.shape])
			for b.Loop() {
				now.Steady += 100 * time.Millisecond
				core.Renewed(now.Steady)
				requests := core.TakeAdviceRequests()
				if len(requests) == 0 { // all workers of all steps are refused
					for _, s := range core.openSteps {
						s.advice = newStepAdvice()
					}
					core.callPolicy(now)
					continue
				}
				core.AdviceDone(requests[0], Advice{}, true, now)
			}
		})
	}
}

// BenchmarkListMixed measures a list of serving and fill tasks whose readings change, so that the
// model is updated and paces are distributed again.
func BenchmarkListMixed(b *testing.B) {
	core := benchCore(b, 490)
	now := Instant{Steady: 2 * time.Second}
	core.Renewed(now.Steady)
	for i := range 200 {
		spec := simpleJob(3_000_000+i, 8)
		spec.Steps[0].Fills, spec.Steps[0].Image, spec.Steps[0].CPUMilli = true, fmt.Sprintf("fill%d", i%9), 1800
		core.AddJob(spec, nil, false, now)
	}
	core.Schedule(now)
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStart {
			core.OrderDone(o, Answer{ClockMS: 1500}, now)
		}
	}
	ids := core.Workers()
	replies := make([]PollReply, len(ids))
	rows := 0
	for i, id := range ids {
		for _, a := range core.workers[id].attempts {
			replies[i].Running = append(replies[i].Running, RunningTask{Task: a.task.id(), Run: a.run, Percent: 50, HasReading: true})
			rows++
		}
	}
	i := 0
	for b.Loop() {
		now.Steady += time.Millisecond
		reply := &replies[i%len(ids)]
		for j := range reply.Running {
			reply.Running[j].Reading = 15 + int64((i*7+j*3)%13)
		}
		reply.ClockMS = 2000 + int64(i)
		core.PollDone(PollRequest{Worker: ids[i%len(ids)]}, *reply, OutcomeOK, now)
		core.TakeOrders()
		i++
	}
	b.ReportMetric(float64(rows)/float64(len(ids)), "tasks")
}

// BenchmarkList measures a worker's list of its running tasks, with readings.
func BenchmarkList(b *testing.B) {
	core := benchCore(b, 66)
	now := Instant{Steady: 2 * time.Second}
	w := core.workers["w00000"]
	reply := PollReply{ClockMS: 2000}
	for _, a := range w.attempts {
		reply.Running = append(reply.Running, RunningTask{Task: a.task.id(), Run: a.run, Percent: 100, Reading: 20, HasReading: true})
	}
	b.ReportMetric(float64(len(reply.Running)), "tasks")
	for b.Loop() {
		now.Steady += 10 * time.Millisecond
		reply.ClockMS += 10
		core.PollDone(PollRequest{Worker: w.info.ID}, reply, OutcomeOK, now)
	}
}

// BenchmarkPassAfterCrashWave measures a pass over 600 suspect tasks of 300 steps, as a wave of
// crashes leaves them at 490 workers: 13.0 ms if the workers are scanned for each suspect, 5.9 ms if
// the result that they share is kept for the pass.
func BenchmarkPassAfterCrashWave(b *testing.B) {
	const steps, workers = 300, 490
	for b.Loop() {
		b.StopTimer()
		now := Instant{Steady: time.Second}
		core := leasedCore(Params{}, 1, now)
		var list []WorkerInfo
		for i := range workers {
			list = append(list, testWorkerInfo(fmt.Sprintf("w%03d", i), fmt.Sprintf("m%03d", i)))
		}
		core.SetWorkers(list, now)
		storeRoster(b, core)
		for _, info := range list {
			poll(core, info.ID, now.Steady, now.Steady+time.Millisecond)
		}
		for i := range steps {
			spec := simpleJob(i+1, 2)
			core.AddJob(spec, nil, false, now)
			for _, t := range core.jobs[spec.ID].steps[0].tasks {
				core.setCrashes(t, 1)
			}
			core.jobs[spec.ID].persisted = core.jobs[spec.ID].version
		}
		b.StartTimer()
		core.Schedule(now)
	}
}

// BenchmarkConfigChange measures a configuration that changes one of 40 queues, and the record of
// the queues that is stored then, at 2,000 workers with as many jobs.
func BenchmarkConfigChange(b *testing.B) {
	core := benchCore(b, 2000)
	size := 0
	for version := int64(2); b.Loop(); version++ {
		config := &job.Config{Version: version, Queues: []job.Queue{core.queues["q"]}}
		for i := range 39 {
			config.Queues = append(config.Queues, job.Queue{Name: fmt.Sprintf("queue-%02d", i), Service: fmt.Sprintf("service-%02d", i%8), Stretch: 2, MaxAttempts: 3, TargetLatency: time.Second, Priority: 1 + int(version)%(i+2)/(i+1)})
		}
		core.SetConfig(config)
		value, err := core.QueueRecords()
		if err != nil {
			b.Fatal(err)
		}
		core.QueuesStored(value)
		size = len(value)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkRepeatedJobs measures a pass at 2,000 workers beside 1,000 jobs of 3,000 occurrences
// that are not due, and reports the memory of one such job.
func BenchmarkRepeatedJobs(b *testing.B) {
	const jobs = 1000
	core := benchCore(b, 2000)
	now := Instant{Steady: 2 * time.Second, UnixMS: 1_700_000_000_000}
	core.Renewed(now.Steady)
	before := heapInUse()
	for i := range jobs {
		spec := simpleJob(1_000_000+i, 6)
		spec.Occurrences, spec.FirstDueMS, spec.IntervalMS = 3000, now.UnixMS+3_600_000, 600_000
		core.AddJob(spec, nil, false, now)
	}
	perJob := float64(heapInUse()-before) / jobs
	for b.Loop() {
		now.Steady += 8 * time.Millisecond
		core.Renewed(now.Steady)
		core.Schedule(now)
	}
	b.ReportMetric(perJob, "bytes/job")
}

// BenchmarkEndedTerm measures what an owner tells its successor as its term ends: encoded, with each
// worker's leases, and the size of that.
func BenchmarkEndedTerm(b *testing.B) {
	for _, workers := range []int{66, 2000, 16_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			core := benchCore(b, workers)
			size := 0
			for b.Loop() {
				value, err := json.Marshal(core.EndedTerm(Instant{Steady: 2 * time.Second}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
