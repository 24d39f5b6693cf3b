package node_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/platform/wiretest"
)

// While the store refuses watches, the owner receives jobs and cancellations by hints
// from the entries that recorded them.
func TestOwnerReceivesJobsWithoutItsWatch(t *testing.T) {
	c := newCell(t, 2, 1)
	c.submit(0, id(1), twoSteps)
	c.awaitState(1, id(1), "succeeded") // there is an owner, and both entries have its address
	c.store.SetFault(func(_, path string) wiretest.Fault {
		if path == "/kv-watch" {
			return wiretest.FaultBusy
		}
		return wiretest.FaultNone
	})
	time.Sleep(2 * time.Second) // watches under way end within 1.5 s
	for n := range c.nodes {
		c.submit(n, id(10+n), twoSteps)
		c.submit(n, id(20+n), `{"spec":"s","steps":[{"count":1,"cpu":500,"long_running":true}]}`)
		c.awaitState(n, id(10+n), "succeeded")
		c.awaitState(n, id(20+n), "running")
		if status, _, _ := c.call(n, "DELETE", id(20+n), ""); status != http.StatusOK {
			t.Fatalf("cancel: %d", status)
		}
		c.awaitState(n, id(20+n), "cancelled")
	}
}

// A hint that arrives late is not taken for a new job.
func TestOldHintsAreIgnored(t *testing.T) {
	c := newCell(t, 1, 1)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	owner := jobsv1connect.NewOwnerClient(http.DefaultClient, "http://"+c.nodes[0].address)
	old := bytes.Replace([]byte(`{"id":"ID","queue":"q","accepted_ms":1,"steps":[{"count":1,"cpu_milli":100}]}`), []byte("ID"), []byte(id(7)), 1)
	if _, err := owner.NoteIntake(context.Background(), connect.NewRequest(&jobsv1.NoteIntakeRequest{Id: id(7), Record: old})); err != nil {
		t.Fatal(err)
	}
	resp, err := owner.GetJob(context.Background(), connect.NewRequest(&jobsv1.GetJobRequest{Id: id(7)}))
	if err != nil || resp.Msg.GetKnown() {
		t.Errorf("an old hint was processed: %v, %v", resp, err)
	}
	for task := range c.workers[0].Starts() {
		if strings.HasPrefix(task, id(7)) {
			t.Errorf("%s was started", task)
		}
	}
}
