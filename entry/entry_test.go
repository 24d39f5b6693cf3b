package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/standin"
)

// TestRacingOperators guards against a lost update: of two concurrent changes
// based on the same revision one is accepted and reaches every entry, the other
// is answered with the conflict.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.awaitReady()
	answers := make([]callerAnswer, 2)
	var wg sync.WaitGroup
	for i := range answers {
		doc := strings.Replace(testDeclarations, `"share": 3`, fmt.Sprintf(`"share": %d`, 10+i), 1)
		wg.Go(func() { answers[i] = c.procs[i].apply(1, doc) })
	}
	wg.Wait()
	codes := map[result.Code]int{}
	for _, a := range answers {
		codes[a.code]++
	}
	if codes[result.OK] != 1 || codes[result.RevisionConflict] != 1 {
		t.Fatalf("codes %v", codes)
	}
	eventually(t, "revision 2 everywhere", func() bool {
		for _, p := range c.procs {
			if p.entry.declared.active().number != 2 {
				return false
			}
		}
		return true
	})
}

// TestStartDuringOutage guards against entries that can't start without the
// store: one started while it is down gets the declarations from its peers and
// routes.
func TestStartDuringOutage(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.awaitReady()
	c.fleet.KV.SetFaults(standin.KVFaults{Down: true})
	p := c.start("late")
	eventually(t, "the late entry routes", func() bool {
		a := p.call(http.MethodGet, "/v1/services/svc/", nil, nil)
		return a.err == nil && a.status == http.StatusOK
	})
	key := map[string]string{HeaderKey: "k"}
	if a := p.call(http.MethodPost, "/v1/services/svc/", key, nil); a.code != result.OwnerUnavailable && a.code != result.StoreUnavailable {
		t.Errorf("a claim without the store was answered with %+v", a)
	}
	if n := c.runsOf("k"); n != 0 {
		t.Errorf("answered \"not run\", but ran %d times", n)
	}
}

// runsOf counts the runs of a key that the endpoints recorded.
func (c *cluster) runsOf(key string) int {
	n := 0
	for _, b := range c.fleet.Records().Endpoints {
		n += b.Runs[key]
	}
	return n
}

// TestKeyRunsOnce guards against a second run of a request with a key, by the
// entry or by net/http's own retries: it is repeated through all entries while
// endpoints drop connections after the run.
func TestKeyRunsOnce(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.awaitReady()
	// Answered requests first, so that kept-alive connections are reused: on
	// those net/http retries requests with an Idempotency-Key if it can.
	for _, p := range c.procs {
		for range 8 {
			p.call(http.MethodGet, "/v1/services/svc/", nil, nil)
		}
	}
	for _, ep := range c.fleet.Endpoints {
		ep.SetFaults(standin.EndpointFaults{Drop: true})
	}
	for i := range 10 {
		key := fmt.Sprint("drop-", i)
		for _, p := range c.procs {
			a := p.call(http.MethodPost, "/v1/services/svc/sale", map[string]string{HeaderKey: key}, []byte("x"))
			if a.code.Family() == result.FamilyNotRun && c.runsOf(key) > 0 && a.code != result.ClaimInProgress && a.code != result.NoEndpoint {
				t.Errorf("key %s: answered %v, but has run", key, a.code)
			}
			if a.code == result.OK {
				t.Errorf("key %s: the endpoint sent no answer, but the caller got one: %+v", key, a)
			}
		}
		if n := c.runsOf(key); n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	// A request without a key gets a single attempt, also if its body is empty.
	before := c.totalRuns()
	c.procs[0].call(http.MethodPost, "/v1/services/svc/once", nil, nil)
	if n := c.totalRuns() - before; n > 1 {
		t.Errorf("a request without a key ran %d times", n)
	}
}

func (c *cluster) totalRuns() int {
	n := 0
	for _, b := range c.fleet.Records().Endpoints {
		n += b.Total
	}
	return n
}

// TestRepeatGetsFirstAnswer guards against a second run or another answer:
// repeats of a key at other entries, also after the entry that ran it was
// killed, get the first answer.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.awaitReady()
	var first []callerAnswer
	for i := range 12 {
		key := map[string]string{HeaderKey: fmt.Sprint("k", i)}
		a := c.procs[0].call(http.MethodPost, "/v1/services/svc/sale", key, []byte("sale"))
		if a.code != result.OK || a.status != http.StatusOK {
			t.Fatalf("first: %+v", a)
		}
		first = append(first, a)
	}
	// Outcomes are recorded while the caller gets its answer, not before. One
	// that isn't recorded when the entry is killed stays unknown and isn't run again.
	for i := range first {
		eventually(t, "the outcome is recorded", func() bool {
			key := map[string]string{HeaderKey: fmt.Sprint("k", i)}
			a := c.procs[1].call(http.MethodPost, "/v1/services/svc/sale", key, []byte("sale"))
			return a.header.Get(HeaderReplayed) == "true"
		})
	}
	c.procs[0].kill()
	c.procs = c.procs[1:]
	c.awaitOwners()
	for i, want := range first {
		key := map[string]string{HeaderKey: fmt.Sprint("k", i)}
		got := c.procs[i%2].call(http.MethodPost, "/v1/services/svc/sale", key, []byte("sale"))
		if !bytes.Equal(got.body, want.body) || got.header.Get(HeaderReplayed) != "true" {
			t.Errorf("repeat of k%d: %+v %s, first was %s", i, got, got.body, want.body)
		}
		if n := c.runsOf(fmt.Sprint("k", i)); n != 1 {
			t.Errorf("k%d ran %d times", i, n)
		}
		other := c.procs[i%2].call(http.MethodPost, "/v1/services/svc/sale", key, []byte("another"))
		if other.code != result.KeyReused {
			t.Errorf("k%d for another request: %v", i, other.code)
		}
	}
}

// TestCutAnswerIsVisible guards against an answer that the endpoint cut off, but
// that ends cleanly for the caller, who would take it for whole.
func TestCutAnswerIsVisible(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.awaitReady()
	for _, ep := range c.fleet.Endpoints {
		ep.SetFaults(standin.EndpointFaults{Cut: true})
	}
	a := c.procs[0].call(http.MethodGet, "/v1/services/svc/", nil, nil)
	if a.err == nil {
		t.Errorf("the cut answer looks whole: %+v %q", a, a.body)
	}
}

// TestAnswersMatchRequests guards against mixed-up answers: concurrent callers
// each get the whole answer to their own request.
func TestAnswersMatchRequests(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.awaitReady()
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			for j := range 10 {
				body := fmt.Sprintf("caller %d request %d %s", i, j, strings.Repeat("x", 3000*i))
				a := c.procs[i%2].call(http.MethodPost, "/v1/services/svc/", nil, []byte(body))
				if a.err != nil || a.status == http.StatusOK && !strings.HasSuffix(string(a.body), body+"\n") {
					t.Errorf("caller %d request %d: %v, %d bytes", i, j, a.err, len(a.body))
				}
				if a.status != http.StatusOK && a.code.Family() != result.FamilyNotRun {
					t.Errorf("caller %d request %d: %v", i, j, a.code)
				}
			}
		})
	}
	wg.Wait()
}

// TestPlannedStopCutsNothing guards against requests that a planned stop cuts
// off: while entries are replaced one by one under load, each request gets its
// whole answer, or the answer that it was not run.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.awaitReady()
	var target atomic.Pointer[proc]
	target.Store(c.procs[0])
	stopLoad := make(chan struct{})
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 8 {
		wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stopLoad:
					return
				default:
				}
				// The balancer sends new requests to entries that are ready.
				a := target.Load().call(http.MethodPost, "/v1/services/svc/", nil, fmt.Appendf(nil, "%d-%d", i, j))
				if a.err != nil || a.status != http.StatusOK && a.code.Family() != result.FamilyNotRun {
					t.Errorf("request %d-%d was cut off: %+v", i, j, a)
					return
				}
				answered.Add(1)
			}
		})
	}
	for i, old := range c.procs[:3] {
		next := c.start(fmt.Sprint("new", i))
		eventually(t, "the new entry routes", func() bool {
			return next.call(http.MethodGet, "/v1/services/svc/", nil, nil).status == http.StatusOK
		})
		before := answered.Load()
		go func() {
			eventually(t, "readiness is off", func() bool {
				return old.call(http.MethodGet, "/readyz", nil, nil).status != http.StatusOK
			})
			target.Store(next)
		}()
		old.drain()
		eventually(t, "requests are answered after the replacement", func() bool { return answered.Load() > before+20 })
	}
	close(stopLoad)
	wg.Wait()
}

// TestKilledEntryLosesNoTask guards against lost and repeated tasks: those
// acknowledged before the owner of their cell is killed run once and end.
func TestKilledEntryLosesNoTask(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.awaitReady()
	var tasks []Task
	for i := range 40 {
		tasks = append(tasks, taskJSON(fmt.Sprint("t", i), "reconcile", 300))
	}
	body, _ := json.Marshal(tasks)
	a := c.procs[1].call(http.MethodPost, "/v1/tasks", nil, body)
	var answers []TaskAnswer
	if err := json.Unmarshal(a.body, &answers); err != nil || len(answers) != len(tasks) {
		t.Fatalf("submit: %v %+v %s", err, a, a.body)
	}
	for _, p := range c.procs {
		if len(p.ownedCells()) > 0 {
			p.kill()
			break
		}
	}
	var alive *proc
	for _, p := range c.procs {
		select {
		case <-p.abort:
		default:
			alive = p
		}
	}
	for _, ans := range answers {
		if ans.Code != result.OK {
			t.Errorf("task %s: %v", ans.ID, ans.Code)
			continue
		}
		if st := c.waitTask(alive, ans.ID); st.Code != result.OK {
			t.Errorf("task %s ended with %v %s", ans.ID, st.Code, st.Detail)
		}
	}
	c.checkNoOverlap()
}

func (p *proc) ownedCells() []string {
	var out []string
	shards, _ := p.entry.shards.summary()
	for _, s := range shards {
		if strings.HasPrefix(s.GetName(), cellShard) {
			out = append(out, s.GetName())
		}
	}
	return out
}

// checkNoOverlap fails the test if, by the workers' records, two runs of a task
// overlap.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	for _, id := range c.fleet.Records().Overlaps() {
		c.t.Errorf("task %s ran in two places", id)
	}
}

// TestUrgentEvictsAndBatchResumes guards against urgent tasks that wait for
// batch tasks and against lost progress: an urgent task starts while batch tasks
// fill the cells, and the evicted task resumes from its progress and ends once.
func TestUrgentEvictsAndBatchResumes(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.awaitReady()
	var batch []Task
	for i := range 8 {
		batch = append(batch, taskJSON(fmt.Sprint("b", i), "archive", 6000))
	}
	// Each cell has one VM with capacity for four; home cells follow from the ids.
	full := map[string]int{}
	for _, b := range batch {
		home := homeCell(c.procs[0].entry.declared.active(), b.ID, labels.Everything())
		full[home] = min(full[home]+1, 4)
	}
	if full["a"] != 4 && full["b"] != 4 {
		t.Fatalf("the tasks fill no cell: %v", full)
	}
	body, _ := json.Marshal(batch)
	c.procs[0].call(http.MethodPost, "/v1/tasks", nil, body)
	running := func() int {
		n := 0
		for _, runs := range c.fleet.Records().Runs {
			for _, r := range runs {
				if r.State == "running" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "all batch tasks that fit run", func() bool { return running() == full["a"]+full["b"] })
	var urgent []Task
	for i := range 4 {
		urgent = append(urgent, taskJSON(fmt.Sprint("u", i), "preview", 50))
	}
	body, _ = json.Marshal(urgent)
	c.procs[1].call(http.MethodPost, "/v1/tasks", nil, body)
	for _, u := range urgent {
		if st := c.waitTask(c.procs[0], u.ID); st.Code != result.OK {
			t.Errorf("urgent %s: %v", u.ID, st.Code)
		}
	}
	evictions := uint32(0)
	for _, b := range batch {
		st := c.waitTask(c.procs[1], b.ID)
		if st.Code != result.OK || st.Evictions != st.Resumes {
			t.Errorf("batch %s: %+v", b.ID, st)
		}
		evictions += st.Evictions
	}
	if evictions == 0 {
		t.Error("nothing was evicted, so the test checks nothing")
	}
	c.checkNoOverlap()
}

// TestLeavingEndpointGetsNothingNew guards against new requests to an endpoint
// that leaves, because operators drain its VM or because it refused a request
// at one entry, which the other entries learn from their peers.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.awaitReady()
	vms := c.fleet.VMs()
	if a := c.procs[0].call(http.MethodPost, "/v1/vms/"+vms[0].ID+"/drain", nil, nil); a.code != result.OK {
		t.Fatalf("drain: %+v", a)
	}
	// The endpoint on the other VM of the entries' own place, which gets requests.
	self := vms[2].ID
	c.fleet.Endpoints[self].SetFaults(standin.EndpointFaults{Leaving: true})
	allRecorded := func(p *proc) bool {
		leaving := p.entry.view.leavingVMs(p.entry.clock())
		return leaving[vms[0].ID] && leaving[self]
	}
	eventually(t, "all entries have a record of both VMs", func() bool {
		// Only the first entry routes; its peers report the VM to the others.
		c.procs[0].call(http.MethodGet, "/v1/services/svc/", nil, nil)
		return allRecorded(c.procs[0]) && allRecorded(c.procs[1]) && allRecorded(c.procs[2])
	})
	// The tables are updated from the view shortly after.
	eventually(t, "the tables exclude both VMs", func() bool {
		for _, p := range c.procs {
			if p.entry.services.get("svc").offers(vms[0].ID) || p.entry.services.get("svc").offers(self) {
				return false
			}
		}
		return true
	})
	c.fleet.Endpoints[self].SetFaults(standin.EndpointFaults{})
	before := c.fleet.Records().Endpoints
	for i := range 60 {
		if a := c.procs[i%3].call(http.MethodGet, "/v1/services/svc/", nil, nil); a.status != http.StatusOK {
			t.Errorf("%+v", a)
		}
	}
	after := c.fleet.Records().Endpoints
	for _, vm := range []string{vms[0].ID, self} {
		if n := after[vm].Total - before[vm].Total; n != 0 {
			t.Errorf("leaving VM %s got %d new requests", vm, n)
		}
	}
}

// offers reports whether a VM's endpoint gets new requests.
func (svc *service) offers(vm string) bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.table.MayServe(vm)
}

// TestBadInput guards against wrong codes for invalid requests, and against
// invalid changes that take effect.
func TestBadInput(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.awaitReady()
	p := c.procs[0]
	good := taskJSON("x", "reconcile", 1)
	noGroup := good
	noGroup.Labels = nil
	badSelector := good
	badSelector.VMs = "a in ("
	cases := []struct {
		name, method, path string
		header             map[string]string
		body               any
		want               result.Code
	}{
		{"unknown service", "GET", "/v1/services/nope/", nil, nil, result.UnknownService},
		{"bad deadline", "GET", "/v1/services/svc/", map[string]string{HeaderDeadlineMS: "soon"}, nil, result.BadRequest},
		{"bad labels", "GET", "/v1/services/svc/", map[string]string{HeaderLabels: "a==,"}, nil, result.BadRequest},
		{"long key", "POST", "/v1/services/svc/", map[string]string{HeaderKey: strings.Repeat("k", 300)}, nil, result.BadRequest},
		{"unknown task", "GET", "/v1/tasks/nope", nil, nil, result.UnknownTask},
		{"cancel unknown", "DELETE", "/v1/tasks/nope", nil, nil, result.UnknownTask},
		{"bad selector", "GET", "/v1/tasks?selector=a+in+(", nil, nil, result.BadSelector},
		{"cancel everything", "DELETE", "/v1/tasks", nil, nil, result.BadSelector},
		{"no group", "POST", "/v1/tasks", nil, noGroup, result.UnknownGroup},
		{"bad VM selector", "POST", "/v1/tasks", nil, badSelector, result.BadSelector},
		{"unknown field", "POST", "/v1/tasks", nil, map[string]int{"idd": 1}, result.BadRequest},
		{"no JSON", "POST", "/v1/tasks", nil, "x", result.BadRequest},
		{"no If-Match", "PUT", "/v1/declarations", nil, map[string]int{}, result.BadRequest},
		{"stale base", "PUT", "/v1/declarations", map[string]string{"If-Match": "0"}, map[string]int{}, result.RevisionConflict},
		{"bad declarations", "PUT", "/v1/declarations", map[string]string{"If-Match": "1"}, map[string]int{"x": 1}, result.BadDeclarations},
		{"unknown VM", "POST", "/v1/vms/nope/drain", nil, nil, result.NotFound},
		{"unknown path", "GET", "/v2", nil, nil, result.NotFound},
		{"wrong method", "POST", "/v1/members", nil, nil, result.MethodNotAllowed},
	}
	for _, tc := range cases {
		var body []byte
		if tc.body != nil {
			body, _ = json.Marshal(tc.body)
		}
		a := p.call(tc.method, tc.path, tc.header, body)
		if a.code != tc.want || a.status != result.Lookup(tc.want).HTTPStatus {
			t.Errorf("%s: %d %v %s, want %v", tc.name, a.status, a.code, a.body, tc.want)
		}
	}
	if rev := p.entry.declared.active().number; rev != 1 {
		t.Errorf("revision %d after refused changes", rev)
	}
}

// TestMalformedHTTP guards against an entry that accepts malformed HTTP or
// headers over the limit, or fails because of them.
func TestMalformedHTTP(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.awaitReady()
	addr := strings.TrimPrefix(c.procs[0].url, "http://")
	for _, raw := range []string{
		"\x00\x01\x02\r\n\r\n",
		"GET / HTTP/9.9\r\n\r\n",
		"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"GET /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 200_000) + "\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, raw)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode < 400 {
			t.Errorf("%.40q was answered with %d", raw, resp.StatusCode)
		}
		_ = conn.Close()
	}
	if a := c.procs[0].call(http.MethodGet, "/v1/services/svc/", nil, nil); a.status != http.StatusOK {
		t.Errorf("valid request after the malformed ones: %+v", a)
	}
}

// TestSlowCallerIsTimedOut guards against a caller that occupies the entry by
// sending a part of its body only: it gets an answer and nothing stays in flight.
func TestSlowCallerIsTimedOut(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.adjust = func(s *config.Settings) { s.Timing.CallerIdleMS = 200 }
	c.start("e0")
	c.awaitReady()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.procs[0].url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil && resp.Header.Get(HeaderCode) != fmt.Sprint(int(result.BadRequest)) {
		t.Errorf("%+v", resp)
	}
	if n := c.procs[0].entry.services.inFlight(); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}

// TestFleetParameterMismatch guards against an entry that owns shards with
// settings that differ from the fleet's: it routes, but owns and claims nothing.
func TestFleetParameterMismatch(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.awaitReady()
	c.adjust = func(s *config.Settings) { s.Limits.ClaimShards, s.Timing.OutageGraceMS = 5, 7 }
	odd := c.start("odd")
	eventually(t, "the odd entry routes", func() bool {
		return odd.call(http.MethodGet, "/v1/services/svc/", nil, nil).status == http.StatusOK
	})
	eventually(t, "the odd entry has recorded the mismatch", odd.entry.settingsMismatch.Load)
	a := odd.call(http.MethodPost, "/v1/services/svc/", map[string]string{HeaderKey: "k"}, nil)
	if a.code != result.OwnerUnavailable || c.runsOf("k") != 0 {
		t.Errorf("claim at the odd entry: %v, %d runs", a.code, c.runsOf("k"))
	}
	c.procs[0].kill()
	if owned, _ := odd.entry.shards.summary(); len(owned) > 0 {
		t.Errorf("the odd entry owns %v", owned)
	}
}
