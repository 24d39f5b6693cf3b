package scheduler

// reservedFilter keeps others off a VM that is kept free for a large task.
type reservedFilter struct{}

func (reservedFilter) Name() string { return "reserved" }

func (reservedFilter) Passes(t *Task, w *Worker) bool {
	return w.reservedFor == "" || w.reservedFor == t.ID || t.Urgent
}
