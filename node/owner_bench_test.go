package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"leverstile.dev/platform/wiretest"
)

// Sizes and intervals of the load on an owner.
const (
	benchWorkers = 490
	// benchJobPause is the pause between jobs of benchTasks tasks, which work for benchWork.
	benchJobPause = 25 * time.Millisecond
	benchTasks    = 10
	benchWork     = 200 * time.Millisecond
	// benchPayload is the size of a job's payload in bytes.
	benchPayload = 2500
	// benchLongRunning jobs run all the time, with benchLongRunningTasks tasks each.
	benchLongRunning      = 49
	benchLongRunningTasks = 20
	// benchTick is the time that one iteration of the benchmark covers.
	benchTick = 100 * time.Millisecond
	// benchSettle is the time for connections to be opened and for first polls.
	benchSettle = 4 * time.Second
)

// standInsVariable is the environment variable that makes the test binary run the simulated
// platform instead.
const standInsVariable = "LEVERSTILE_TEST_STANDINS"

func TestMain(m *testing.M) {
	if os.Getenv(standInsVariable) != "" {
		runStandIns()
		return
	}
	os.Exit(m.Run())
}

// runStandIns simulates a store, workers and customers: it prints the store's address, reads
// that of the node's front end, and submits jobs until its input ends.
func runStandIns() {
	store := wiretest.NewStore()
	store.Put("op/config", fmt.Appendf(nil, configText, 1))
	work := func(task string) time.Duration {
		if strings.HasPrefix(task, "f") {
			return time.Hour
		}
		return benchWork
	}
	for i := range benchWorkers {
		wiretest.StartWorker(store, wiretest.WorkerOptions{ID: fmt.Sprintf("i-%d", i), Service: "svc", Work: work})
	}
	fmt.Println(store.Address())
	in := bufio.NewScanner(os.Stdin)
	if !in.Scan() {
		return
	}
	go submitJobs(in.Text())
	in.Scan()
}

// submitJobs makes the calls of customers.
func submitJobs(front string) {
	payload := strings.Repeat("x", benchPayload)
	longRunning := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":2000,"mem_mb":100,"long_running":true,"image":"a","target_ms":50}]}`, payload, benchLongRunningTasks)
	short := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"mem_mb":100,"estimated_ms":200}]}`, payload, benchTasks)
	for i := range benchLongRunning {
		post(front, fmt.Sprintf("f%015x", i), longRunning)
	}
	for i := 0; ; i++ {
		go post(front, id(i), short)
		time.Sleep(benchJobPause)
	}
}

// post submits a job until it is accepted.
func post(front, id, body string) {
	for ; ; time.Sleep(benchTick) {
		req, err := http.NewRequest(http.MethodPost, front+"/a/"+id, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Host = "h.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

// startStandIns starts the process of the simulated platform. It returns the address of the
// store and where to write that of the front end.
func startStandIns(b *testing.B) (store string, front io.Writer) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), standInsVariable+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		b.Fatal("the simulated platform did not start")
	}
	return lines.Text(), in
}

// BenchmarkOwner reports the processor time of a node that owns 490 workers at 400 starts a
// second, without that of the simulated platform, which is a process of its own. Run it with
// -cpu 1 -benchtime 10s; a CPU profile then covers the node alone.
func BenchmarkOwner(b *testing.B) {
	address, front := startStandIns(b)
	set := metrics.NewSet()
	n := startNodeAt(address, "entry-0", set)
	b.Cleanup(n.close)
	if _, err := fmt.Fprintln(front, n.front.URL); err != nil {
		b.Fatal(err)
	}
	calls := set.GetOrCreateCounter("leverstile_worker_calls_total")
	for calls.Get() < benchLongRunning*benchLongRunningTasks {
		time.Sleep(benchTick)
	}
	time.Sleep(benchSettle)
	callsBefore, spentBefore, began := calls.Get(), processorTime(b), time.Now()
	for b.Loop() {
		time.Sleep(benchTick)
	}
	made, spent, took := calls.Get()-callsBefore, processorTime(b)-spentBefore, time.Since(began)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(spent.Microseconds())/float64(made), "cpu-µs/call")
	b.ReportMetric(float64(spent.Milliseconds())/took.Seconds(), "cpu-ms/s")
	b.ReportMetric(float64(made)/took.Seconds(), "calls/s")
}

// processorTime is the processor time that the process has used so far, in user and kernel mode.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
