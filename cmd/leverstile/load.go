package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/entry"
	"leverstile.dev/standin"
)

// loadCommand sends requests to a service at a fixed mean rate and checks the answers.
type loadCommand struct {
	Targets   string  `long:"targets" required:"true" value-name:"IP:PORT,..." description:"entries, or endpoints with --direct"`
	Service   string  `long:"service" default:"vendline" description:"service to call"`
	Direct    bool    `long:"direct" description:"call endpoints directly, to measure what an entry adds"`
	Rate      float64 `long:"rate" default:"200" description:"requests a second, Poisson arrivals"`
	Seconds   float64 `long:"seconds" default:"5" description:"duration"`
	Body      int     `long:"body" default:"64" description:"bytes of a request's body"`
	Keyed     float64 `long:"keyed" default:"0" description:"part of the requests with an Idempotency-Key"`
	Repeats   int     `long:"repeats" default:"2" description:"how often a keyed request without an answer is repeated elsewhere"`
	Seed      uint64  `long:"seed" default:"1" description:"seed of arrivals"`
	Books     string  `long:"books" value-name:"IP:PORT" description:"control address of the stand-ins, to check runs by key"`
	Output    string  `long:"output" default:"text" choice:"text" choice:"json" description:"form of the output"`
	transport *http.Transport
}

// LoadReport is the result of a load run. Latency counts from the intended start
// of a request, so that a stalled server does not hide the requests that it delays.
type LoadReport struct {
	Asked     int            `json:"asked"`
	Answered  int            `json:"answered"`
	Codes     map[string]int `json:"codes"`
	Broken    []string       `json:"broken,omitempty"`
	P50MS     float64        `json:"p50_ms"`
	P99MS     float64        `json:"p99_ms"`
	P999MS    float64        `json:"p999_ms"`
	PerSecond float64        `json:"answered_per_second"`
}

type loadRun struct {
	cmd     *loadCommand
	targets []string
	mu      sync.Mutex
	report  LoadReport
	hist    *hdrhistogram.Histogram
	keys    map[string]bool
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	c.transport = &http.Transport{MaxIdleConnsPerHost: 256}
	run := &loadRun{
		cmd: c, targets: strings.Split(c.Targets, ","), hist: hdrhistogram.New(1, 120_000_000, 3), keys: map[string]bool{},
		report: LoadReport{Codes: map[string]int{}},
	}
	started := time.Now()
	run.sendRequests()
	run.summarize(time.Since(started))
	if c.Books != "" {
		if err := run.checkRunsByKey(); err != nil {
			return err
		}
	}
	if err := run.print(); err != nil {
		return err
	}
	if len(run.report.Broken) > 0 {
		return result.New(result.PromiseBroken, "%d promises broken", len(run.report.Broken))
	}
	return nil
}

// sendRequests starts each request at its intended time without waiting for
// answers to earlier ones, and returns when all have ended.
func (l *loadRun) sendRequests() {
	rng := rand.New(rand.NewPCG(l.cmd.Seed, 1))
	start := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / l.cmd.Rate * float64(time.Second))
		if at.Seconds() > l.cmd.Seconds {
			break
		}
		keyed := rng.Float64() < l.cmd.Keyed
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		wg.Go(func() { l.request(i, intended, keyed) })
	}
	wg.Wait()
}

func (l *loadRun) request(i int, intended time.Time, keyed bool) {
	body := strconv.Itoa(i) + " " + strings.Repeat("x", l.cmd.Body)
	key := ""
	tries := 1
	if keyed {
		key = fmt.Sprintf("load-%d-%d", l.cmd.Seed, i)
		tries += l.cmd.Repeats
	}
	for n := range tries {
		code, err := l.send(l.targets[(i+n)%len(l.targets)], body, key)
		last := n == tries-1 || err == nil && code.Family() != result.FamilyNotRun
		l.count(intended, code, err, last, key)
		if last {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// send sends a request once. An answer with another request's body yields
// result.PromiseBroken.
func (l *loadRun) send(target, body, key string) (result.Code, error) {
	url := "http://" + target + "/v1/services/" + l.cmd.Service + "/load"
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, errors.Trace(err)
	}
	if key != "" {
		req.Header.Set(entry.HeaderKey, key)
	}
	resp, err := l.cmd.transport.RoundTrip(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	code, _ := strconv.Atoi(resp.Header.Get(entry.HeaderCode))
	if code == 0 && resp.StatusCode == http.StatusOK && !strings.HasSuffix(string(answer), body+"\n") {
		return result.PromiseBroken, nil
	}
	if code == 0 && resp.StatusCode != http.StatusOK {
		return result.TaskFailed, nil
	}
	return result.Code(code), nil
}

func (l *loadRun) count(intended time.Time, code result.Code, err error, last bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last {
		l.report.Asked++
	}
	if key != "" {
		l.keys[key] = true
	}
	switch {
	case err != nil:
		l.report.Codes["connection: "+errors.Cause(err).Error()]++
	case code == result.OK:
		l.report.Answered++
		_ = l.hist.RecordValue(time.Since(intended).Microseconds())
	case code == result.PromiseBroken:
		l.report.Broken = append(l.report.Broken, "an answer belongs to another request")
	default:
		l.report.Codes[code.String()]++
	}
}

func (l *loadRun) summarize(took time.Duration) {
	q := func(p float64) float64 { return float64(l.hist.ValueAtQuantile(p)) / 1000 }
	l.report.P50MS, l.report.P99MS, l.report.P999MS = q(50), q(99), q(99.9)
	l.report.PerSecond = float64(l.report.Answered) / took.Seconds()
}

// checkRunsByKey checks in the endpoints' records that no key ran twice.
func (l *loadRun) checkRunsByKey() error {
	resp, err := http.Get("http://" + l.cmd.Books + "/control/books")
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	var records standin.Records
	if err := json.NewDecoder(resp.Body).Decode(&records); err != nil {
		return errors.Trace(err)
	}
	runs := map[string]int{}
	for _, b := range records.Endpoints {
		for key, n := range b.Runs {
			runs[key] += n
		}
	}
	for key := range l.keys {
		if runs[key] > 1 {
			l.report.Broken = append(l.report.Broken, fmt.Sprintf("key %s ran %d times", key, runs[key]))
		}
	}
	return nil
}

func (l *loadRun) print() error {
	if l.cmd.Output == "json" {
		return errors.Trace(json.NewEncoder(os.Stdout).Encode(l.report))
	}
	r := l.report
	fmt.Printf("asked %d, answered %d (%.0f/s), p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", r.Asked, r.Answered, r.PerSecond, r.P50MS, r.P99MS, r.P999MS)
	var names []string
	for name := range r.Codes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%6d x %s\n", r.Codes[name], name)
	}
	for _, b := range r.Broken {
		fmt.Println("broken:", b)
	}
	return nil
}
