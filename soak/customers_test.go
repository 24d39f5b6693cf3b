package soak

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call makes a customer's call; status 0 means no answer.
func (w *world) call(p *process, method, id, body string) (int, string) {
	path := catalogue[kindOf(id)].path
	req, err := http.NewRequest(method, "http://"+p.front+"/"+path+"/"+id, strings.NewReader(body))
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

// submit submits a job once and records the answer as the customer sees it.
func (w *world) submit(p *process, id string) {
	status, _ := w.call(p, http.MethodPost, id, bodyOf(id))
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

// firstJob is the number of the job that is submitted before all others.
const firstJob = 0xffffff

func (w *world) awaitServing() {
	id := idOf(plain, firstJob)
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.submit(w.procs[0], id)
		w.mu.Lock()
		ok := w.accepted[id]
		w.mu.Unlock()
		if ok {
			return
		}
	}
	w.t.Fatal("no entry accepted the first job in time")
}

// customers submits jobs until end, at a rate that the seed sets.
func (w *world) customers(rng *rand.Rand, end time.Time) {
	var calls sync.WaitGroup
	pause := 30 + rng.IntN(70)
	mix := w.rng(5)
	for n := 0; time.Now().Before(end); n++ {
		p := w.procs[rng.IntN(len(w.procs))]
		id := idOf(pickKind(mix), n)
		calls.Go(func() { w.submit(p, id) })
		time.Sleep(time.Duration(float64(pause/2+rng.IntN(pause)) / *soakLoad * float64(time.Millisecond)))
	}
	calls.Wait()
}

func (w *world) acceptedJobs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.accepted))
}

// cancelLongRunning cancels the jobs that would run for ever.
func (w *world) cancelLongRunning(ids []string) {
	end := time.Now().Add(settleTimeout)
	for n, id := range ids {
		for kindOf(id) == longRunning {
			status, _ := w.call(w.procs[n%len(w.procs)], http.MethodDelete, id, "")
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				w.t.Errorf("job %s can't be cancelled: %d", id, status)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// wantedState returns the state in which an accepted job must end.
func (w *world) wantedState(id string) string {
	switch {
	case w.hasCrasher(id):
		return "failed"
	case kindOf(id) == longRunning:
		return "cancelled"
	default:
		return "succeeded"
	}
}

// awaitJobs waits until each accepted job is shown in its wanted state: succeeded, failed
// if one of its tasks crashes its workers, or cancelled.
func (w *world) awaitJobs() {
	ids := w.acceptedJobs()
	w.cancelLongRunning(ids)
	end := time.Now().Add(settleTimeout)
	for n, id := range ids {
		for {
			status, text := w.call(w.procs[n%len(w.procs)], http.MethodGet, id, "")
			if status == http.StatusOK && strings.Contains(text, w.wantedState(id)) {
				break
			}
			if status == http.StatusGone {
				w.t.Errorf("job %s was accepted and is gone", id)
				break
			}
			if time.Now().After(end) {
				w.t.Errorf("job %s was accepted and has not ended as expected: %d %s", id, status, text)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
