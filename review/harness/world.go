package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: entries of the real program, and stand-ins of the store, of
// workers and of clients. Its lock guards the fields below it.
type world struct {
	root, dir string
	program   []string
	store     *store
	workers   []*worker
	entries   []*entry
	began     time.Time
	closed    chan struct{}

	mu       sync.Mutex
	record   *os.File
	jobs     map[string]*jobState
	gangs    map[string]*gang
	order    []*jobState
	problems []string
	// calmSince is when the newest disruption was over; 0 during one.
	calmSince time.Time
}

// stepSpec is a step of a job, as a client sends it.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimatedMS   int    `json:"estimated_ms"`
	AfterRevision []int  `json:"after_revision,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`

	// work is how long a task works until it is done, or fails if it lasts.
	work time.Duration
}

// jobSpec is a job, as a client sends it.
type jobSpec struct {
	Spec        string     `json:"spec"`
	Steps       []stepSpec `json:"steps"`
	FirstRunMS  int64      `json:"first_run_ms,omitempty"`
	IntervalMS  int64      `json:"interval_ms,omitempty"`
	RepeatCount int64      `json:"repeat_count,omitempty"`
}

// jobState is what the clients and workers know of a job.
type jobState struct {
	id, host, prefix string
	spec             jobSpec
	// accepted is when a client had a 2xx for it.
	accepted time.Time
	// done holds the tasks that have ended so.
	done map[string]bool
	// failedRuns counts the runs that ended as failed.
	failedRuns int
	// idleSince is since when none of its tasks ran although there was capacity; longestIdle
	// is the longest such time, which began at longestFrom.
	idleSince, longestFrom time.Time
	longestIdle            time.Duration
}

// tasks returns the number of the job's tasks.
func (j *jobState) tasks() int {
	n := 0
	for _, s := range j.spec.Steps {
		n += s.Count
	}
	return n * int(max(j.spec.RepeatCount, 1))
}

func newWorld(record string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	program, err := deployedProgram(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	program[0] = filepath.Join(root, program[0])
	return &world{root: root, dir: dir, program: program, store: s, began: time.Now(), closed: make(chan struct{}), record: f, jobs: map[string]*jobState{}, gangs: map[string]*gang{}}, nil
}

// deployedProgram returns the program of the deploy file's only role, with its arguments.
func deployedProgram(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s: no program", path)
}

// start starts workers and entries, and waits until all entries are ready.
func (w *world) start(workers, entries int, service string) error {
	zones := []string{"za", "zb", "zc"}
	for i := range workers {
		x, err := startWorker(w, fmt.Sprintf("w%02d", i), service, zones[i%len(zones)], 16000, 64000)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, x)
	}
	network := unusedNet(entries)
	for i := range entries {
		e, err := newEntry(w, fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), network+strconv.Itoa(10+i), zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		go e.run()
	}
	for _, e := range w.entries {
		if !e.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready; see its log", e.name)
		}
	}
	w.note("all entries are ready")
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, e := range w.entries {
		e.close()
	}
	close(w.closed)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

func (w *world) write(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// fail records that the case couldn't run.
func (w *world) fail(format string, args ...any) {
	w.note(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// taskOf returns what a worker must know of a task, JOB.K.STEP.INDEX.
func (w *world) taskOf(name string) (task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return task{}, false
	}
	step, err := strconv.Atoi(parts[2])
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	if err != nil || j == nil || step >= len(j.spec.Steps) {
		return task{}, false
	}
	s := j.spec.Steps[step]
	t := task{cpu: s.CPU, memory: s.MemMB, work: s.work, lasting: s.LongRunning}
	if s.Gang {
		t.gangSize = s.Count
	}
	return t, true
}

// recordRun records a start or an end that a worker has seen.
func (w *world) recordRun(worker, name string, run uint64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write("worker %s: %s run %d %s", worker, name, run, how)
	j := w.jobs[strings.SplitN(name, ".", 2)[0]]
	switch {
	case j == nil:
	case how == "done":
		j.done[name] = true
	case how == "failed":
		j.failedRuns++
	}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in as a client does: after no answer, a 502, 503, 504 or 429 it comes in
// again at another entry, five times in all. It returns the last status, 0 for none.
func (w *world) submit(host, prefix string, spec jobSpec) (*jobState, int) {
	j := &jobState{id: newJobID(), host: host, prefix: prefix, spec: spec, done: map[string]bool{}}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	body, err := json.Marshal(spec)
	if err != nil {
		w.fail("job: %v", err)
		return j, 0
	}
	status := 0
	first := rand.IntN(len(w.entries))
	for try := range 5 {
		status, _ = w.call(w.entries[(first+try)%len(w.entries)], http.MethodPost, host, prefix+j.id, body)
		if status != 0 && status != 502 && status != 503 && status != 504 && status != 429 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if status/100 == 2 {
		w.mu.Lock()
		j.accepted = time.Now()
		w.order = append(w.order, j)
		w.mu.Unlock()
	}
	return j, status
}

// call makes a client's call; the status is 0 without an answer.
func (w *world) call(e *entry, method, host, path string, body []byte) (status int, answer string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		w.note("client: %s %s%s at %s: no answer", method, host, path, e.name)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		w.note("client: %s %s%s at %s: the answer broke off", method, host, path, e.name)
		return 0, ""
	}
	w.note("client: %s %s%s at %s: %d %s", method, host, path, e.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// state asks all entries in turn for a job's state, until one answers.
func (w *world) state(j *jobState) string {
	for _, e := range w.entries {
		if status, text := w.call(e, http.MethodGet, j.host, j.prefix+j.id, nil); status != 0 && status != 503 {
			return fmt.Sprintf("%d %s", status, strings.TrimSpace(text))
		}
	}
	return "no answer"
}

// disrupted marks the beginning of a disruption, calm its end.
func (w *world) disrupted() { w.setCalm(time.Time{}) }
func (w *world) calm()      { w.setCalm(time.Now()) }

func (w *world) setCalm(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmSince = t
}

// watchIdle measures for each accepted job for how long nothing of it ran although a task's
// turn had come, while less than half of the capacity was in use, and the machines had been
// calm for contact and recovery before.
func (w *world) watchIdle() {
	for range time.Tick(50 * time.Millisecond) {
		select {
		case <-w.closed:
			return
		default:
		}
		used, size := 0, 0
		running := map[string]int{}
		for _, x := range w.workers {
			used, size = used+x.busy(), size+x.cpu
		}
		w.mu.Lock()
		jobs := append([]*jobState(nil), w.order...)
		calm := !w.calmSince.IsZero() && time.Since(w.calmSince) > contact+recovery
		w.mu.Unlock()
		for _, j := range jobs {
			for _, x := range w.workers {
				running[j.id] += x.runsOf(j.id)
			}
		}
		w.mu.Lock()
		now := time.Now()
		for _, j := range jobs {
			over := len(j.done) >= j.tasks() || j.spec.RepeatCount > 0 || j.spec.Steps[0].LongRunning
			if over || running[j.id] > 0 || !calm || 2*used >= size {
				j.idleSince = time.Time{}
				continue
			}
			if j.idleSince.IsZero() {
				j.idleSince = now
			}
			if idle := now.Sub(j.idleSince); idle > j.longestIdle {
				j.longestIdle, j.longestFrom = idle, j.idleSince
			}
		}
		w.mu.Unlock()
	}
}

// forgetIdle begins the measurement of idle times anew.
func (w *world) forgetIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.order {
		j.idleSince, j.longestIdle = time.Time{}, 0
	}
}

// describeIdle returns a line for each of the first idle jobs, and how many there are.
func (w *world) describeIdle(idle []*jobState) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := []string{fmt.Sprintf("LOST: %d accepted jobs had nothing running for more than %v beside free capacity", len(idle), maxIdle)}
	for _, j := range idle[:min(len(idle), maxDescribed)] {
		lines = append(lines, fmt.Sprintf("job %s%s, accepted at %.1f s: %d of %d tasks are done at %.1f s; nothing of it ran for %.1f s from %.1f s on",
			j.prefix, j.id, j.accepted.Sub(w.began).Seconds(), len(j.done), j.tasks(), time.Since(w.began).Seconds(), j.longestIdle.Seconds(), j.longestFrom.Sub(w.began).Seconds()))
	}
	return lines
}

// maxDescribed is how many idle jobs are described one by one.
const maxDescribed = 4

// maxIdle is for how long the rule LOST lets a job have nothing running beside free capacity.
const maxIdle = 3 * time.Second

// idleJobs returns the jobs that break the rule LOST by having nothing running.
func (w *world) idleJobs() []*jobState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*jobState
	for _, j := range w.order {
		if j.longestIdle > maxIdle {
			list = append(list, j)
		}
	}
	return list
}
