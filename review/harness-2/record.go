package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what the stand-ins have seen of each task.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	tasks map[string]*taskRecord
	// mostAway is the largest number of a step's tasks that orders have ended while they were
	// at work and that have not been started since.
	mostAway int
}

// taskRecord is what the workers have seen of a task.
type taskRecord struct {
	firstStart time.Time
	doneAt     time.Time
	running    int
	// awayBy is when an order ended its newest run while it was at work; zero while it runs.
	awayBy time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now(), tasks: map[string]*taskRecord{}}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) task(id string) *taskRecord {
	t := r.tasks[id]
	if t == nil {
		t = &taskRecord{}
		r.tasks[id] = t
	}
	return t
}

func (r *recorder) started(task string, number uint64, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(task)
	if t.firstStart.IsZero() {
		t.firstStart = time.Now()
	}
	t.running++
	t.awayBy = time.Time{}
	r.write("%s starts %s run %d", worker, task, number)
}

func (r *recorder) ended(task string, number uint64, worker, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(task)
	t.running--
	if how == "done" {
		t.doneAt = time.Now()
	}
	r.write("%s ends %s run %d: %s", worker, task, number, how)
}

func (r *recorder) stopOrdered(task string, number uint64, worker string, atWork bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if atWork {
		r.task(task).awayBy = time.Now()
		r.mostAway = max(r.mostAway, r.away(stepOf(task)))
	}
	r.write("%s is told to stop %s run %d (at work: %v)", worker, task, number, atWork)
}

// away returns how many tasks of a step were ended by orders and have not been started since.
func (r *recorder) away(step string) int {
	n := 0
	for task, t := range r.tasks {
		if stepOf(task) == step && !t.awayBy.IsZero() {
			n++
		}
	}
	return n
}

// stepOf returns the step of a task: JOB.OCCURRENCE.STEP.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
