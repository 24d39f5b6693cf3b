package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
	"leverstile.dev/logging"
	"leverstile.dev/node"
	"leverstile.dev/platform"
	"leverstile.dev/platform/wiretest"
)

// jobDemo runs jobs through two entries and stand-ins of the platform.
type jobDemo struct{}

// Limits of the demo.
const (
	demoJobWorkers   = 3
	demoTaskTime     = 100 * time.Millisecond // run time of a task
	demoStateTimeout = 20 * time.Second       // how long the demo waits for a job state
	demoMaxLease     = 6 * time.Second
	demoJobRetention = time.Minute
)

// Execute implements flags.Commander.
func (c *jobDemo) Execute([]string) error { return runJobsDemo(os.Stdout) }

const (
	demoShortID         = "00000000000000a1"
	demoLongRunningID   = "00000000000000a2"
	demoShortSpec       = `{"id":"` + demoShortID + `","queue":"pricing","steps":[{"count":4,"cpu_milli":500},{"count":2,"cpu_milli":500,"after":[0]}]}`
	demoLongRunningSpec = `{"id":"` + demoLongRunningID + `","queue":"pricing","steps":[{"count":2,"cpu_milli":500,"lasting":true}]}`
)

func runJobsDemo(out io.Writer) error {
	store := wiretest.NewStore()
	defer store.Server.Close()
	store.PutQueue(1, "pricing", "vendline")
	for i := range demoJobWorkers {
		w := wiretest.StartWorker(store, wiretest.WorkerOptions{ID: fmt.Sprintf("worker-%d", i), Service: "vendline", Work: demoWork})
		defer w.Server.Close()
	}
	d := &jobsDemo{out: out}
	ctx, stop := context.WithCancel(context.Background())
	defer d.running.Wait()
	defer stop()
	for i := range 2 {
		if err := d.startEntry(ctx, fmt.Sprintf("entry-%d", i), store.Address()); err != nil {
			return err
		}
	}
	return d.runScenario(ctx)
}

// demoWork returns how long a run of a task works: those of the long-running job outlast the demo.
func demoWork(task string) time.Duration {
	if strings.HasPrefix(task, demoLongRunningID) {
		return time.Hour
	}
	return demoTaskTime
}

type jobsDemo struct {
	out     io.Writer
	clients []jobsv1connect.JobsClient
	running sync.WaitGroup
}

// startEntry starts an entry in this process.
func (d *jobsDemo) startEntry(ctx context.Context, name, store string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	set := metrics.NewSet()
	logger, flush := logging.New(io.Discard, "error", name, set)
	client := platform.NewStore(store, set)
	n := node.New(node.Options{
		Entry: name, PeerAddress: l.Addr().String(), OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeConfig: platform.DecodeConfig,
		FreezeSlack: demoMaxLease, Params: dispatch.Params{MaxTaskLease: demoMaxLease, JobKept: demoJobRetention, RemoteFactor: 1},
	}, node.Ports{Store: client, Lister: client, Workers: platform.NewWorkers(set, 0), Advisor: platform.NewAdvisor("")}, logger, set)
	srv := &http.Server{Handler: n.PeersHandler(), ReadHeaderTimeout: headerTimeout}
	d.running.Go(func() { _ = srv.Serve(l) })
	d.running.Go(func() { _ = n.RunOperators(ctx) })
	d.running.Go(func() {
		_ = n.RunElection(ctx)
		_ = srv.Close()
		flush()
	})
	d.clients = append(d.clients, jobsv1connect.NewJobsClient(http.DefaultClient, "http://"+l.Addr().String()))
	return nil
}

// runScenario submits jobs at one entry and asks the other for their state.
func (d *jobsDemo) runScenario(ctx context.Context) error {
	for _, spec := range []string{demoShortSpec, demoLongRunningSpec} {
		if err := d.submit(ctx, spec); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(d.out, "job %s: 4 tasks, then 2 that wait for them; handed in at one entry\n", demoShortID)
	if err := d.awaitState(ctx, demoShortID, "succeeded"); err != nil {
		return err
	}
	if err := d.awaitState(ctx, demoLongRunningID, "running"); err != nil {
		return err
	}
	explained, err := d.clients[1].Explain(ctx, connect.NewRequest(&jobsv1.ExplainRequest{Id: demoLongRunningID}))
	if err != nil {
		return jobsError(err)
	}
	_, _ = fmt.Fprintf(d.out, "explained at the other entry: %s\n", explained.Msg.GetText())
	pending, err := d.clients[1].Pending(ctx, connect.NewRequest(&jobsv1.PendingRequest{Queue: "pricing"}))
	if err != nil {
		return jobsError(err)
	}
	_, _ = fmt.Fprintf(d.out, "pending in its queue: %d\n", pending.Msg.GetPending())
	if _, err := d.clients[0].Cancel(ctx, connect.NewRequest(&jobsv1.CancelRequest{Id: demoLongRunningID})); err != nil {
		return jobsError(err)
	}
	return d.awaitState(ctx, demoLongRunningID, "cancelled")
}

// submit submits a job; it retries until the entry has read the configuration.
func (d *jobsDemo) submit(ctx context.Context, spec string) error {
	return d.waitUntil(func() (bool, error) {
		resp, err := d.clients[0].Submit(ctx, connect.NewRequest(&jobsv1.SubmitRequest{Spec: []byte(spec)}))
		if connect.CodeOf(err) == connect.CodeUnavailable {
			return false, nil
		}
		return err == nil && resp.Msg.GetRecorded() == jobsv1.Recorded_RECORDED_YES, err
	})
}

func (d *jobsDemo) awaitState(ctx context.Context, id, state string) error {
	err := d.waitUntil(func() (bool, error) {
		resp, err := d.clients[1].Get(ctx, connect.NewRequest(&jobsv1.GetRequest{Id: id}))
		return err == nil && resp.Msg.GetState() == state, nil
	})
	if err == nil {
		_, _ = fmt.Fprintf(d.out, "job %s: %s, says the other entry\n", id, state)
	}
	return errors.Annotatef(err, "job %s %s", id, state)
}

func (d *jobsDemo) waitUntil(holds func() (bool, error)) error {
	for end := time.Now().Add(demoStateTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok, err := holds(); ok || err != nil {
			return err
		}
	}
	return errors.Errorf("state not reached within %v", demoStateTimeout)
}
