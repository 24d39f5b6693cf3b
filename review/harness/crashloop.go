package main

import (
	"fmt"
	"time"
)

// Sizes and times of the case. The broken jobs have the size of cabinet-watch in the users'
// site file, its greatest width and its priority; the short ones have the priority of
// route-pricing. Of the lasting jobs, one in twenty is broken.
const (
	loopWorkers = 24
	soundJobs   = 38
	soundTasks  = 2
	loopJobs    = 2
	loopTasks   = 12
	// loopWork is how long a task of the broken service works until it fails, soundWork the
	// same without the trouble: longer than the case.
	loopWork  = 500 * time.Millisecond
	soundWork = time.Hour
	// beforeLoop is how long the other jobs run alone, loopTime how long they come beside the
	// lasting ones; finish is the users' finish_s, after which the jobs are looked at.
	beforeLoop = 5 * time.Second
	loopTime   = 40 * time.Second
	finish     = 14 * time.Second
	afterward  = 10 * time.Second
)

// crashLoop plays lasting jobs of one customer whose tasks fail soon after each start, as after
// a bad release, beside the short jobs of another. Trouble "0": the tasks work on.
func crashLoop(w *world, trouble string) (verdict, error) {
	w.store.put("op/config", config(3, bothRoutes()))
	if err := w.start(loopWorkers, 3, service); err != nil {
		return verdict{}, err
	}
	go w.watchIdle()
	w.calm()
	stop := make(chan struct{})
	go w.trafficTo(batchURL, stop)
	for i := range soundJobs {
		if err := w.lastingJob(fmt.Sprintf("sound service %d", i), soundTasks, 1000, soundWork); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(beforeLoop)
	work := loopWork
	if trouble == "0" {
		work = soundWork
	}
	for i := range loopJobs {
		if err := w.lastingJob(fmt.Sprintf("broken service %d", i), loopTasks, 3200, work); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(loopTime)
	close(stop)
	during := w.idleJobs()
	v := verdict{summary: append([]string{"while jobs come:"}, w.describeIdle(during)...)}
	v.summary = append(v.summary, w.served(batchURL))
	time.Sleep(finish)
	w.forgetIdle()
	time.Sleep(afterward)
	after := w.idleJobs()
	v.summary = append(append(v.summary, "from finish_s after the last one on:"), w.describeIdle(after)...)
	v.summary = append(v.summary, w.served(batchURL))
	v.broken = len(during) > 0 || len(after) > 0
	return v, nil
}

// lastingJob hands in a lasting job whose tasks fail after a time of work.
func (w *world) lastingJob(name string, tasks, cpu int, work time.Duration) error {
	_, status := w.submit(host, urgentURL, jobSpec{Spec: name, Steps: []stepSpec{
		{Count: tasks, CPU: cpu, MemMB: 2 * cpu, EstimatedMS: 500, LongRunning: true, Image: "service", work: work},
	}})
	if status != 200 {
		return fmt.Errorf("a lasting job was answered with %d", status)
	}
	return nil
}
