package snapshot

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// steps are the steps of replacing a file. renamed says whether the file has its new content if the process is killed
// before the step.
var steps = []struct {
	name    string
	renamed bool
}{
	{"create", false}, {"write", false}, {"rest of write", false}, {"sync", false}, {"close", false}, {"rename", false},
	{"sync directory", true}, {"done", true},
}

const (
	envKilledDir  = "SNAPSHOT_KILLED_DIR"  // directory of the killed process's store; empty: run the tests
	envKilledStep = "SNAPSHOT_KILLED_STEP" // the step before which the process is killed
)

// TestMain runs the tests or, with envKilledDir set, acts as the killed process: it stores a value and kills itself
// before the given step, as a power failure would.
func TestMain(m *testing.M) {
	dir := os.Getenv(envKilledDir)
	if dir == "" {
		os.Exit(m.Run())
	}
	s := &Store{Dir: dir, files: killedFileSystem{}}
	s.Put("x", "kind", 1, []byte("the new one"))
	killBefore("done")
}

// killBefore kills the process if it is to be killed before this step.
func killBefore(step string) {
	if step == os.Getenv(envKilledStep) {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
}

// killedFileSystem kills the process before the step given in the environment.
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

// killedFile kills the process before a step on a file, or in the middle of a write.
type killedFile struct{ writableFile }

func (f killedFile) Write(content []byte) (int, error) {
	killBefore("write")
	first, err := f.writableFile.Write(content[:len(content)/2])
	if err != nil {
		return first, err
	}
	killBefore("rest of write")
	second, err := f.writableFile.Write(content[len(content)/2:])
	return first + second, err
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
		store := &Store{Dir: t.TempDir()}
		if err := store.Put("x", "kind", 1, []byte("the old")); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), envKilledDir+"="+store.Dir, envKilledStep+"="+step.name)
		if err := command.Run(); err == nil {
			t.Fatalf("%s: the process was not killed", step.name)
		}
		want := "the old"
		if step.renamed {
			want = "the new one"
		}
		if got, err := store.Get("x", "kind", 1); err != nil || string(got) != want {
			t.Errorf("%s: got %q, error %v, want %q", step.name, got, err, want)
		}
		// A leftover temporary file does not prevent the next write.
		if err := store.Put("x", "kind", 1, []byte("later")); err != nil {
			t.Error(err)
		}
		if got, err := store.Get("x", "kind", 1); err != nil || string(got) != "later" {
			t.Errorf("%s: after the next write: got %q, error %v", step.name, got, err)
		}
	}
}

// Get returns an error for a damaged value, and a write that fails leaves the old value.
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
			t.Errorf("a value was read with another kind or version: %+v", k)
		}
	}
	path := filepath.Join(s.Dir, "x")
	intact, _ := os.ReadFile(path)
	for i := range intact {
		for _, damaged := range [][]byte{
			intact[:i], // truncated
			append(append([]byte(nil), intact[:i]...), append([]byte{intact[i] ^ 1}, intact[i+1:]...)...),
		} {
			os.WriteFile(path, damaged, 0o600)
			if body, err := s.Get("x", "kind", 1); err == nil && string(body) != "a body" {
				t.Fatalf("a file damaged at byte %d was read as %q", i, body)
			}
		}
	}
	os.WriteFile(path, intact, 0o600)
	if os.Mkdir(path+".new", 0o700); s.Put("x", "kind", 1, []byte("b")) == nil {
		t.Error("a write succeeded although a directory has the name of the temporary file")
	}
	if body, err := s.Get("x", "kind", 1); err != nil || string(body) != "a body" {
		t.Errorf("after a failed write: got %q, error %v", body, err)
	}
}

// Replace writes to the target of a symbolic link and keeps its mode.
func TestReplaceFollowsLinksAndKeepsModes(t *testing.T) {
	dir := t.TempDir()
	file, link := filepath.Join(dir, "file"), filepath.Join(dir, "link")
	os.WriteFile(file, []byte("old"), 0o640)
	os.Symlink(file, link)
	if err := Replace(link, []byte("new")); err != nil {
		t.Fatal(err)
	}
	linkInfo, _ := os.Lstat(link)
	got, _ := os.ReadFile(file)
	target, _ := os.Stat(file)
	if linkInfo.Mode()&os.ModeSymlink == 0 || string(got) != "new" || target.Mode().Perm() != 0o640 {
		t.Errorf("link mode %v, content %q, target mode %v", linkInfo.Mode(), got, target.Mode())
	}
}
