package scheduler

// usableFilter passes workers on which tasks may be started.
type usableFilter struct{}

func (usableFilter) Name() string                   { return "usable" }
func (usableFilter) Passes(_ *Task, w *Worker) bool { return w.Usable }
