package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A job has four tasks and then two larger ones.
const jobBody = `{"spec":%q,"steps":[{"count":4,"cpu":%d,"mem_mb":100},{"count":2,"cpu":%d,"mem_mb":100,"after_revision":[0]}]}`

// Sizes of the tasks of the two steps, in thousandths of a core, and how many
// tasks the first one has.
const (
	firstCPU   = 500
	secondCPU  = 1000
	taskMemory = 100
	firstTasks = 4
)

func payloadOf(id string) string { return "payload of " + id }

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func isSecond(task string) bool { return strings.HasPrefix(task[len(jobOf(task)):], ".0.1.") }

// needsOf tells the workers what a task takes.
func needsOf(task string) (cpu, memory int) {
	if isSecond(task) {
		return secondCPU, taskMemory
	}
	return firstCPU, taskMemory
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call makes a customer's call; 0 means no answer.
func (w *world) call(p *process, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.front+"/a/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "h.example"
	resp, err := client.Do(req)
	if err != nil {
		if isDial(err) {
			return http.StatusServiceUnavailable, "" // never sent
		}
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

func isDial(err error) bool { return strings.Contains(err.Error(), "dial tcp") }

// submit hands in a job once and notes what the customer knows of it.
func (w *world) submit(p *process, id string) {
	status, _ := w.call(p, http.MethodPost, id, fmt.Sprintf(jobBody, payloadOf(id), firstCPU, secondCPU))
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case http.StatusOK:
		w.accepted[id] = true
		delete(w.refused, id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.refused[id] = true
	}
}

func (w *world) awaitServing() {
	id := fmt.Sprintf("%016x", 0xffff)
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.submit(w.procs[0], id)
		w.mu.Lock()
		ok := w.accepted[id]
		w.mu.Unlock()
		if ok {
			return
		}
	}
	w.t.Fatal("never served")
}

// customers hand in jobs until end, at a pace of the seed.
func (w *world) customers(rng *rand.Rand, end time.Time) {
	var calls sync.WaitGroup
	pause := 30 + rng.IntN(70)
	for id := 0; time.Now().Before(end); id++ {
		p := w.procs[rng.IntN(len(w.procs))]
		name := fmt.Sprintf("%016x", id)
		calls.Go(func() { w.submit(p, name) })
		time.Sleep(time.Duration(pause/2+rng.IntN(pause)) * time.Millisecond)
	}
	calls.Wait()
}

// awaitJobs waits until all accepted jobs are shown as done, or as failed where a task
// crashes its workers.
func (w *world) awaitJobs() {
	w.mu.Lock()
	ids := make([]string, 0, len(w.accepted))
	for id := range w.accepted {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	end := time.Now().Add(settle)
	for n, id := range ids {
		for {
			status, text := w.call(w.procs[n%len(w.procs)], http.MethodGet, id, "")
			want := "succeeded"
			if w.hasCrasher(id) {
				want = "failed"
			}
			if status == http.StatusOK && strings.Contains(text, want) {
				break
			}
			if status == http.StatusGone {
				w.t.Errorf("job %s was accepted and is gone", id)
				break
			}
			if time.Now().After(end) {
				w.t.Errorf("job %s was accepted and is not done: %d %s", id, status, text)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
