package scheduler

// capacityFilter passes workers with enough free capacity for the task.
type roomFilter struct{}

func (roomFilter) Name() string                   { return "room" }
func (roomFilter) Passes(t *Task, w *Worker) bool { return t.Ask.Fits(w.Free) }
