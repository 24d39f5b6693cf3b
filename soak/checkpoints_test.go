package soak

import (
	"fmt"

	"leverstile.dev/dispatch"
	"leverstile.dev/platform/wiretest"
)

// checkCheckpoints compares the checkpoints that starts carried with those that workers had
// reported, and counts them by origin.
func (w *world) checkCheckpoints(runs []wiretest.RunRecord) {
	origins := map[string]int{}
	for _, r := range runs {
		if r.DiffersInGang {
			w.violation(r.Task, "starts of members of its gang carried different checkpoints: "+r.String())
		}
		if r.Checkpoint == "" {
			continue
		}
		origins[r.Origin]++
		switch {
		case r.Foreign:
			w.violation(r.Task, "started with a checkpoint that is not its own: "+r.String())
		case !checkpoints(r.Task):
			w.violation(r.Task, "its step saves no checkpoints, but a start carried one: "+r.String())
		case r.Origin == "":
			w.violation(r.Task, "started with a checkpoint that no worker has reported: "+r.String())
		}
	}
	if len(origins) == 0 {
		w.t.Error("no start carried a checkpoint")
	}
	w.t.Logf("starts that carried a checkpoint, by its origin: %v", origins)
}

// ownerOf returns the number of the owner that used a fencing token.
func ownerOf(token uint64) uint64 {
	return (token + dispatch.TokensPerTerm - 1) / dispatch.TokensPerTerm
}

// checkResumed finds runs that ended before they were done, whose end their owner
// acknowledged, and after which the same owner's next start does not resume from the
// checkpoint of that end. A gang may resume from the checkpoint of another member.
func (w *world) checkResumed(tasks map[string][]wiretest.RunRecord) {
	resumed := map[string]int{}
	for task, list := range tasks {
		for i, a := range list[:len(list)-1] {
			b := list[i+1]
			if a.Saved == "" || ownerOf(a.AcknowledgedTerm) != ownerOf(b.Term) || a.Acknowledged.After(b.Ordered) {
				continue
			}
			if b.Checkpoint == a.Saved || gangSize(task) > 0 && b.Checkpoint != "" {
				resumed[a.How]++
				continue
			}
			w.violation(task, fmt.Sprintf("does not resume from the checkpoint of its end:\n  %s\n  %s", a, b))
		}
	}
	w.t.Logf("tasks that resumed from the checkpoints of their ends, by the kind of end: %v", resumed)
}
