package main

import (
	"fmt"
	"strings"
	"time"
)

// The case: a standing job that fills and allows one of its tasks to be away, three tasks on each
// worker; then an urgent job, four of whose tasks lack only memory.
const (
	availWorkers  = 4
	standingJob   = "00000000b0000001"
	urgentJob     = "00000000b0000002"
	standingTasks = 12
	perWorker     = 3
	standingMemMB = 13000
	urgentTasks   = 16
	urgentMemMB   = 6400
	mayMiss       = 1
	standingWarm  = 8 * time.Second
	urgentWork    = 2 * time.Second
	afterUrgent   = 8 * time.Second
)

func availCase(env *environment) (int, error) {
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	shape := func(task string) taskShape {
		if strings.HasPrefix(task, standingJob) {
			return taskShape{cpu: 1000, memMB: standingMemMB, longRunning: true, fills: true, checkpoints: true}
		}
		return taskShape{cpu: 1000, memMB: urgentMemMB, work: urgentWork}
	}
	for n := range availWorkers {
		if _, err := startWorker(s, env.record, n+1, "render", 16000, 64000, shape); err != nil {
			return failed, err
		}
	}
	configure(s, 3, "render",
		queue{name: "q-urgent", host: "jobs.example", prefix: "/u/", service: "render", priority: 0, attempts: 3, stretch: 1.5, targetMS: 250},
		queue{name: "q-standing", host: "jobs.example", prefix: "/s/", service: "render", priority: 2, attempts: 3, stretch: 2.0, targetMS: 1000})
	entries, err := startEntries(env, 2, s.address, "127.0.0.1:9")
	if err != nil {
		return failed, err
	}
	standing := fmt.Sprintf(`{"spec":"standing","steps":[{"count":%d,"cpu":1000,"mem_mb":%d,"estimated_ms":500,"checkpointing":true,"long_running":true,"fills":true,"image":"feed","anti_affinity":%d,"may_miss":%d}]}`,
		standingTasks, standingMemMB, perWorker, mayMiss)
	status, _ := call("POST", entries[0].front, "jobs.example", "/s/"+standingJob, standing)
	env.record.add("%s, with may_miss %d, is sent: %d", standingJob, mayMiss, status)
	if status/100 != 2 {
		return failed, fmt.Errorf("the standing job was answered with %d", status)
	}
	time.Sleep(standingWarm)
	if n := atWork(env, standingJob); n != standingTasks {
		return failed, fmt.Errorf("%d of %d standing tasks run", n, standingTasks)
	}
	if env.trouble {
		urgent := fmt.Sprintf(`{"spec":"urgent","steps":[{"count":%d,"cpu":1000,"mem_mb":%d,"estimated_ms":%d}]}`, urgentTasks, urgentMemMB, urgentWork.Milliseconds())
		status, _ := call("POST", entries[1].front, "jobs.example", "/u/"+urgentJob, urgent)
		env.record.add("%s is sent: %d", urgentJob, status)
	}
	time.Sleep(afterUrgent)
	env.record.mu.Lock()
	defer env.record.mu.Unlock()
	if env.record.mostAway > mayMiss {
		env.record.write("%d tasks of %s were away at once by order, %d may be", env.record.mostAway, standingJob, mayMiss)
		return broken, nil
	}
	return held, nil
}

// atWork returns how many tasks of a job run.
func atWork(env *environment, id string) int {
	env.record.mu.Lock()
	defer env.record.mu.Unlock()
	n := 0
	for task, t := range env.record.tasks {
		if strings.HasPrefix(task, id) && t.running > 0 {
			n++
		}
	}
	return n
}
