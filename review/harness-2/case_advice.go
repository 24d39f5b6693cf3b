package main

import (
	"fmt"
	"sync"
	"time"
)

// The load of the case: jobs of one short task each, on a queue whose placement policy must
// be asked, at three quarters of the rate at which the policy decides; the burst multiplies
// it for some seconds.
const (
	adviceWorkers = 30
	adviceEntries = 2
	jobsPerSecond = 7.5
	burstFactor   = 2.6
	burstStart    = 8 * time.Second
	burstLength   = 4 * time.Second
	trafficLength = 20 * time.Second
	// finishTime is when jobs must have ended after the end of the traffic (finish_s).
	finishTime = 14 * time.Second
	// idleBound is how long a job may have nothing running beside free capacity.
	idleBound = 3 * time.Second
	jobWork   = 2200 * time.Millisecond
	jobCPU    = 1000
	workerCPU = 16000
)

type submitted struct {
	id         string
	acceptedAt time.Time
}

func adviceCase(env *environment) (int, error) {
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	policy, err := startAdvisor(env.record)
	if err != nil {
		return failed, err
	}
	shape := func(string) taskShape { return taskShape{cpu: jobCPU, memMB: 500, work: jobWork, ticket: true} }
	var workers []*worker
	for n := range adviceWorkers {
		w, err := startWorker(s, env.record, n+1, "render", workerCPU, 64000, shape)
		if err != nil {
			return failed, err
		}
		w.validTicket = policy.valid
		workers = append(workers, w)
	}
	configure(s, 3, "render", queue{
		name: "q-advice", host: "jobs.example", prefix: "/q/", service: "render", priority: 2, attempts: 4, stretch: 2.0, targetMS: 1000,
		advice: map[string]any{"decision_ms": decisionTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "validity_ms": validity.Milliseconds()},
	})
	entries, err := startEntries(env, adviceEntries, s.address, policy.address)
	if err != nil {
		return failed, err
	}
	accepted := submitJobs(env, entries)
	env.record.add("the traffic has ended: %d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	return judgeAdvice(env, entries, workers, policy, accepted), nil
}

// submitJobs sends the traffic, evenly spaced, and returns the accepted jobs.
func submitJobs(env *environment, entries []*entry) []submitted {
	var mu sync.Mutex
	var accepted []submitted
	var calls sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < trafficLength; n++ {
		rate := jobsPerSecond
		if at := time.Since(began); env.trouble && at >= burstStart && at < burstStart+burstLength {
			rate *= burstFactor
		}
		calls.Go(func() {
			id := fmt.Sprintf("%016x", 0xa0000000+n)
			body := fmt.Sprintf(`{"spec":"job %d","steps":[{"count":1,"cpu":%d,"mem_mb":500,"estimated_ms":%d}]}`, n, jobCPU, jobWork.Milliseconds())
			status, _ := call("POST", entries[n%len(entries)].front, "jobs.example", "/q/"+id, body)
			env.record.add("%s is sent to %s: %d", id, entries[n%len(entries)].name, status)
			if status/100 != 2 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, submitted{id, time.Now()})
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	calls.Wait()
	return accepted
}

// judgeAdvice looks for accepted jobs that have had nothing running since they were accepted,
// though the workers are idle.
func judgeAdvice(env *environment, entries []*entry, workers []*worker, policy *advisor, accepted []submitted) int {
	used, size := 0, 0
	for _, w := range workers {
		used += w.used()
		size += w.cpu
	}
	waiting, done := 0, 0
	longest := time.Duration(0)
	env.record.mu.Lock()
	for _, j := range accepted {
		t := env.record.tasks[j.id+".0.0.0"]
		switch {
		case t == nil:
			waiting++
			longest = max(longest, time.Since(j.acceptedAt))
			env.record.write("%s was accepted %.1f s ago and has never been started", j.id, time.Since(j.acceptedAt).Seconds())
		case !t.doneAt.IsZero():
			done++
		}
	}
	env.record.mu.Unlock()
	for _, j := range accepted {
		if env.record.tasks[j.id+".0.0.0"] == nil {
			status, body := call("GET", entries[0].front, "jobs.example", "/q/"+j.id, "")
			env.record.add("GET of %s: %d %s", j.id, status, body)
			break
		}
	}
	policy.mu.Lock()
	env.record.add("the policy has decided %d calls in %.1f s of its time", policy.calls, policy.busy.Seconds())
	policy.mu.Unlock()
	env.record.add("%d jobs accepted, %d done, %d never started, the longest for %.1f s; the workers use %d of %d millicores",
		len(accepted), done, waiting, longest.Seconds(), used, size)
	if waiting > 0 && longest > idleBound && 2*used < size {
		return broken
	}
	return held
}
