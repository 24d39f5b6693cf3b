package main

import (
	"fmt"
	"time"
)

// The case: a gang whose tasks spread over as many workers, on a queue whose placement policy
// must be asked, and which allows each worker. There is more than twice the capacity.
const (
	gangWorkers   = 66
	largeGang     = 32
	smallGang     = 8
	gangJob       = "00000000c0000001"
	gangWork      = 2 * time.Second
	gangWait      = 40 * time.Second
	gangCPU       = 1800
	gangWorkerCPU = 16000
	gangEstimates = 2000
)

func gangCase(env *environment) (int, error) {
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	policy, err := startAdvisor(env.record)
	if err != nil {
		return failed, err
	}
	size := smallGang
	if env.trouble {
		size = largeGang
	}
	shape := func(string) taskShape {
		return taskShape{cpu: gangCPU, memMB: 500, work: gangWork, ticket: true, gang: size}
	}
	shared := newGangs()
	var workers []*worker
	for n := range gangWorkers {
		w, err := startWorker(s, env.record, n+1, "render", gangWorkerCPU, 64000, shape)
		if err != nil {
			return failed, err
		}
		w.validTicket, w.gangs = policy.valid, shared
		workers = append(workers, w)
	}
	configure(s, 3, "render", queue{
		name: "q-advice", host: "jobs.example", prefix: "/q/", service: "render", priority: 2, attempts: 4, stretch: 2.0, targetMS: 1000,
		advice: map[string]any{"decision_ms": decisionTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "validity_ms": validity.Milliseconds()},
	})
	entries, err := startEntries(env, 2, s.address, policy.address)
	if err != nil {
		return failed, err
	}
	body := fmt.Sprintf(`{"spec":"gang","steps":[{"count":%d,"cpu":%d,"mem_mb":500,"estimated_ms":%d,"gang":true,"anti_affinity":1}]}`, size, gangCPU, gangEstimates)
	status, _ := call("POST", entries[0].front, "jobs.example", "/q/"+gangJob, body)
	env.record.add("%s, a gang of %d, is sent: %d", gangJob, size, status)
	if status/100 != 2 {
		return failed, fmt.Errorf("the gang was answered with %d", status)
	}
	state := ""
	for sent := time.Now(); time.Since(sent) < gangWait; time.Sleep(500 * time.Millisecond) {
		status, state = call("GET", entries[1].front, "jobs.example", "/q/"+gangJob, "")
		if state == `{"state":"succeeded"}` {
			env.record.add("it has succeeded after %.1f s", time.Since(sent).Seconds())
			return held, nil
		}
	}
	used := 0
	for _, w := range workers {
		used += w.used()
	}
	policy.mu.Lock()
	env.record.add("after %v: %d %s; %d calls of the policy; the workers use %d of %d millicores, the gang needs %d",
		gangWait, status, state, policy.calls, used, gangWorkers*gangWorkerCPU, size*gangCPU)
	policy.mu.Unlock()
	return broken, nil
}
