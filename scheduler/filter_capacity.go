package scheduler

// capacityFilter passes workers with enough free capacity for the task.
type capacityFilter struct{}

func (capacityFilter) Name() string                   { return "room" }
func (capacityFilter) Passes(t *Task, w *Worker) bool { return t.Ask.Fits(w.Free) }
