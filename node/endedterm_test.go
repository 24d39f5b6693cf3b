package node_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
)

// leadOf is the part of the owner's record that a successor uses.
type leadOf struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	Session string `json:"session"`
}

func (c *cell) lead(key string) leadOf {
	c.t.Helper()
	value, _ := c.store.Value(key)
	var lead leadOf
	if err := json.Unmarshal(value, &lead); err != nil {
		c.t.Fatalf("%s holds %q: %v", key, value, err)
	}
	return lead
}

// endTerm calls EndTerm at the owner's address.
func (c *cell) endTerm(lead leadOf, session string, successor uint64) *jobsv1.EndTermResponse {
	c.t.Helper()
	client := jobsv1connect.NewOwnerClient(http.DefaultClient, "http://"+lead.Address)
	resp, err := client.EndTerm(c.t.Context(), connect.NewRequest(&jobsv1.EndTermRequest{Term: lead.Term, Session: session, SuccessorTerm: successor}))
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.Msg
}

// TestOwnerTellsItsSuccessorWhichLeasesMayLast guards against a next owner that waits for leases that
// a living predecessor could tell it about.
func TestOwnerTellsItsSuccessorWhichLeasesMayLast(t *testing.T) {
	c := newCell(t, 1, 3)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	lead := c.lead("ls/own/lead")
	if kept := c.lead("ls/own/chain"); kept != lead {
		t.Errorf("the record that outlasts the lease is %+v, want %+v", kept, lead)
	}
	if resp := c.endTerm(lead, "another process", nthTerm(2)); resp.GetEntry() != lead.Entry || resp.GetSession() != lead.Session || len(resp.GetLeases()) > 0 {
		t.Errorf("asked for another process: %v", resp)
	}
	if resp := c.endTerm(lead, lead.Session, lead.Term); len(resp.GetLeases()) > 0 || c.lead("ls/own/lead") != lead {
		t.Errorf("asked by an owner of no later term: %v", resp)
	}
	var leases dispatch.EndedTerm
	c.await("the leases of the ended term", func() bool {
		text := c.endTerm(lead, lead.Session, nthTerm(2)).GetLeases()
		return len(text) > 0 && json.Unmarshal(text, &leases) == nil
	})
	if leases.Term != lead.Term || len(leases.Workers) != len(c.workers) {
		t.Errorf("the ended term tells %+v, want term %d and %d workers", leases, lead.Term, len(c.workers))
	}
}
