package hotrestart

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// process is a process of a group, with the effects of its callbacks.
type process struct {
	*ProcessGroup
	mu        sync.Mutex
	drained   []string
	applies   int // how often setDrained was called
	processes int
	stuck     bool // it confirms no change
}

func join(t *testing.T, dir string) *process {
	t.Helper()
	g, err := Join(dir, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	p := &process{ProcessGroup: g}
	g.Serve(func(uids []string) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drained = uids
		p.applies++
		return !p.stuck
	}, func() []byte { return []byte(`{"of":"` + g.socketName + `"}`) }, func(n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.processes = n
	})
	within(t, "never applied", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.applies > 0
	})
	return p
}

func (p *process) hasDrained(uids ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Equal(p.drained, uids)
}

func (p *process) hasProcesses(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes == n
}

func within(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// A change through either process is in force in both when the call returns, and outlasts each process, killed ones
// too.
func TestSetDrainedWaitsForAllProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a name far longer than the path of a socket may be, which is some hundred bytes on this system, or less")
	old := join(t, dir)
	if err := old.SetDrained("s-1", true); err != nil || !old.hasDrained("s-1") || old.Processes() != 1 {
		t.Fatal(err, old.drained)
	}
	fresh := join(t, dir)
	within(t, "not shared", func() bool { return old.hasProcesses(2) && fresh.hasProcesses(2) })
	within(t, "not inherited", func() bool { return fresh.hasDrained("s-1") })
	if states := fresh.LearnedStates(); len(states) != 1 || string(states[0]) != `{"of":"`+old.socketName+`"}` {
		t.Errorf("learned %q", states)
	}
	if err := fresh.SetDrained("s-2", true); err != nil || !old.hasDrained("s-1", "s-2") || !fresh.hasDrained("s-1", "s-2") {
		t.Error(err, old.drained, fresh.drained)
	}
	if err := old.SetDrained("s-1", false); err != nil || !old.hasDrained("s-2") || !fresh.hasDrained("s-2") {
		t.Error(err, old.drained, fresh.drained)
	}
	// A process that does not answer delays a change only up to the timeout, and is reported.
	old.mu.Lock()
	old.stuck = true
	old.mu.Unlock()
	start := time.Now()
	if err := fresh.SetDrained("s-3", true); !errors.Is(err, ErrNotConfirmed) || time.Since(start) > time.Second || !fresh.hasDrained("s-2", "s-3") {
		t.Error(err, time.Since(start), fresh.drained)
	}
	// Killed: its socket stays in the directory, and a third process still joins.
	old.mu.Lock()
	old.stuck = false
	old.mu.Unlock()
	old.listener.Close()
	old.ProcessGroup.mu.Lock()
	for peer := range old.peers {
		peer.conn.Close()
	}
	old.ProcessGroup.mu.Unlock()
	within(t, "the share is not raised", func() bool { return fresh.hasProcesses(1) })
	third := join(t, dir)
	within(t, "not joined", func() bool { return third.hasProcesses(2) && fresh.hasProcesses(2) && third.hasDrained("s-2", "s-3") })
}

// Several find a damaged file at once: it is moved out of the way once, and what replaces it stays.
func TestConcurrentReadersMoveADamagedFileOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	a, b := join(t, dir), join(t, dir)
	if err := a.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		if err := os.WriteFile(filepath.Join(dir, drainedFile), []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				if _, err := []*process{a, b}[i%2].Drained(); err != nil {
					t.Error(err)
				}
			})
		}
		all.Go(func() {
			if err := a.SetDrained("s-9", true); err != nil {
				t.Error(err)
			}
		})
		all.Wait()
		if uids, err := b.Drained(); err != nil || !slices.Contains(uids, "s-9") || !b.hasDrained(uids...) {
			t.Fatal(uids, err, b.drained)
		}
	}
}

// Endpoints in force stay drained when the file is damaged.
func TestDamagedFileLosesNoDrainedEndpoint(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	p := join(t, dir)
	if err := p.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dir, drainedFile), []byte("damaged"), 0o600)
	if err := p.SetDrained("s-2", true); err != nil || !p.hasDrained("s-1", "s-2") {
		t.Error(err, p.drained)
	}
	if uids, err := join(t, dir).Drained(); err != nil || !slices.Equal(uids, []string{"s-1", "s-2"}) {
		t.Error(uids, err)
	}
}

func TestUnusableDirectoriesAndFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	p := join(t, dir)
	if err := p.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, drainedFile)
	text, _ := os.ReadFile(path)
	text[len(text)-1]++
	os.WriteFile(path, text, 0o600)
	if uids, err := p.Drained(); err != nil || len(uids) != 0 {
		t.Error(uids, err)
	}
	if left, err := os.ReadFile(path + ".unread"); err != nil || string(left) != string(text) {
		t.Error("not moved out of the way", err)
	}
	// A change that can't be saved is in force all the same, and reported as not saved.
	os.Mkdir(path, 0o700)
	os.WriteFile(filepath.Join(path, "full"), nil, 0o600)
	if err := p.SetDrained("s-4", true); err == nil || !p.hasDrained("s-1", "s-4") {
		t.Error(err, p.drained)
	}
	os.RemoveAll(path)
	// It stays in force after the next change that can be saved, and so does what another process has saved.
	if err := join(t, dir).SetDrained("s-5", true); err != nil || !p.hasDrained("s-5", "s-4") {
		t.Error(err, p.drained)
	}
	os.Remove(filepath.Join(dir, "lock"))
	os.Mkdir(filepath.Join(dir, "lock"), 0o700)
	if err := p.SetDrained("s-6", true); err == nil || !p.hasDrained("s-5", "s-4", "s-6") {
		t.Error(err, p.drained)
	}
	// A process that never answers delays Join only up to the timeout.
	l, err := net.Listen("unix", filepath.Join(dir, "y"+socketSuffix))
	if err != nil {
		t.Skip(err)
	}
	defer l.Close()
	start := time.Now()
	join(t, dir)
	if time.Since(start) > time.Second {
		t.Error("delayed by", time.Since(start))
	}
	os.Chmod(dir, 0o777)
	_, err = Join(dir, logrus.New())
	if err == nil {
		t.Fatal("a directory that all may write to was accepted")
	}
	var drained []string
	g := Standalone(err, logrus.New())
	g.Serve(func(uids []string) bool { drained = uids; return true }, nil, func(int) {})
	if failure := g.SetDrained("s-1", true); !errors.Is(failure, err) || !slices.Equal(drained, []string{"s-1"}) || g.Processes() != 1 {
		t.Error("standalone:", failure, drained)
	}
}
