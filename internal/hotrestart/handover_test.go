package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// process is one of a sidecar, without the sidecar.
type process struct {
	*ProcessGroup
	mu    sync.Mutex
	out   []string
	looks int
	parts int
	deaf  bool
}

func join(t *testing.T, dir string) *process {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := Join(dir, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	p := &process{ProcessGroup: k}
	k.Serve(func(uids []string) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.out = uids
		p.looks++
		return !p.deaf
	}, func() []byte { return []byte(`{"of":"` + k.name + `"}`) }, func(n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.parts = n
	})
	within(t, "never looked", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.looks > 0
	})
	return p
}

func (p *process) obeys(uids ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Equal(p.out, uids)
}

func (p *process) shares(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts == n
}

func within(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// What is done by hand through either process is in force in both when the call comes back, over the end of each, killed ones too.
func TestProcessesObeyBeforeTheAnswer(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a name far longer than the path of a socket may be, which is some hundred bytes on this system, or less")
	old := join(t, dir)
	if err := old.SetDrained("s-1", true); err != nil || !old.obeys("s-1") || old.Processes() != 1 {
		t.Fatal(err, old.out)
	}
	fresh := join(t, dir)
	within(t, "not shared", func() bool { return old.shares(2) && fresh.shares(2) })
	within(t, "not taken over", func() bool { return fresh.obeys("s-1") })
	if told := fresh.LearnedStates(); len(told) != 1 || string(told[0]) != `{"of":"`+old.name+`"}` {
		t.Errorf("told %q", told)
	}
	if err := fresh.SetDrained("s-2", true); err != nil || !old.obeys("s-1", "s-2") || !fresh.obeys("s-1", "s-2") {
		t.Error(err, old.out, fresh.out)
	}
	if err := old.SetDrained("s-1", false); err != nil || !old.obeys("s-2") || !fresh.obeys("s-2") {
		t.Error(err, old.out, fresh.out)
	}
	// One that hears nothing holds nobody up, and is named.
	old.mu.Lock()
	old.deaf = true
	old.mu.Unlock()
	begun := time.Now()
	if err := fresh.SetDrained("s-3", true); !errors.Is(err, ErrNotConfirmed) || time.Since(begun) > time.Second || !fresh.obeys("s-2", "s-3") {
		t.Error(err, time.Since(begun), fresh.out)
	}
	// Killed: its socket stays in the folder, and a third one still comes.
	old.mu.Lock()
	old.deaf = false
	old.mu.Unlock()
	old.socket.Close()
	old.ProcessGroup.mu.Lock()
	for o := range old.others {
		o.conn.Close()
	}
	old.ProcessGroup.mu.Unlock()
	within(t, "the rest is not taken", func() bool { return fresh.shares(1) })
	third := join(t, dir)
	within(t, "not met", func() bool { return third.shares(2) && fresh.shares(2) && third.obeys("s-2", "s-3") })
}

// A file that has come to harm is found by several at once: it is set beside once, and nothing that is written in its place with it.
func TestManyFindOneDamagedFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	a, b := join(t, dir), join(t, dir)
	if err := a.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		if err := os.WriteFile(filepath.Join(dir, kept), []byte("harmed"), 0o600); err != nil {
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
		if uids, err := b.Drained(); err != nil || !slices.Contains(uids, "s-9") || !b.obeys(uids...) {
			t.Fatal(uids, err, b.out)
		}
	}
}

// What is in force outlasts the file.
func TestHarmLosesNoBan(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	p := join(t, dir)
	if err := p.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dir, kept), []byte("harmed"), 0o600)
	if err := p.SetDrained("s-2", true); err != nil || !p.obeys("s-1", "s-2") {
		t.Error(err, p.out)
	}
	if uids, err := join(t, dir).Drained(); err != nil || !slices.Equal(uids, []string{"s-1", "s-2"}) {
		t.Error(uids, err)
	}
}

func TestBadFoldersAndFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "x")
	p := join(t, dir)
	if err := p.SetDrained("s-1", true); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, kept)
	text, _ := os.ReadFile(path)
	text[len(text)-1]++
	os.WriteFile(path, text, 0o600)
	if uids, err := p.Drained(); err != nil || len(uids) != 0 {
		t.Error(uids, err)
	}
	if left, err := os.ReadFile(path + ".unread"); err != nil || string(left) != string(text) {
		t.Error("not left beside", err)
	}
	// What cannot be kept is in force all the same, and said not to be kept.
	os.Mkdir(path, 0o700)
	os.WriteFile(filepath.Join(path, "full"), nil, 0o600)
	if err := p.SetDrained("s-4", true); err == nil || !p.obeys("s-1", "s-4") {
		t.Error(err, p.out)
	}
	os.RemoveAll(path)
	// Nor does it end with the next that can be kept, nor what was done through another door by what cannot.
	if err := join(t, dir).SetDrained("s-5", true); err != nil || !p.obeys("s-5", "s-4") {
		t.Error(err, p.out)
	}
	os.Remove(filepath.Join(dir, "lock"))
	os.Mkdir(filepath.Join(dir, "lock"), 0o700)
	if err := p.SetDrained("s-6", true); err == nil || !p.obeys("s-5", "s-4", "s-6") {
		t.Error(err, p.out)
	}
	// One that answers in another tongue, or not at all, holds up nobody for long.
	l, err := net.Listen("unix", filepath.Join(dir, "y"+linkEnd))
	if err != nil {
		t.Skip(err)
	}
	defer l.Close()
	begun := time.Now()
	join(t, dir)
	if time.Since(begun) > time.Second {
		t.Error("held up for", time.Since(begun))
	}
	os.Chmod(dir, 0o777)
	_, err = Join(dir, logrus.New())
	if err == nil {
		t.Fatal("a folder that all may write to was taken")
	}
	var out []string
	k := Standalone(err, logrus.New())
	k.Serve(func(uids []string) bool { out = uids; return true }, nil, func(int) {})
	if told := k.SetDrained("s-1", true); !errors.Is(told, err) || !slices.Equal(out, []string{"s-1"}) || k.Processes() != 1 {
		t.Error("with no folder:", told, out)
	}
}
