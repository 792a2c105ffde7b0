package snapshot

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// steps are those of replacing a file, each with whether the new content counts if the process is killed before it.
var steps = []struct {
	name    string
	renamed bool
}{
	{"create", false}, {"write", false}, {"rest of write", false}, {"sync", false}, {"close", false}, {"rename", false},
	{"sync directory", true}, {"done", true},
}

const (
	envKilledDir  = "SNAPSHOT_KILLED_DIR"  // the store of the process that is killed; empty: this is the test
	envKilledStep = "SNAPSHOT_KILLED_STEP" // the step before which it is killed
)

// TestMain is the process that is killed: it writes, and before the step named kills itself as a power failure would.
func TestMain(m *testing.M) {
	dir := os.Getenv(envKilledDir)
	if dir == "" {
		os.Exit(m.Run())
	}
	s := &Store{Dir: dir, files: killedFileSystem{}}
	s.Put("x", "kind", 1, []byte("the new one"))
	killBefore("done")
}

// killBefore ends the process if it is to be killed before the step.
func killBefore(step string) {
	if step == os.Getenv(envKilledStep) {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
}

// killedFileSystem may end the process before each step.
type killedFileSystem struct{ osFileSystem }

func (k killedFileSystem) Create(path string, mode os.FileMode) (writableFile, error) {
	killBefore("create")
	file, err := k.osFileSystem.Create(path, mode)
	return killedFile{file}, err
}

func (k killedFileSystem) Rename(from, to string) error {
	killBefore("rename")
	return k.osFileSystem.Rename(from, to)
}

func (k killedFileSystem) SyncDirectory(path string) error {
	killBefore("sync directory")
	return k.osFileSystem.SyncDirectory(path)
}

// killedFile may end the process before each step, also within a write.
type killedFile struct{ writableFile }

func (f killedFile) Write(content []byte) (int, error) {
	killBefore("write")
	first, err := f.writableFile.Write(content[:len(content)/2])
	if err != nil {
		return first, err
	}
	killBefore("rest of write")
	rest, err := f.writableFile.Write(content[len(content)/2:])
	return first + rest, err
}

func (f killedFile) Sync() error {
	killBefore("sync")
	return f.writableFile.Sync()
}

func (f killedFile) Close() error {
	killBefore("close")
	return f.writableFile.Close()
}

// A process killed at any step leaves the old value or the new one.
func TestKillLeavesOldOrNewValue(t *testing.T) {
	for _, step := range steps {
		s := &Store{Dir: t.TempDir()}
		if err := s.Put("x", "kind", 1, []byte("the old")); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), envKilledDir+"="+s.Dir, envKilledStep+"="+step.name)
		if err := c.Run(); err == nil {
			t.Fatalf("%s: was not killed", step.name)
		}
		want := "the old"
		if step.renamed {
			want = "the new one"
		}
		if got, err := s.Get("x", "kind", 1); err != nil || string(got) != want {
			t.Errorf("%s: %q %v", step.name, got, err)
		}
		// A temporary file that is left does not prevent the next write.
		if err := s.Put("x", "kind", 1, []byte("later")); err != nil {
			t.Error(err)
		}
		if got, err := s.Get("x", "kind", 1); err != nil || string(got) != "later" {
			t.Errorf("%s: then %q %v", step.name, got, err)
		}
	}
}

// A damaged value is an error, and so is a write that fails, which leaves the old value.
func TestDamageIsDetected(t *testing.T) {
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
			t.Errorf("%+v was accepted", k)
		}
	}
	path := filepath.Join(s.Dir, "x")
	intact, _ := os.ReadFile(path)
	for i := range intact {
		for _, damaged := range [][]byte{intact[:i], append(append([]byte(nil), intact[:i]...), append([]byte{intact[i] ^ 1}, intact[i+1:]...)...)} {
			os.WriteFile(path, damaged, 0o600)
			if body, err := s.Get("x", "kind", 1); err == nil && string(body) != "a body" {
				t.Fatalf("damaged at %d: %q", i, body)
			}
		}
	}
	os.WriteFile(path, intact, 0o600)
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
