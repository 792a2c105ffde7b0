package faulttest

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"pepperlead/internal/faultproxy"
)

// command is the command of the program that a process runs.
type command string

const (
	commandServe       command = "serve"
	commandCoordinator command = "keep"
)

// clockVariable is the environment variable that skews the clock of a process.
const clockVariable = "GW_CLOCK"

// Process is one process of the program: a sidecar or a coordinator.
type Process struct {
	Name           faultproxy.Node
	Log            string // path of its log file
	directory      string
	program        string
	client         *http.Client
	command        command
	metricsAddress string
	clockSkew      string // value of clockVariable, empty for the machine's own clock
	running        *exec.Cmd
	exited         chan struct{} // closed once the process has ended, for whatever reason
	exitError      error         // set before exited is closed
	stopped        bool
	diskFull       bool // its files can no longer grow
}

func (p *Process) configPath() string { return filepath.Join(p.directory, string(p.Name)+".toml") }

func (p *Process) writeConfig(text string) error {
	return os.WriteFile(p.configPath(), []byte(text), 0o600)
}

// Start starts the process, for the first time or again after Kill.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process writes through a descriptor of its own
	running := exec.Command(p.program, string(p.command), "--config", p.configPath())
	running.Stderr = log
	// The process is killed with the test, so that a killed test leaves none behind.
	running.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.clockSkew != "" {
		running.Env = append(os.Environ(), clockVariable+"="+p.clockSkew)
	}
	if err := running.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.running = running
	p.exited = exited
	go func() {
		p.exitError = running.Wait()
		close(exited)
	}()
	return nil
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	if p.running == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// exitedUnexpectedly reports whether the process has ended without Kill or Shutdown.
func (p *Process) exitedUnexpectedly() bool {
	return p.running != nil && !p.Running()
}

// signal sends a signal to the process.
func (p *Process) signal(signal os.Signal) {
	_ = p.running.Process.Signal(signal) // fails only if the process has ended
}

// Kill ends the process at once, without a graceful shutdown.
func (p *Process) Kill() {
	if p.running == nil {
		return
	}
	p.SetStalled(false)
	p.signal(os.Kill)
	<-p.exited
	p.running = nil
}

// Shutdown shuts the process down gracefully and waits until it has ended.
func (p *Process) Shutdown() error {
	p.signal(syscall.SIGTERM)
	<-p.exited
	p.running = nil
	return p.exitError
}

// SetStalled stops the process or continues it.
func (p *Process) SetStalled(stopped bool) {
	if p.stopped == stopped {
		return
	}
	p.stopped = stopped
	if stopped {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// Logged reports whether the log of the process contains the text.
func (p *Process) Logged(text string) bool {
	log, _ := os.ReadFile(p.Log) // a missing log contains nothing
	return strings.Contains(string(log), text)
}

// fetchLines gets a page of the metrics server and calls eachLine with its lines.
func (p *Process) fetchLines(path string, eachLine func(line string)) error {
	response, err := p.client.Get("http://" + p.metricsAddress + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read from
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		eachLine(lines.Text())
	}
	return lines.Err()
}

// AliveCount returns the number of instances that the process sees alive, or -1 if it does not answer.
func (p *Process) AliveCount() int {
	alive := 0
	err := p.fetchLines(pathPeers, func(line string) { alive += strings.Count(line, " alive up=") })
	if err != nil {
		return -1
	}
	return alive
}

// Metrics returns the values of some metrics, all read from one response. A missing metric is 0.
func (p *Process) Metrics(names ...string) []float64 {
	values := make([]float64, len(names))
	// All metrics of a process that does not answer are 0.
	_ = p.fetchLines(pathMetrics, func(line string) {
		name, text, _ := strings.Cut(line, " ")
		if i := slices.Index(names, name); i >= 0 {
			values[i], _ = strconv.ParseFloat(text, 64) // the program writes valid numbers
		}
	})
	return values
}

// Metric returns the value of one metric, 0 if it is missing.
func (p *Process) Metric(name string) float64 { return p.Metrics(name)[0] }
