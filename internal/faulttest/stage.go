// Package faulttest starts several processes of the program on loopback, each at an address of its own, with links
// between them that can be cut, and injects faults: kills, stalls, partitions. docs/rehearsing.md, "Drills".
package faulttest

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pepperlead/internal/faultproxy"
)

// Stage holds the processes of a drill. Its folder holds their configurations and logs.
type Stage struct {
	Links     *faultproxy.Network
	Processes []*Process
	dir       string
	program   string
	client    http.Client
}

// Process is one sidecar.
type Process struct {
	Name           faultproxy.Node
	Log            string // file
	stage          *Stage
	command        string // serve or keep
	metricsAddress string
	clockSkew      string // GW_CLOCK
	proc           *exec.Cmd
	exited         chan struct{} // closed once it has ended, by itself too
	exitError      error         // why, from then on
	stopped        bool
	diskFull       bool // its files can grow no more
}

// StageConfig is what the processes are told.
type StageConfig struct {
	Program   string
	Dir       string // that is there
	Count     int
	Strangers int // beyond the count, by turns of another key and another cluster
	Instances int // as configured
	Seed      uint64
}

// maxProcesses is how many processes, and how many servers, loopback addresses are laid out for here.
const maxProcesses = 2048

// Begin starts all processes at once. The caller ends them by Close; after an error all that was started has ended.
func Begin(p StageConfig) (*Stage, error) {
	s, err := begin(p)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// begin gives what it has started, also with an error.
func begin(p StageConfig) (*Stage, error) {
	s := &Stage{Links: faultproxy.New(p.Seed), dir: p.Dir, program: p.Program, client: http.Client{Timeout: 2 * time.Second}}
	if p.Count < 1 || p.Count+p.Strangers > maxProcesses {
		return s, fmt.Errorf("drill: found %d processes, allowed 1 to %d", p.Count+p.Strangers, maxProcesses)
	}
	for i := range 2 {
		key := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("%016x", p.Seed+uint64(i))))
		if err := os.WriteFile(filepath.Join(p.Dir, fmt.Sprint("key", i)), []byte(key), 0o600); err != nil {
			return s, err
		}
	}
	front, pages, meets, err := s.ports()
	if err != nil {
		return s, err
	}
	join := make([]string, 0, 3)
	for i := range min(3, p.Count) {
		join = append(join, strconv.Quote(fmt.Sprintf("%s:%d", reached(i), meets)))
	}
	for i := range p.Count + p.Strangers {
		one := s.process(fmt.Sprint("n", i+1), "serve", fmt.Sprintf("%s:%d", own(i), pages))
		listen, door, err := s.meet(one.Name, i, meets)
		if err != nil {
			return s, err
		}
		key, cluster := 0, "drill"
		if n := i - p.Count; n >= 0 && n%2 == 0 {
			key = 1
		} else if n >= 0 {
			cluster = "another"
		}
		text := fmt.Sprintf("[instance]\nname = %q\ninstances = %d\nseed = \"%x\"\n[front.http]\nlisten = \"%s:%d\"\n[pages]\nlisten = %q\n", one.Name,
			p.Instances, p.Seed*1000+uint64(i), own(i), front, one.metricsAddress) + fmt.Sprintf("[peers]\nlisten = %q\nadvertise = %q\ncluster = %q\n"+
			"key_file = \"key%d\"\njoin = [%s]\n", listen, door, cluster, key, strings.Join(join, ", ")) + "[[offering]]\nname = \"step\"\n" +
			"quoted_time = \"1s\"\ncut_off = \"2s\"\n[source]\nkind = \"fixed\"\n[[source.server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n"
		if err := os.WriteFile(one.config(), []byte(text), 0o600); err != nil {
			return s, err
		}
	}
	for _, one := range s.Processes {
		if err := one.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// process adds one that does not run yet.
func (s *Stage) process(name, verb, pages string) *Process {
	one := &Process{Name: faultproxy.Node(name), Log: filepath.Join(s.dir, name+".log"), stage: s, command: verb, metricsAddress: pages}
	s.Processes = append(s.Processes, one)
	return one
}

// meet opens the links to where a process meets others: it listens at the one address, and is reached at the other.
func (s *Stage) meet(name faultproxy.Node, i, port int) (listen, door string, err error) {
	listen, door = fmt.Sprintf("%s:%d", own(i), port), fmt.Sprintf("%s:%d", reached(i), port)
	at := netip.MustParseAddrPort(listen)
	s.Links.SetAddress(name, at.Addr())
	if _, err = s.Links.TCP(door, name, listen); err == nil {
		_, err = s.Links.UDP(door, name, at)
	}
	return listen, door, err
}

// own is where a process listens and calls from, reached where the links listen for it.
func own(i int) string     { return fmt.Sprintf("127.6.%d.%d", i/250, i%250+1) }
func reached(i int) string { return fmt.Sprintf("127.7.%d.%d", i/250, i%250+1) }

// Ports of drills lie below those from which the kernel has connections leave (ip_local_port_range, 32768 and up): processes connect from the
// same addresses that others of their own listen at.
const (
	firstPort, lastPort = 10000, 32000
	portTries           = 50
)

// ports are three that are free at the first process's address and at its door.
func (s *Stage) ports() (front, pages, meets int, err error) {
	for i, p := range []*int{&front, &pages, &meets} {
		if *p, err = freePort([]string{own(0), own(0), reached(0)}[i]); err != nil {
			return 0, 0, 0, err
		}
	}
	return front, pages, meets, nil
}

// freePort draws one that is free at that address; drills side by side draw others.
func freePort(ip string) (port int, err error) {
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, err
}

func (p *Process) config() string { return filepath.Join(p.stage.dir, string(p.Name)+".toml") }

// Start starts it, also again after Kill.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	proc := exec.Command(p.stage.program, p.command, "--config", p.config())
	proc.Stderr = log
	proc.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a rig that is itself killed leaves nobody behind
	if p.clockSkew != "" {
		proc.Env = append(os.Environ(), "GW_CLOCK="+p.clockSkew)
	}
	if err := proc.Start(); err != nil {
		return err
	}
	p.proc, p.exited = proc, make(chan struct{})
	go func(gone chan struct{}) {
		p.exitError = proc.Wait()
		close(gone)
	}(p.exited)
	return nil
}

// Runs tells whether it is there, and has not ended by itself.
func (p *Process) Runs() bool {
	if p.proc == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends it outright.
func (p *Process) Kill() {
	if p.proc != nil {
		p.Stall(false)
		p.proc.Process.Kill()
		<-p.exited
		p.proc = nil
	}
}

// Leave has it end in good order, and waits for that.
func (p *Process) Leave() error {
	p.proc.Process.Signal(syscall.SIGTERM)
	<-p.exited
	p.proc = nil
	return p.exitError
}

// Stall has it stand still, or go on.
func (p *Process) Stall(still bool) {
	if p.stopped != still {
		p.stopped = still
		p.proc.Process.Signal(map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[still])
	}
}

// Said tells whether it has logged that.
func (p *Process) Said(line string) bool {
	log, _ := os.ReadFile(p.Log)
	return strings.Contains(string(log), line)
}

// page asks one of its pages, line by line.
func (p *Process) page(path string, each func(line string)) error {
	answer, err := p.stage.client.Get("http://" + p.metricsAddress + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		each(lines.Text())
	}
	return lines.Err()
}

// Alive is how many sidecars it holds to be there; -1: it does not answer.
func (p *Process) Alive() (n int) {
	if p.page("/_peers", func(line string) { n += strings.Count(line, " alive up=") }) != nil {
		return -1
	}
	return n
}

// Figures are some of its metrics, looked at in one moment; 0 where there is none of that name.
func (p *Process) Figures(names ...string) []float64 {
	values := make([]float64, len(names))
	p.page("/metrics", func(line string) {
		of, text, _ := strings.Cut(line, " ")
		if i := slices.Index(names, of); i >= 0 {
			values[i], _ = strconv.ParseFloat(text, 64)
		}
	})
	return values
}

// Figure is one of them.
func (p *Process) Figure(name string) float64 { return p.Figures(name)[0] }

// Until waits until each of them holds so many to be there, and tells how long that took.
func (s *Stage) Until(ctx context.Context, some []*Process, many int) (time.Duration, error) {
	start := time.Now()
	for _, p := range some {
		for {
			n := p.Alive()
			if n == many {
				break
			}
			select {
			case <-ctx.Done():
				return time.Since(start), fmt.Errorf("%s holds %d to be there, not %d, after %v", p.Name, n, many, time.Since(start))
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return time.Since(start), nil
}

// Close ends all.
func (s *Stage) Close() {
	for _, p := range s.Processes {
		p.Kill()
	}
	s.Links.Close()
}
