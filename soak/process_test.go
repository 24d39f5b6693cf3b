package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const settings = `node = %q
zone = "a"
ip = "127.0.0.1"
internal_ports = [%d, %d]
heartbeat_ms = 1000
[listen_addresses]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
[platform]
address = %q
min_ttl_ms = 1000
[bounds]
grace_s = 4
max_hold_ms = %d
stop_timeout_ms = 900
harm_ms = 4000
contact_ms = 3000
thaw_slack_ms = 300
status_s = 600
pace_ms = 100
restore_ms = 100
`

// process is one leverstile node. A fault that signals it locks signals, one of its
// connection to the store locks path.
type process struct {
	name  string
	front string
	dir   string
	proxy *proxy
	cmd   *exec.Cmd
	done  chan struct{}

	// suspended is for how long its VM was suspended, over all restarts.
	suspended time.Duration

	signals, path sync.Mutex
}

// Ports of processes are below the range from which the system takes ports for outgoing
// connections: the port of a process must stay free while it is restarted.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

func freePort(t *testing.T) int {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
	t.Fatal("no free port")
	return 0
}

func (w *world) newProcess(i int) *process {
	p := &process{name: fmt.Sprintf("entry-%d", i), dir: w.t.TempDir()}
	var err error
	if p.proxy, err = newProxy(w.store.Address()); err != nil {
		w.t.Fatal(err)
	}
	peers, front, ready := freePort(w.t), freePort(w.t), freePort(w.t)
	p.front = fmt.Sprintf("127.0.0.1:%d", front)
	text := fmt.Sprintf(settings, p.name, peers, peers+1, front, ready, p.proxy.address(), w.maxLease.Milliseconds())
	if err := os.WriteFile(filepath.Join(p.dir, "node.toml"), []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.start(p)
	return p
}

func (p *process) suspendedFile() string { return filepath.Join(p.dir, "suspended") }

// start runs a process, and restarts it if it ends at once, as the platform does.
func (w *world) start(p *process) {
	for range 10 {
		w.startOnce(p)
		select {
		case <-p.done:
			time.Sleep(100 * time.Millisecond)
		case <-time.After(200 * time.Millisecond):
			return
		}
	}
	w.t.Errorf("%s does not stay up", p.name)
}

func (w *world) startOnce(p *process) {
	p.cmd = exec.Command(w.binary, "node", "--metrics-port", "0", "--log-level", "debug")
	p.cmd.Env = append(os.Environ(), "LEVERSTILE_BOOT="+filepath.Join(p.dir, "node.toml"), "LEVERSTILE_TEST_SUSPENDED="+p.suspendedFile(),
		"GORACE=log_path="+filepath.Join(p.dir, raceReportPrefix))
	p.cmd.Stdout, p.cmd.Stderr = w.log, w.log
	if err := p.cmd.Start(); err != nil {
		w.t.Errorf("%s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() { _ = cmd.Wait(); close(done) }()
}

// end signals a process of this soak and waits until it has ended.
func (p *process) end(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.done:
	case <-time.After(8 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// owner returns the entry that the store names as the owner, or nil.
func (w *world) owner() *process {
	value, ok := w.store.Value("ls/own/lead")
	if !ok {
		return nil
	}
	var lead struct {
		Entry string `json:"entry"`
	}
	if err := json.Unmarshal(value, &lead); err != nil {
		return nil
	}
	for _, p := range w.procs {
		if p.name == lead.Entry {
			return p
		}
	}
	return nil
}
