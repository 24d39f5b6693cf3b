package scheduler

// reservedFilter rejects VMs that are reserved for another task, unless the task
// is urgent.
type reservedFilter struct{}

func (reservedFilter) Name() string { return "reserved" }

func (reservedFilter) Passes(t *Task, w *Worker) bool {
	return w.reservedFor == "" || w.reservedFor == t.ID || t.Urgent
}
