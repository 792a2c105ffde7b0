package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout is how long a process may take until it is ready.
	readyTimeout = 10 * time.Second
	// killMargin is how long after the longest deadline SIGKILL follows SIGTERM at the earliest.
	killMargin = 700 * time.Millisecond
	// maxShutdownDeadline bounds the longest deadline for that purpose.
	maxShutdownDeadline = 3 * time.Second
	// sampleInterval is the time between two looks at the memory and the descriptors of a process.
	sampleInterval = 25 * time.Millisecond
	// inheritedDescriptor is the descriptor of the listener that all processes of a sidecar share.
	inheritedDescriptor = 7
	firstExtraFile      = 3
)

// sidecar is one sidecar. While a new version takes over, it has two processes.
type sidecar struct {
	run     *Run
	name    string
	address string
	limits  Limits
	dir     string
	shared  *os.File // the listener that its processes inherit; nil: each process listens by itself

	changing sync.Mutex // held while a fault replaces its process

	mu       sync.Mutex
	current  *process
	closedTo bool      // no new connections are made to it: it is about to end
	killedAt time.Time // when its only process was last killed
	endedAt  time.Time // when a process was last killed that had not ended long enough after SIGTERM
}

// process is one process of a sidecar.
type process struct {
	sidecar *sidecar
	cmd     *exec.Cmd
	exited  chan struct{}
	log     string

	mu       sync.Mutex
	expected bool // it was told to end, or was killed
}

// newSidecar prepares a sidecar. If shared is set, its processes inherit one listener.
func (r *Run) newSidecar(number int, shared bool) (*sidecar, error) {
	s := &sidecar{run: r, name: fmt.Sprint("n", number), limits: r.plan.Limits}
	listener, err := net.Listen("tcp", r.ip(1+number)+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.dir = filepath.Join(r.dir, s.name)
	if err := os.MkdirAll(filepath.Join(s.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	if shared {
		s.shared, err = listener.(*net.TCPListener).File()
	}
	return s, errors.Join(err, listener.Close())
}

// start starts a process and waits until it is ready. admin is the address of its command server, if it has one.
func (s *sidecar) start(admin string) (*process, error) {
	p, err := s.spawn(admin)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	for !s.isReady(admin) {
		select {
		case <-p.exited:
			return p, fmt.Errorf("%s ended before it was ready", s.name)
		case <-time.After(2 * time.Millisecond):
		}
		if time.Since(began) > readyTimeout {
			s.run.judge.violate(RuleProcess, "%s was not ready within %v", s.name, readyTimeout)
			return p, fmt.Errorf("%s was not ready within %v", s.name, readyTimeout)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = p
	s.closedTo = false
	return p, nil
}

// spawn starts a process.
func (s *sidecar) spawn(admin string) (*process, error) {
	config, err := s.configuration()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(s.run.options.Program, "serve")
	if s.run.options.Debug {
		cmd.Args = append(cmd.Args, "--log", "debug")
	}
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+filepath.Join(s.dir, "tmp"), "GW_ADMIN="+admin)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if s.shared != nil {
		for len(cmd.ExtraFiles) < inheritedDescriptor-firstExtraFile {
			cmd.ExtraFiles = append(cmd.ExtraFiles, nil)
		}
		cmd.ExtraFiles = append(cmd.ExtraFiles, s.shared)
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD="+strconv.Itoa(inheritedDescriptor))
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{sidecar: s, cmd: cmd, exited: make(chan struct{}), log: log.Name()}
	go p.wait()
	go p.watchLimits()
	return p, nil
}

// wait waits for the end of the process, which is a violation unless it was told to end.
func (p *process) wait() {
	_ = p.cmd.Wait() // how it ended is in its state
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	if !expected && !p.sidecar.run.over() {
		p.sidecar.run.judge.violate(RuleProcess, "%s ended by itself: %v", p.sidecar.name, p.cmd.ProcessState)
	}
	close(p.exited)
}

// watchLimits compares the memory and the descriptors of the process with its limits.
func (p *process) watchLimits() {
	told := false
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		memory, descriptors := p.usage()
		p.sidecar.run.recordUsage(memory, descriptors)
		limits := p.sidecar.limits
		if told || memory <= int64(limits.MemoryMB)<<10 && descriptors <= limits.Descriptors {
			continue
		}
		told = true
		p.sidecar.run.judge.violate(RuleProcess, "%s has %d kB of %d MB and %d of %d descriptors",
			p.sidecar.name, memory, limits.MemoryMB, descriptors, limits.Descriptors)
	}
}

// usage returns the resident memory of the process in kB and its open descriptors; 0 for a process that has ended.
func (p *process) usage() (memory int64, descriptors int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)) // gone once the process has ended
	lines := bufio.NewScanner(strings.NewReader(string(status)))
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "VmRSS:"); found {
			memory, _ = strconv.ParseInt(strings.Fields(value)[0], 10, 64) // the kernel writes a number
		}
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // gone once the process has ended
	return memory, len(open)
}

// isReady reports whether a process says that it can serve.
func (s *sidecar) isReady(admin string) bool {
	if s.shared != nil && admin != "" {
		return command(admin, "ready") == "OK ready"
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// command sends a line to a command server and returns the first line of the answer, empty if there is none.
func command(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the answer was read
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return ""
	}
	answer, _ := bufio.NewReader(conn).ReadString('\n') // a part of a line is no answer that anybody waits for
	return strings.TrimSpace(answer)
}

// signal sends a signal to the process. ends says that the process may end because of it.
func (p *process) signal(signal syscall.Signal, ends bool) {
	p.mu.Lock()
	p.expected = p.expected || ends
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal) // fails only if the process has ended
}

// kill kills the only process of the sidecar. What it has in hand is void.
func (s *sidecar) kill() {
	s.mu.Lock()
	p := s.current
	s.current = nil
	s.killedAt = time.Now()
	s.mu.Unlock()
	if p != nil {
		p.signal(syscall.SIGKILL, true)
		<-p.exited
	}
}

// terminate sends SIGTERM, takes new connections for a while longer, and kills the process as early as allowed.
func (s *sidecar) terminate(p *process, newConnections time.Duration) {
	deadline := time.Duration(0)
	for _, c := range s.run.classes {
		deadline = max(deadline, c.Deadline)
	}
	kill := time.After(min(deadline, maxShutdownDeadline) + killMargin)
	p.signal(syscall.SIGTERM, true)
	time.Sleep(newConnections)
	s.mu.Lock()
	s.closedTo = s.current == p // while another process takes over, new connections go to that one
	s.mu.Unlock()
	select {
	case <-p.exited:
	case <-kill:
		s.mu.Lock()
		s.endedAt = time.Now()
		s.mu.Unlock()
		p.signal(syscall.SIGKILL, true)
		<-p.exited
	}
}

// accepts reports whether clients may make new connections.
func (s *sidecar) accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && !s.closedTo
}

// endedSince reports whether a process was killed after a time, as late after its SIGTERM as is allowed.
func (s *sidecar) endedSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt.After(at)
}

// killedSince reports whether the sidecar's process was killed after a time.
func (s *sidecar) killedSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killedAt.After(at)
}
