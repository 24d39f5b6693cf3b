package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/cell"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/membership"
)

const (
	// taskCallTimeout bounds a call on tasks, including a takeover of the cell.
	taskCallTimeout = 15 * time.Second
	// maxSubmittedTasks bounds one submission.
	maxSubmittedTasks = 10_000
	// maxTaskIDBytes bounds a task's id.
	maxTaskIDBytes = 200
	// statusCheckInterval is how often a waiting status call reads the task.
	statusCheckInterval = 100 * time.Millisecond
)

// Task is a task as callers submit it. RunTimeMS is the run time that the
// caller expects.
type Task struct {
	ID            string            `json:"id"`
	Kind          string            `json:"kind,omitempty"`
	Labels        map[string]string `json:"labels,omitempty"`
	Request       fleet.Resources   `json:"request"`
	RunTimeMS     int64             `json:"run_time_ms,omitempty"`
	VMs           string            `json:"vms,omitempty"`
	NotRepeatable bool              `json:"not_repeatable,omitempty"`
	Payload       json.RawMessage   `json:"payload,omitempty"`
}

// TaskAnswer is the outcome of submitting or cancelling one task.
type TaskAnswer struct {
	ID     string      `json:"id"`
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
}

// TaskStatus is the state of a task.
type TaskStatus struct {
	ID        string      `json:"id"`
	Group     string      `json:"group"`
	Phase     string      `json:"phase"`
	Code      result.Code `json:"code"`
	CodeName  string      `json:"code_name,omitempty"`
	Detail    string      `json:"detail,omitempty"`
	VM        string      `json:"vm,omitempty"`
	Attempt   uint32      `json:"attempt"`
	Evictions uint32      `json:"evictions"`
	Resumes   uint32      `json:"resumes"`
	Failures  uint32      `json:"failures"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	tasks, refusal := readTasks(w, r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), taskCallTimeout)
	defer cancel()
	answers := e.submitAll(ctx, tasks)
	if len(answers) == 1 && answers[0].Code != result.OK {
		e.refuse(w, result.New(answers[0].Code, "%s", answers[0].Detail).After(time.Second))
		return
	}
	e.reply(w, answers)
}

// readTasks reads one task or a list of tasks from the body.
func readTasks(w http.ResponseWriter, r *http.Request) ([]Task, *result.Error) {
	body, refusal := readAll(w, r)
	if refusal != nil {
		return nil, refusal
	}
	body = bytes.TrimSpace(body)
	var tasks []Task
	var err error
	if len(body) > 0 && body[0] == '{' {
		tasks = make([]Task, 1)
		err = strictJSON(body, &tasks[0])
	} else {
		err = strictJSON(body, &tasks)
	}
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	if len(tasks) == 0 || len(tasks) > maxSubmittedTasks {
		return nil, result.New(result.BadRequest, "between 1 and %d tasks", maxSubmittedTasks)
	}
	return tasks, nil
}

func strictJSON(body []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}

// submitAll submits tasks to their home cells, cell by cell.
func (e *Entry) submitAll(ctx context.Context, tasks []Task) []TaskAnswer {
	rev := e.declared.active()
	answers := make([]TaskAnswer, len(tasks))
	byCell := map[string][]*journalv1.TaskSpec{}
	index := map[string][]int{}
	for i, t := range tasks {
		spec, home, refusal := e.prepareTask(rev, t)
		if refusal != nil {
			answers[i] = newTaskAnswer(t.ID, refusal.Code, refusal.Detail)
			continue
		}
		byCell[home] = append(byCell[home], spec)
		index[home] = append(index[home], i)
	}
	for home, specs := range byCell {
		for n, a := range e.submitToCell(ctx, home, specs) {
			answers[index[home][n]] = a
		}
	}
	return answers
}

func newTaskAnswer(id string, code result.Code, detail string) TaskAnswer {
	return TaskAnswer{ID: id, Code: code, Name: result.Lookup(code).Name, Detail: detail}
}

// prepareTask validates a task, binds it to its group and finds its home cell.
func (e *Entry) prepareTask(rev *revision, t Task) (*journalv1.TaskSpec, string, *result.Error) {
	if t.ID == "" || len(t.ID) > maxTaskIDBytes {
		return nil, "", result.New(result.BadRequest, "a task's id has 1 to %d bytes", maxTaskIDBytes)
	}
	r := t.Request
	if r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 || r.IsZero() {
		return nil, "", result.New(result.BadRequest, "task %s: request must be positive", t.ID)
	}
	bound := rev.binder.Bind(t.Labels)
	if bound == nil {
		return nil, "", result.New(result.UnknownGroup, "task %s: no selector matches its labels", t.ID)
	}
	vms := joinSelectors(t.VMs, bound.VMs)
	sel, err := labels.Parse(vms)
	if err != nil {
		return nil, "", result.New(result.BadSelector, "task %s: %v", t.ID, err)
	}
	home := homeCell(rev, t.ID, sel)
	if home == "" {
		return nil, "", result.New(result.FitsNoVM, "task %s: no cell has VMs that match %q", t.ID, vms)
	}
	return &journalv1.TaskSpec{
		Id: t.ID, Kind: t.Kind, Group: bound.Group, Labels: t.Labels, RunTimeMs: t.RunTimeMS,
		Request:    &journalv1.Resources{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators},
		VmSelector: vms, NotRepeatable: t.NotRepeatable, Payload: t.Payload,
		Urgent: rev.binder.Class(bound.Group) == config.LatencyCritical,
	}, home, nil
}

func joinSelectors(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "," + b
}

// homeCell picks a cell among those whose declared selector can overlap with
// the task's. Only the declarations decide, so that all entries with the same
// revision agree, whichever VMs they see.
func homeCell(rev *revision, id string, sel labels.Selector) string {
	var names []string
	for _, c := range rev.cells {
		if !config.Disjoint(c.vms, sel) {
			names = append(names, c.name)
		}
	}
	return membership.HomeCell(id, names)
}

// callOwner retries a call to a cell's owner until it is answered or ctx ends.
// It calls local if this entry owns the cell, else remote with the owner's
// address; both return false if the call has to be retried.
func (e *Entry) callOwner(ctx context.Context, name string, local func(*cellRunner) bool, remote func(addr string) bool) {
	for ctx.Err() == nil {
		c := e.shards.cell(name)
		if c != nil && c.status.ownedTerm() > 0 {
			if local(c) {
				return
			}
		} else if addr := e.ownerAddress(cellShard + name); addr != "" && remote(addr) {
			return
		}
		sleep(ctx, ownerRetry+rand.N(ownerRetry))
	}
}

func (e *Entry) submitToCell(ctx context.Context, home string, specs []*journalv1.TaskSpec) []TaskAnswer {
	out := make([]TaskAnswer, len(specs))
	for i, s := range specs {
		out[i] = newTaskAnswer(s.GetId(), result.OwnerUnavailable, "cell "+home)
	}
	sent := false
	e.callOwner(ctx, home, func(c *cellRunner) bool {
		sent = true
		reply := c.submit(ctx, specs)
		return applyResults(out, specs, reply)
	}, func(addr string) bool {
		sent = true
		resp, err := e.peers.clientFor(addr).SubmitTasks(ctx, connect.NewRequest(&peerv1.SubmitTasksRequest{Cell: home, Tasks: specs}))
		if err != nil {
			return false
		}
		return applyResults(out, specs, replyFromProto(resp.Msg))
	})
	if sent && ctx.Err() != nil {
		for i := range out {
			if out[i].Code == result.OwnerUnavailable {
				out[i] = newTaskAnswer(out[i].ID, result.CommitUnknown, "no answer in time; repeat with the same id")
			}
		}
	}
	return out
}

func replyFromProto(m *peerv1.SubmitTasksResponse) cell.Reply {
	var r cell.Reply
	for _, t := range m.GetResults() {
		r.Results = append(r.Results, cell.TaskResult{ID: t.GetId(), Code: result.Code(t.GetCode()), Detail: t.GetDetail()})
	}
	return r
}

// applyResults copies a reply's results to out. It returns false if the call
// has to be retried, which is safe as submitting is idempotent.
func applyResults(out []TaskAnswer, specs []*journalv1.TaskSpec, r cell.Reply) bool {
	if r.Err != nil {
		return !isRetryable(r.Err.Code) && setAll(out, specs, r.Err)
	}
	if len(r.Results) != len(specs) {
		return false
	}
	for i, t := range r.Results {
		if isRetryable(t.Code) {
			return false
		}
		out[i] = newTaskAnswer(t.ID, t.Code, t.Detail)
	}
	return true
}

func isRetryable(c result.Code) bool {
	return c == result.OwnerUnavailable || c == result.CommitUnknown
}

func setAll(out []TaskAnswer, specs []*journalv1.TaskSpec, err *result.Error) bool {
	for i, s := range specs {
		out[i] = newTaskAnswer(s.GetId(), err.Code, err.Detail)
	}
	return true
}

// queryCell reads tasks from one cell.
func (e *Entry) queryCell(ctx context.Context, name, id string, sel labels.Selector) ([]*journalv1.TaskState, *result.Error) {
	var tasks []*journalv1.TaskState
	refusal := result.New(result.OwnerUnavailable, "cell %s", name).After(time.Second)
	e.callOwner(ctx, name, func(c *cellRunner) bool {
		reply := c.get(ctx, id, sel)
		if reply.Err != nil && isRetryable(reply.Err.Code) {
			return false
		}
		tasks, refusal = reply.Tasks, reply.Err
		return true
	}, func(addr string) bool {
		resp, err := e.peers.clientFor(addr).GetTasks(ctx, connect.NewRequest(&peerv1.GetTasksRequest{Cell: name, Id: id, Selector: selectorText(sel)}))
		if err != nil || isRetryable(result.Code(resp.Msg.GetCode())) {
			return false
		}
		tasks, refusal = resp.Msg.GetTasks(), nil
		if code := result.Code(resp.Msg.GetCode()); code != result.OK {
			refusal = result.New(code, "")
		}
		return true
	})
	return tasks, refusal
}

func selectorText(sel labels.Selector) string {
	if sel == nil {
		return ""
	}
	return sel.String()
}

// findTask searches all cells for a task, its likely home first.
func (e *Entry) findTask(ctx context.Context, id string) (*journalv1.TaskState, string, *result.Error) {
	refusal := result.New(result.UnknownTask, "task %s", id)
	for _, name := range cellsByHome(e.declared.active(), id) {
		tasks, err := e.queryCell(ctx, name, id, nil)
		if err == nil && len(tasks) == 1 {
			return tasks[0], name, nil
		}
		if err != nil && err.Code != result.UnknownTask {
			refusal = err
		}
	}
	return nil, "", refusal
}

func cellsByHome(rev *revision, id string) []string {
	home := homeCell(rev, id, labels.Everything())
	names := []string{}
	if home != "" {
		names = append(names, home)
	}
	for _, c := range rev.cells {
		if c.name != home {
			names = append(names, c.name)
		}
	}
	return names
}

func statusOf(t *journalv1.TaskState) TaskStatus {
	s := TaskStatus{
		ID: t.GetSpec().GetId(), Group: t.GetSpec().GetGroup(), Phase: cell.Phase(t.GetPhase()).String(),
		Code: result.Code(t.GetCode()), Detail: t.GetDetail(), Attempt: t.GetAttempt(),
		Evictions: t.GetEvictions(), Resumes: t.GetResumes(), Failures: t.GetFailures(),
	}
	if cell.Phase(t.GetPhase()) == cell.Assigned {
		s.VM = t.GetWorker()
	}
	if s.Code != result.OK || cell.Phase(t.GetPhase()) == cell.Done {
		s.CodeName = result.Lookup(s.Code).Name
	}
	return s
}

// serveTask answers with a task's state; with wait_ms it waits for the task's end.
func (e *Entry) serveTask(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := e.clock() + config.Ms(min(max(wait, 0), 60_000))
	for {
		ctx, cancel := context.WithTimeout(r.Context(), taskCallTimeout)
		t, _, refusal := e.findTask(ctx, r.PathValue("id"))
		cancel()
		if refusal != nil {
			e.refuse(w, refusal)
			return
		}
		if cell.Phase(t.GetPhase()) == cell.Done || e.clock() >= until || r.Context().Err() != nil {
			e.reply(w, statusOf(t))
			return
		}
		sleep(r.Context(), statusCheckInterval)
	}
}

func (e *Entry) serveExplain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), taskCallTimeout)
	defer cancel()
	id := r.PathValue("id")
	_, name, refusal := e.findTask(ctx, id)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	var text string
	e.callOwner(ctx, name, func(c *cellRunner) bool {
		text = c.explain(ctx, id)
		return true
	}, func(addr string) bool {
		resp, err := e.peers.clientFor(addr).GetTasks(ctx, connect.NewRequest(&peerv1.GetTasksRequest{Cell: name, Id: id, Explain: true}))
		if err == nil {
			text = resp.Msg.GetExplanation()
		}
		return err == nil
	})
	e.reply(w, struct {
		ID          string `json:"id"`
		Cell        string `json:"cell"`
		Explanation string `json:"explanation"`
	}{id, name, text})
}

// parseSelector reads the query parameter "selector"; an empty one selects all.
func parseSelector(r *http.Request) (labels.Selector, *result.Error) {
	sel, err := labels.Parse(r.URL.Query().Get("selector"))
	if err != nil {
		return nil, result.New(result.BadSelector, "%v", err)
	}
	return sel, nil
}

// forEachCell calls fn for each declared cell and returns the first refusal.
func (e *Entry) forEachCell(r *http.Request, fn func(ctx context.Context, cell string) *result.Error) *result.Error {
	ctx, cancel := context.WithTimeout(r.Context(), taskCallTimeout)
	defer cancel()
	for _, c := range e.declared.active().cells {
		if refusal := fn(ctx, c.name); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (e *Entry) serveList(w http.ResponseWriter, r *http.Request) {
	out := []TaskStatus{}
	sel, refusal := parseSelector(r)
	if refusal == nil {
		refusal = e.forEachCell(r, func(ctx context.Context, cell string) *result.Error {
			tasks, err := e.queryCell(ctx, cell, "", sel)
			for _, t := range tasks {
				out = append(out, statusOf(t))
			}
			return err
		})
	}
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	e.reply(w, out)
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), taskCallTimeout)
	defer cancel()
	id := r.PathValue("id")
	_, name, refusal := e.findTask(ctx, id)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	answers, refusal := e.cancelInCell(ctx, name, id, nil)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	e.reply(w, answers)
}

func (e *Entry) serveCancelSelected(w http.ResponseWriter, r *http.Request) {
	sel, refusal := parseSelector(r)
	if refusal == nil && sel.Empty() {
		refusal = result.New(result.BadSelector, "a selector is needed; it must not be empty")
	}
	out := []TaskAnswer{}
	if refusal == nil {
		refusal = e.forEachCell(r, func(ctx context.Context, cell string) *result.Error {
			answers, err := e.cancelInCell(ctx, cell, "", sel)
			out = append(out, answers...)
			return err
		})
	}
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	e.reply(w, out)
}

// cancelInCell cancels tasks of one cell. Cancelling is idempotent.
func (e *Entry) cancelInCell(ctx context.Context, name, id string, sel labels.Selector) ([]TaskAnswer, *result.Error) {
	var out []TaskAnswer
	refusal := result.New(result.CommitUnknown, "cell %s; cancel again", name)
	e.callOwner(ctx, name, func(c *cellRunner) bool {
		reply := c.cancel(ctx, id, sel)
		if reply.Err != nil && isRetryable(reply.Err.Code) {
			return false
		}
		refusal = reply.Err
		for _, t := range reply.Results {
			out = append(out, newTaskAnswer(t.ID, t.Code, t.Detail))
		}
		return true
	}, func(addr string) bool {
		resp, err := e.peers.clientFor(addr).CancelTasks(ctx, connect.NewRequest(&peerv1.CancelTasksRequest{Cell: name, Id: id, Selector: selectorText(sel)}))
		if err != nil || isRetryable(result.Code(resp.Msg.GetCode())) {
			return false
		}
		refusal = nil
		if code := result.Code(resp.Msg.GetCode()); code != result.OK {
			refusal = result.New(code, "")
		}
		for _, tid := range resp.Msg.GetIds() {
			out = append(out, newTaskAnswer(tid, result.OK, ""))
		}
		return true
	})
	return out, refusal
}
