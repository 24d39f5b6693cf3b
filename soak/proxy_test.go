package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with bytes.
type mode int

const (
	passing      mode = iota
	delaying          // each chunk is delayed
	silent            // nothing is forwarded, in either direction
	requestsOnly      // requests are forwarded, answers are not
	resetting         // connections are reset, new ones too
	losing            // a share of the connections is reset before an answer is forwarded
	slow              // each chunk is delayed so long that calls time out
)

func (m mode) String() string {
	return []string{"passing", "delaying", "silent", "requests only", "resetting", "losing answers", "slow"}[m]
}

// lossShare is the share of the answers at which a losing proxy resets the connection.
const lossShare = 0.4

// proxy forwards connections to the store for one process, or to one worker for all
// processes. Its lock guards mode and conns.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetting {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.copy(up, c, false)
	p.copy(c, up, true)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards bytes as the mode says; bytes held back are lost when the connection ends.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
		if answers && p.currentMode() == losing && rand.Float64() < lossShare {
			reset(to)
			return
		}
		for {
			m := p.currentMode()
			if m == silent || m == requestsOnly && answers {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			if m == delaying {
				time.Sleep(time.Duration(50+rand.IntN(250)) * time.Millisecond)
			}
			if m == slow {
				time.Sleep(time.Duration(200+rand.IntN(1300)) * time.Millisecond)
			}
			break
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
