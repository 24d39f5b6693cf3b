package scheduler

// usableFilter passes workers on which tasks may be started.
type usableFilter struct{}

func (usableFilter) Name() string                   { return "usable" }
func (usableFilter) Passes(_ *Task, w *Worker) bool { return w.Usable }

// roomFilter passes workers with room for the task.
type roomFilter struct{}

func (roomFilter) Name() string                   { return "room" }
func (roomFilter) Passes(t *Task, w *Worker) bool { return t.Ask.Fits(w.Free) }

// reservedFilter keeps others off a VM that is kept free for a large task.
type reservedFilter struct{}

func (reservedFilter) Name() string { return "reserved" }

func (reservedFilter) Passes(t *Task, w *Worker) bool {
	return w.reservedFor == "" || w.reservedFor == t.ID || t.Urgent
}

// selectorFilter passes workers whose labels match the task's selector.
type selectorFilter struct{}

func (selectorFilter) Name() string { return "selector" }

func (selectorFilter) Passes(t *Task, w *Worker) bool {
	return t.Selector == nil || t.Selector.Empty() || t.Selector.Matches(w.Labels)
}
