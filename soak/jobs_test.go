package soak

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// kind is the kind of a job. It is the first digit of the job's id.
type kind int

// Kinds of jobs.
const (
	plain       kind = iota // four tasks and then two larger ones; no checkpoints
	fill                    // fill tasks: they use only processor time that others leave, and give way to urgent jobs
	urgent                  // needs much memory
	ganged                  // its tasks form a gang: they run together or not at all
	repeated                // due several times in overlapping periods, with a gang
	longRunning             // runs until it is cancelled
	kinds
)

// step is a step of a job as customers send it, and how its tasks work.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemoryMB    int    `json:"mem_mb"`
	After       []int  `json:"after_revision,omitempty"`
	Checkpoints bool   `json:"checkpointing,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Fill        bool   `json:"fills,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int    `json:"target_ms,omitempty"`

	// length is the factor of how long the tasks work.
	length time.Duration
}

// firstTasks is the number of tasks of the first step of a plain job.
const firstTasks = 4

// targetMS is the tail latency that long-running tasks must stay below.
const targetMS = 50

// catalogue holds the queue's path and the steps of each kind.
var catalogue = [kinds]struct {
	path  string
	share int // of 100 jobs
	steps []step
}{
	plain: {"a", 70, []step{
		{Count: firstTasks, CPU: 500, MemoryMB: 100, length: 1},
		{Count: 2, CPU: 1000, MemoryMB: 100, After: []int{0}, length: 1},
	}},
	fill:   {"b", 10, []step{{Count: 5, CPU: 2000, MemoryMB: 900, Fill: true, Image: "fill", Checkpoints: true, length: 2}}},
	urgent: {"a", 7, []step{{Count: 4, CPU: 400, MemoryMB: 2500, length: 1}}},
	ganged: {"c", 6, []step{{Count: 3, CPU: 400, MemoryMB: 200, Gang: true, Checkpoints: true, length: 1}}},
	repeated: {"c", 4, []step{
		{Count: 2, CPU: 300, MemoryMB: 100, Checkpoints: true, length: 1},
		{Count: 2, CPU: 300, MemoryMB: 100, Gang: true, Checkpoints: true, length: 1},
	}},
	longRunning: {"c", 3, []step{{Count: 2, CPU: 300, MemoryMB: 200, LongRunning: true, Image: "serve", TargetMS: targetMS, Checkpoints: true, length: 3}}},
}

// Due times of repeated jobs.
const (
	repeats      = 3
	firstAfter   = 500 * time.Millisecond
	repeatsEvery = 800 * time.Millisecond
)

// pickKind returns the kind of the next job.
func pickKind(rng *rand.Rand) kind {
	left := rng.IntN(100)
	for k := range kinds {
		if left -= catalogue[k].share; left < 0 {
			return k
		}
	}
	return plain
}

// idOf returns the id of the nth job, of a kind.
func idOf(k kind, n int) string {
	text := strconv.FormatInt(int64(n), 16)
	return strconv.Itoa(int(k)) + strings.Repeat("0", 15-len(text)) + text
}

func kindOf(id string) kind { return kind(id[0]-'0') % kinds }

func payloadOf(id string) string { return "payload of " + id }

// bodyOf returns a job as customers send it.
func bodyOf(id string) string {
	body := map[string]any{"spec": payloadOf(id), "steps": catalogue[kindOf(id)].steps}
	if kindOf(id) == repeated {
		body["repeat_count"], body["interval_ms"] = repeats, repeatsEvery.Milliseconds()
		body["first_run_ms"] = time.Now().Add(firstAfter).UnixMilli()
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the step of a task, ID.K.STEP.INDEX.
func stepOf(task string) *step {
	fields := strings.Split(task, ".")
	at, err := strconv.Atoi(fields[2])
	if err != nil {
		panic(err)
	}
	return &catalogue[kindOf(fields[0])].steps[at]
}

func isSecondStep(task string) bool { return len(stepOf(task).After) > 0 }

// needsOf returns what a task takes of a worker's capacity; a fill task takes no reserved CPU.
func needsOf(task string) (cpu, memory int) {
	s := stepOf(task)
	if s.Fill {
		return 0, s.MemoryMB
	}
	return s.CPU, s.MemoryMB
}

func checkpoints(task string) bool { return stepOf(task).Checkpoints }

func isLongRunning(task string) bool { return stepOf(task).LongRunning }

func gangSize(task string) int {
	if s := stepOf(task); s.Gang {
		return s.Count
	}
	return 0
}

// Readings of tasks: a long-running one exceeds its target for a part of each period.
const (
	tailPeriod, tailOver = 4 * time.Second, 1500 * time.Millisecond
	lowTail, highTail    = targetMS / 2, 2 * targetMS
	fillCPU              = 1500
)

func readingOf(task string) float64 {
	switch s := stepOf(task); {
	case s.LongRunning && time.Duration(time.Now().UnixNano())%tailPeriod < tailOver:
		return highTail
	case s.LongRunning:
		return lowTail
	case s.Fill:
		return fillCPU
	default:
		return float64(s.CPU)
	}
}
