package scheduler

// selectorFilter passes workers whose labels match the task's selector.
type selectorFilter struct{}

func (selectorFilter) Name() string { return "selector" }

func (selectorFilter) Passes(t *Task, w *Worker) bool {
	return t.Selector == nil || t.Selector.Empty() || t.Selector.Matches(w.Labels)
}
