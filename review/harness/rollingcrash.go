package main

import (
	"fmt"
	"strings"
	"time"
)

// Parameters of the rolling crash: each worker is down once, one of 24 at a time.
const (
	rollingWorkers = 24
	rollingCrashes = 8
	rollingDown    = 2 * time.Second
	rollingPause   = 6 * time.Second
)

// rollingCrash plays workers that crash one after the other, beside a gang that is spread
// over most of them. Trouble "0" is no crash.
func rollingCrash(w *world, trouble string) (verdict, error) {
	w.store.put("op/config", config(3, route("urgent", urgentURL, 0)+","+route("batch", batchURL, 2)))
	if err := w.start(rollingWorkers, 3, service); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	go w.traffic(stop)
	j, status := w.submit(host, batchURL, jobSpec{Spec: "gang job", Steps: []stepSpec{
		{Count: 20, CPU: 9000, MemMB: 3200, EstimatedMS: 12000, Gang: true, AntiAffinity: 1, work: 12 * time.Second},
	}})
	if status != 200 {
		return verdict{}, fmt.Errorf("the gang was answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	if trouble != "0" {
		for i := range rollingCrashes {
			w.workers[i].crash(rollingDown)
			time.Sleep(rollingPause)
		}
	}
	time.Sleep(30 * time.Second)
	close(stop)
	state := w.state(j)
	w.mu.Lock()
	defer w.mu.Unlock()
	v := verdict{broken: strings.Contains(state, "failed") && j.failedRuns == 0}
	v.summary = append(v.summary, fmt.Sprintf("the gang %s is shown as %s; %d of its runs ended as failed, %d of %d tasks are done", j.id, state, j.failedRuns, len(j.done), j.tasks()))
	return v, nil
}
