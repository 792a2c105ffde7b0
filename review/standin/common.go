package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// caseRun is one run of a case: its temporary folder, its record and the processes that it started.
type caseRun struct {
	trouble bool   // false: the same without the disruption
	dir     string // temporary folder
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	children []*process
}

// stop ends a run early with an exit code.
type stop struct {
	code   int
	reason string
}

// cannot ends the run because it could not be carried out.
func cannot(format string, args ...any) {
	panic(stop{cannotRun, fmt.Sprintf(format, args...)})
}

// must ends the run if err is not nil.
func must(err error) {
	if err != nil {
		cannot("%v", err)
	}
}

// note writes a line to the record, with the seconds since the start.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	if _, err := c.record.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// close ends all processes that were started and removes the temporary folder.
func (c *caseRun) close() {
	for _, child := range c.children {
		child.kill()
	}
	if err := os.RemoveAll(c.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := c.record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// path returns a path in the temporary folder.
func (c *caseRun) path(name string) string { return filepath.Join(c.dir, name) }

// writeFile writes a file in the temporary folder and returns its path.
func (c *caseRun) writeFile(name, text string) string {
	must(os.WriteFile(c.path(name), []byte(text), 0o600))
	return c.path(name)
}

// process is a process of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// runCommand returns the `run` command of the deploy file.
func runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		cannot("deploy/balancer.toml has no run command")
	}
	return string(found[1])
}

// startSidecar starts a sidecar by the `run` command of the deploy file, with its configuration in $GW_CONFIG.
func (c *caseRun) startSidecar(name, config string, env ...string) *process {
	tmp := c.path("tmp-" + name)
	must(os.MkdirAll(tmp, 0o700))
	env = append([]string{"GW_CONFIG=" + config, "TMPDIR=" + tmp}, env...)
	return c.startProcess(name, env, "/bin/sh", "-c", runCommand())
}

// startProcess starts a process, whose log goes to a file in the temporary folder.
func (c *caseRun) startProcess(name string, env []string, command string, args ...string) *process {
	log, err := os.OpenFile(c.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	p := &process{name: name, cmd: exec.Command(command, args...), log: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	c.children = append(c.children, p)
	c.note("%s started, process %d", name, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) { must(p.cmd.Process.Signal(s)) }

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process if it runs.
func (p *process) kill() {
	if !p.ended() {
		if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintln(os.Stderr, err)
		}
		<-p.done
	}
	if err := p.log.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		fmt.Fprintln(os.Stderr, err)
	}
}

// copyLog copies what a process has logged to the record.
func (c *caseRun) copyLog(p *process) {
	text, err := os.ReadFile(p.log.Name())
	must(err)
	c.note("log of %s:", p.name)
	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte{'\n'}) {
		c.note("    %s", line)
	}
}

// tool runs a command of the project to its end and returns its output.
func (c *caseRun) tool(args ...string) (string, error) {
	cmd := exec.Command("bin/pepperlead", args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.CombinedOutput()
	c.note("pepperlead %v: %s%s", args, bytes.TrimSpace(out), errorText(err))
	return string(out), err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// freePort returns a port that is free on the address for TCP and UDP.
func freePort(ip string) int {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		must(err)
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
		must(l.Close())
		if err == nil {
			must(u.Close())
			return port
		}
	}
	cannot("no free port on %s", ip)
	return 0
}

// freeAddress returns a free address on 127.0.0.1.
func freeAddress() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort("127.0.0.1"))) }

// await waits until a condition holds, and ends the run if it does not in time.
func await(what string, within time.Duration, condition func() bool) {
	for end := time.Now().Add(within); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			cannot("not in time: %s", what)
		}
	}
}

// get fetches a URL and returns status and body; the status is 0 after an error.
func get(url string) (int, string) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// awaitHealthy waits until the sidecar that listens on the address answers its health check.
func awaitHealthy(address string, p *process) {
	await("health of "+address, 20*time.Second, func() bool {
		if p.ended() {
			cannot("%s has ended", p.name)
		}
		status, _ := get("http://" + address + "/_health")
		return status == http.StatusOK
	})
}
