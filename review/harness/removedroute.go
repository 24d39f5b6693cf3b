package main

import (
	"fmt"
	"time"
)

// Names of the deployment of a case.
const (
	service   = "svc"
	host      = "h1.example"
	urgentURL = "/urgent/"
	batchURL  = "/batch/"
)

// Times of the case.
const (
	beforeChange  = 2 * time.Second
	beforeRestart = 500 * time.Millisecond
	afterRestart  = contact + recovery + 10*time.Second
)

// route returns a route of a configuration.
func route(name, prefix string, priority int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"service":%q,"timeout_ms":3000,"priority":%d,"max_attempts":3,"stretch":2,"target_latency_ms":1000}`, name, host, prefix, service, priority)
}

// config returns a configuration with these routes.
func config(version int, routes string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"admission_check":true}],"limits":{"max_body_bytes":262144}}`, version, routes, service)
}

func bothRoutes() string { return route("urgent", urgentURL, 0) + "," + route("batch", batchURL, 2) }

// removedRoute plays a change of the configuration that removes a route with accepted jobs,
// and a rolling restart after it. Trouble "0" is neither, "config" only the first, "restart"
// only the second.
func removedRoute(w *world, trouble string) (verdict, error) {
	w.store.put("op/config", config(3, bothRoutes()))
	if err := w.start(6, 3, service); err != nil {
		return verdict{}, err
	}
	go w.watchIdle()
	w.calm()
	stop := make(chan struct{})
	go w.traffic(stop)
	batch, err := w.batchJobs()
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(beforeChange)
	if trouble != "0" && trouble != "restart" {
		w.note("operator: version 7 of the configuration, without the route of the batch jobs")
		w.store.put("op/config", config(7, route("urgent", urgentURL, 0)))
	}
	time.Sleep(beforeRestart)
	if trouble != "0" && trouble != "config" {
		w.disrupted()
		for _, e := range w.entries {
			e.restart()
		}
		w.calm()
	}
	time.Sleep(afterRestart)
	close(stop)
	idle := w.idleJobs()
	v := verdict{broken: len(idle) > 0, summary: append(w.describeIdle(idle), w.served(batchURL), w.served(urgentURL))}
	w.note("operator: version 9 of the configuration, with both routes")
	w.store.put("op/config", config(9, bothRoutes()))
	time.Sleep(contact)
	for _, j := range batch {
		v.summary = append(v.summary, fmt.Sprintf("batch job %s is shown as %s once its route is back", j.id, w.state(j)))
	}
	return v, nil
}

// batchJobs hands in four jobs of two steps, some six seconds of work each.
func (w *world) batchJobs() ([]*jobState, error) {
	var batch []*jobState
	for i := range 4 {
		j, status := w.submit(host, batchURL, jobSpec{Spec: fmt.Sprintf("batch job %d", i), Steps: []stepSpec{
			{Count: 4, CPU: 1800, MemMB: 3200, EstimatedMS: 4000, work: 4 * time.Second},
			{Count: 4, CPU: 1800, MemMB: 3200, EstimatedMS: 2000, AfterRevision: []int{0}, work: 2 * time.Second},
		}})
		if status != 200 {
			return nil, fmt.Errorf("a job was answered with %d", status)
		}
		batch = append(batch, j)
	}
	return batch, nil
}

// traffic hands in a short job of the urgent route every half second.
func (w *world) traffic(stop <-chan struct{}) { w.trafficTo(urgentURL, stop) }

// trafficTo hands in a short job of a route every half second.
func (w *world) trafficTo(prefix string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		go w.submit(host, prefix, jobSpec{Spec: fmt.Sprintf("short job %d", i), Steps: []stepSpec{
			{Count: 4, CPU: 1600, MemMB: 3200, EstimatedMS: 500, work: 500 * time.Millisecond},
		}})
	}
}

// served counts the accepted jobs of a route, and those that are done.
func (w *world) served(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	accepted, done := 0, 0
	for _, j := range w.order {
		if j.prefix == prefix && j.spec.RepeatCount == 0 {
			accepted++
			if len(j.done) >= j.tasks() {
				done++
			}
		}
	}
	return fmt.Sprintf("route %s: %d jobs accepted, %d done", prefix, accepted, done)
}
