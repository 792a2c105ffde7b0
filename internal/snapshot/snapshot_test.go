package snapshot

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

var steps = []string{"create", "write", "write on", "sync", "close", "rename", "sync folder", "done"}

// TestMain is the process that is killed: it writes, and at the step named kills itself as a power cut would.
func TestMain(m *testing.M) {
	dir, step := os.Getenv("SHELF_DIR"), os.Getenv("SHELF_STEP")
	if dir == "" {
		os.Exit(m.Run())
	}
	s := &Store{Dir: dir, BeforeStep: func(at string) {
		if at == step {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}}
	s.Put("x", "kind", 1, []byte("the new one"))
}

func TestAKillLeavesTheOldOrTheNew(t *testing.T) {
	for i, step := range steps {
		s := &Store{Dir: t.TempDir()}
		if err := s.Put("x", "kind", 1, []byte("the old")); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "SHELF_DIR="+s.Dir, "SHELF_STEP="+step)
		if err := c.Run(); err == nil {
			t.Fatalf("%s: was not killed", step)
		}
		want := "the old"
		if i > 5 { // renamed
			want = "the new one"
		}
		if got, err := s.Get("x", "kind", 1); err != nil || string(got) != want {
			t.Errorf("%s: %q %v", step, got, err)
		}
		// What is left over is in nobody's way.
		if err := s.Put("x", "kind", 1, []byte("later")); err != nil {
			t.Error(err)
		}
		if got, err := s.Get("x", "kind", 1); err != nil || string(got) != "later" {
			t.Errorf("%s: then %q %v", step, got, err)
		}
	}
}

// A write that fails at any step says so, and what was there stays.
func TestDamageIsKnown(t *testing.T) {
	s := &Store{Dir: t.TempDir()}
	if _, err := s.Get("x", "kind", 1); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	if err := s.Put("x", "kind", 1, []byte("a body")); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		kind    string
		version int
	}{{"kind", 2}, {"other", 1}} {
		if _, err := s.Get("x", k.kind, k.version); err == nil {
			t.Errorf("%+v was taken", k)
		}
	}
	path := filepath.Join(s.Dir, "x")
	whole, _ := os.ReadFile(path)
	for i := range whole {
		for _, bad := range [][]byte{whole[:i], append(append([]byte(nil), whole[:i]...), append([]byte{whole[i] ^ 1}, whole[i+1:]...)...)} {
			os.WriteFile(path, bad, 0o600)
			if body, err := s.Get("x", "kind", 1); err == nil && string(body) != "a body" {
				t.Fatalf("damaged at %d: %q", i, body)
			}
		}
	}
	os.WriteFile(path, whole, 0o600)
	if os.Mkdir(path+".new", 0o700); s.Put("x", "kind", 1, []byte("b")) == nil {
		t.Error("written through a folder")
	}
	if body, err := s.Get("x", "kind", 1); err != nil || string(body) != "a body" {
		t.Errorf("after a write that failed: %q %v", body, err)
	}
}

func TestReplaceFollowsLinksAndKeepsModes(t *testing.T) {
	dir := t.TempDir()
	file, link := filepath.Join(dir, "file"), filepath.Join(dir, "link")
	os.WriteFile(file, []byte("old"), 0o640)
	os.Symlink(file, link)
	if err := Replace(link, []byte("new")); err != nil {
		t.Fatal(err)
	}
	info, _ := os.Lstat(link)
	got, _ := os.ReadFile(file)
	is, _ := os.Stat(file)
	if info.Mode()&os.ModeSymlink == 0 || string(got) != "new" || is.Mode().Perm() != 0o640 {
		t.Errorf("%v %q %v", info.Mode(), got, is.Mode())
	}
}
