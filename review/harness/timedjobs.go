package main

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Times and sizes of the case.
const (
	beforeTimed = 5 * time.Second
	afterTimed  = 45 * time.Second
	afterCancel = 10 * time.Second
	// modestCount is how often the jobs of trouble "many" run, a time every ten minutes for
	// three weeks; modestJobs is how many there are, modestPause the time between two.
	modestCount = 3000
	modestJobs  = 60
	modestPause = 200 * time.Millisecond
	// maxEnds is how often the processes of a machine may end by themselves in a day, on
	// fewer than minMachines machines, before the day counts nothing.
	maxEnds     = 3
	minMachines = 2
)

// timedJobs plays one timed job whose client wants it to be repeated until it is cancelled,
// and gives the largest count that there is. Trouble "0" gives a count of 20; "many" is
// modestJobs jobs with a count of modestCount instead.
func timedJobs(w *world, trouble string) (verdict, error) {
	w.store.put("op/config", config(3, bothRoutes()))
	if err := w.start(6, 3, service); err != nil {
		return verdict{}, err
	}
	go w.watchIdle()
	w.calm()
	stop := make(chan struct{})
	go w.traffic(stop)
	time.Sleep(beforeTimed)
	count, jobs, interval := int64(math.MaxInt64), 1, time.Hour
	switch trouble {
	case "0":
		count = 20
	case "many":
		count, jobs, interval = modestCount, modestJobs, 10*time.Minute
	}
	answers := map[int]int{}
	var timed *jobState
	for range jobs {
		j, status := w.submit(host, batchURL, jobSpec{
			Spec: "report", Steps: []stepSpec{{Count: 6, CPU: 1600, MemMB: 3200, EstimatedMS: 500, work: 500 * time.Millisecond}},
			FirstRunMS: time.Now().Add(time.Second).UnixMilli(), IntervalMS: interval.Milliseconds(), RepeatCount: count,
		})
		timed = j
		answers[status]++
		time.Sleep(modestPause)
	}
	time.Sleep(afterTimed)
	close(stop)
	idle := w.idleJobs()
	served := w.served(urgentURL)
	cancelled := w.cancel(timed)
	time.Sleep(afterCancel)
	v := verdict{summary: []string{fmt.Sprintf("timed jobs with a repeat_count of %d, by the status of the answer: %v", count, answers)}}
	often := 0
	for _, e := range w.entries {
		v.summary = append(v.summary, fmt.Sprintf("%s: the process has ended by itself %d times", e.name, e.ends()))
		if e.ends() >= maxEnds {
			often++
		}
	}
	v.summary = append(v.summary, w.describeIdle(idle)...)
	v.summary = append(v.summary, served, cancelled+"; then: "+w.served(urgentURL))
	v.broken = often >= minMachines || len(idle) > 0
	return v, nil
}

// cancel cancels a job as a client does, and tells the answer and how often processes had
// ended by then.
func (w *world) cancel(j *jobState) string {
	status := 0
	for try := range 5 {
		if status, _ = w.call(w.entries[try%len(w.entries)], http.MethodDelete, j.host, j.prefix+j.id, nil); status/100 == 2 || status == http.StatusGone {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	ends := 0
	for _, e := range w.entries {
		ends += e.ends()
	}
	return fmt.Sprintf("the cancelling of the timed job was answered with %d, after %d ends of processes", status, ends)
}
