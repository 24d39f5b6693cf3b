package scheduler

// roomFilter passes workers with room for the task.
type roomFilter struct{}

func (roomFilter) Name() string                   { return "room" }
func (roomFilter) Passes(t *Task, w *Worker) bool { return t.Ask.Fits(w.Free) }
