package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitUnable = 2 // the case could not run
)

// scene holds what every case needs: the project's folder, a temporary folder, the record, and the processes started.
type scene struct {
	root    string // the project's folder
	dir     string // temporary folder of this run
	trouble bool   // whether the disruption happens

	start  time.Time
	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	procs  []*process
}

// newScene reads the environment: CASE_DIR is the folder of the case, TROUBLE=0 leaves the disruption out.
func newScene() *scene {
	caseDir := os.Getenv("CASE_DIR")
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	must(err)
	dir, err := os.MkdirTemp("", "case-")
	must(err)
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	must(err)
	return &scene{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(),
		record: bufio.NewWriter(file), file: file}
}

// must ends the program as unable to run if there is an error.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(exitUnable)
	}
}

// logf writes a line with the time since the start to the record.
func (s *scene) logf(format string, args ...any) { s.logAt(time.Now(), format, args...) }

func (s *scene) logAt(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", at.Sub(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (s *scene) say(format string, args ...any) {
	s.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// end ends all processes, closes the record and exits.
func (s *scene) end(code int) {
	for _, p := range s.procs {
		p.kill()
	}
	s.mu.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.mu.Unlock()
	_ = os.RemoveAll(s.dir)
	os.Exit(code)
}

// unable ends the case as one that could not run.
func (s *scene) unable(format string, args ...any) {
	s.say("cannot run: "+format, args...)
	s.end(exitUnable)
}

// process is a process of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// runCommand returns the deploy file's command under a key.
func (s *scene) runCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		s.unable("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, key+` = "`); found {
			return strings.TrimSuffix(strings.TrimSpace(rest), `"`)
		}
	}
	s.unable("deploy/balancer.toml has no %s", key)
	return ""
}

// startSidecar starts a sidecar by the run command of the deploy file, with more arguments, environment and files.
func (s *scene) startSidecar(name, arguments string, env []string, files []*os.File) *process {
	command := strings.TrimSpace(s.runCommand("run") + " " + arguments)
	return s.startProcess(name, command, env, files)
}

func (s *scene) startProcess(name, command string, env []string, files []*os.File) *process {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = s.root
	cmd.Env = append(os.Environ(), env...)
	cmd.ExtraFiles = files
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		s.unable("%v", err)
	}
	if err := cmd.Start(); err != nil {
		s.unable("%v", err)
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	s.procs = append(s.procs, p)
	s.logf("%s: started, pid %d: %s", name, cmd.Process.Pid, command)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			s.logf("%s: %s", name, lines.Text())
		}
		p.err = cmd.Wait()
		s.logf("%s: ended: %v", name, p.err)
		close(p.ended)
	}()
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if !p.hasEnded() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// freeAddress returns an address of this machine's loopback that nobody listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// door sends one command to an operators' door and returns its answer.
func door(address, command string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s\n", command)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}
