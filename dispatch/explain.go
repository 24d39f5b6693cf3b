package dispatch

import "leverstile.dev/job"

// Explanation describes a job's state and its tasks for operators.
type Explanation struct {
	Known bool      `json:"known"`
	State job.State `json:"state,omitempty"`
	Queue string    `json:"queue,omitempty"`
	// Reason is why the job has failed.
	Reason string `json:"reason,omitempty"`
	// Persisted is false while the store lacks the newest progress.
	Persisted bool `json:"persisted,omitempty"`
	// Occurrences is how often a repeated job runs. Tasks are those of its open occurrences;
	// the next one is due at NextDueMS, in milliseconds since 1970.
	Occurrences int        `json:"occurrences,omitempty"`
	NextDueMS   int64      `json:"next_due_ms,omitempty"`
	Tasks       []TaskInfo `json:"tasks,omitempty"`
}

// TaskInfo is one task of an Explanation.
type TaskInfo struct {
	Task   string   `json:"task"`
	Phase  string   `json:"phase"`
	Worker WorkerID `json:"worker,omitempty"`
	Run    uint64   `json:"run,omitempty"`
	// WaitsFor is the reason why a task does not run.
	WaitsFor string `json:"waits_for,omitempty"`
	Pace     int    `json:"pace,omitempty"`
	// Crashes is how many workers in a row crashed when it was started.
	Crashes int `json:"crashes,omitempty"`
	// ReadyMS is for how long the task has been ready.
	ReadyMS int64 `json:"ready_ms,omitempty"`
}

// Explain describes where a job's tasks run and why others wait.
func (c *Core) Explain(id string, now Instant) Explanation {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}
	}
	capacity := "room"
	if _, known := c.queueOf(j.spec); !known {
		capacity = "its queue, which no configuration has"
	}
	if excluded := c.countExclusions(c.serviceOf(j.spec), now).String(); excluded != "" {
		capacity += "; workers that get nothing: " + excluded
	}
	e := Explanation{Known: true, State: j.shown, Queue: j.spec.Queue, Reason: j.progress.Reason, Persisted: j.persisted == j.version}
	if j.nextOccurrence < j.spec.Occurrences {
		e.Occurrences, e.NextDueMS = j.spec.Occurrences, j.spec.DueMS(j.nextOccurrence)
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			e.Tasks = append(e.Tasks, c.explainTask(t, capacity, now))
		}
	}
	return e
}

// explainTask describes one task; capacity is what a ready one that is no suspect waits for.
func (c *Core) explainTask(t *task, capacity string, now Instant) TaskInfo {
	info := TaskInfo{Task: t.id().String(), Phase: t.phase.String(), Crashes: t.suspectedCrashes()}
	if a := t.attempt; a != nil {
		info.Worker, info.Run, info.Pace = WorkerID(a.worker.info.ID.Name()), a.run, a.wantedPace
		return info
	}
	switch t.phase {
	case phaseWaiting:
		info.WaitsFor = "an earlier step"
		if !t.step.due(now) {
			info.WaitsFor = "its time"
		}
	case phaseUnknown:
		info.WaitsFor = "workers of the previous owner that have not answered"
	case phaseReady:
		info.ReadyMS = (now.Steady - t.readySince).Milliseconds()
		info.WaitsFor = capacity
		if reason := c.suspectWaitReason(t, now); reason != "" {
			info.WaitsFor = reason
		} else if t.suspectedCrashes() > 0 {
			info.WaitsFor = "a worker apart from other tasks that may crash it"
		}
	}
	return info
}
