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
	"strings"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/fakebackend"
)

func TestCommands(t *testing.T) {
	var out bytes.Buffer
	if err := run([]string{"version"}, &out); err != nil || !strings.HasPrefix(out.String(), "pepperlead ") {
		t.Errorf("version: error %v, unexpected output %q", err, out.String())
	}
	for _, args := range [][]string{{}, {"dance"}, {"check", "-config", "/nowhere"}, {"counters", "-at", "127.0.0.1:1"}} {
		if err := run(args, &out); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("arguments %v: got error %v, want one of one line", args, err)
		}
	}
}

// An unsealed list is rejected with its file and line, and accepted once it is sealed. A change after that is detected.
func TestListIsSealedAndChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.toml")
	text := "[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := run([]string{"list", "check", path}, &out)
	if err == nil || !strings.Contains(err.Error(), path+":1: whole: found nothing") {
		t.Errorf("check of an unsealed list: got error %v, want a fault at its line 1", err)
	}
	for issue := 1; issue < 3; issue++ {
		out.Reset()
		if err := run([]string{"list", "seal", path}, &out); err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("1 ready with a weight of 1, issue %d, sealed\n", issue); !strings.HasSuffix(out.String(), want) {
			t.Errorf("unexpected summary of the sealed list: %s", out.String())
		}
	}
	out.Reset()
	if err := run([]string{"list", "check", "--json", path}, &out); err != nil || !strings.Contains(out.String(), `"usable":true`) {
		t.Errorf("check of the sealed list: error %v, output %s", err, out.String())
	}
	sealed, _ := os.ReadFile(path)
	os.WriteFile(path, bytes.Replace(sealed, []byte("127.0.0.1:1"), []byte("127.0.0.1:2"), 1), 0o600)
	if err := run([]string{"list", "check", path}, &out); err == nil || !strings.Contains(err.Error(), "whole.digest") {
		t.Errorf("check of a list changed after sealing: got error %v, want a fault of whole.digest", err)
	}
	if err := run([]string{"list", "seal", path, path}, &out); !errors.Is(err, errUsage) {
		t.Errorf("seal with two files: got error %v, want errUsage", err)
	}
}

// build compiles the program.
func build(t *testing.T, program string) {
	t.Helper()
	if built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, built)
	}
}

// Flags with a single dash, their old form, still work.
func TestSingleDashFlagsWork(t *testing.T) {
	for _, args := range [][]string{{"check", "-config", "../../deploy/standalone.toml"},
		{"check", "-config=../../deploy/standalone.toml"}, {"check", "--config", "../../deploy/standalone.toml"}} {
		var out bytes.Buffer
		if err := run(args, &out); err != nil || !strings.HasPrefix(out.String(), "can be served: 3 offerings") {
			t.Errorf("arguments %v: error %v, unexpected output %s", args, err, out.String())
		}
	}
}

// With an invalid or missing configuration the program ends at once, and prints one line.
func TestServeEndsOnAnInvalidConfiguration(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pepperlead")
	build(t, program)
	invalid := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(invalid, []byte(`{"listen":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{invalid, "/nowhere", ""} {
		c := exec.Command(program, "serve")
		c.Env = append(os.Environ(), "GW_CONFIG="+path)
		out, err := c.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "pepperlead: ") {
			t.Errorf("configuration %q: got error %v and output %q, want an error and one line", path, err, out)
		}
	}
}

// A migrated configuration must be served and follow a list whose weights fall with load. A dry run, an invalid file
// and an existing target must write nothing.
func TestMigratedSidecarFollowsChangingWeights(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	write := func(name, text string) {
		if err := os.WriteFile(file(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	var backends []string
	for range 2 {
		s, err := fakebackend.Start("127.0.0.1:0", fakebackend.Traits{Cores: 4, Queue: 16, Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		backends = append(backends, s.Addr())
	}
	writeList := func(weights ...float64) {
		text := ""
		for i, w := range weights {
			text += fmt.Sprintf("[[server]]\nid = \"s%d\"\naddress = %q\nweight = %g\n", i, backends[i], w)
		}
		if old, err := os.ReadFile(file("servers.list")); err == nil {
			text += string(old[bytes.Index(old, []byte("[whole]")):]) // so that the issue number rises
		}
		write("new.list.part", text)
		if err := run([]string{"list", "seal", file("new.list.part")}, &out); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file("new.list.part"), file("servers.list")); err != nil {
			t.Fatal(err)
		}
	}
	writeList(2, 2)
	old := "[front.http]\nlisten = \"127.0.0.1:1\"\nrequest_id = \"optional\"\n[limits]\npushes = 3\n[[offering]]\nname = \"step\"\n" +
		"quoted_time = \"1s\"\ncut_off = \"2s\"\nrepeats = \"reissuable\"\ndefault = true\n[source]\nkind = \"files\"\n" +
		"files = [\"servers.list\"]\nsealed = true\n"
	write("old.toml", old)
	write("bad.toml", strings.Replace(old, "pushes = 3", "pushes = 30", 1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	type migration struct{ dryRun, from, fault string }
	for _, m := range []migration{{"--dry-run", "old.toml", ""}, {"--dry-run=false", "bad.toml", ":5: limits.pushes: found 30, allowed"},
		{"--dry-run=false", "old.toml", ""}, {"--dry-run=false", "old.toml", "already exists"}} {
		before, _ := os.ReadFile(file("new.toml"))
		err := run([]string{"migrate", m.dryRun, "--listen", address, "--instances", "20", file(m.from), file("new.toml")}, &out)
		after, _ := os.ReadFile(file("new.toml"))
		if writes := m == (migration{"--dry-run=false", "old.toml", ""}); (err == nil) != (m.fault == "") ||
			err != nil && !strings.Contains(err.Error(), m.fault) || (string(before) != string(after)) != writes {
			t.Errorf("migration %+v: error %v; the target was %q before and is %q after it", m, err, before, after)
		}
	}
	if remaining, _ := filepath.Glob(file(".migrate-*")); len(remaining) > 0 {
		t.Errorf("temporary files remain: %v", remaining)
	}
	program := file("pepperlead")
	build(t, program)
	c := exec.Command(program, "serve", "--config", file("new.toml"))
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { c.Process.Signal(syscall.SIGTERM); c.Wait() }()
	get := func(page string) (int, string) {
		answer, err := http.Get("http://" + address + page)
		if err != nil {
			return 0, err.Error()
		}
		defer answer.Body.Close()
		body, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, string(body)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if status, body := get("/_health"); status == 200 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("the sidecar was not healthy within 10 s: %s", body)
		}
	}
	for n := range 10 {
		writeList(2, 2/float64(n+2)) // the load of the second server rises
		for range 5 {
			if status, body := get("/step"); status != 200 {
				t.Errorf("request to /step: status %d, body %s", status, body)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, counters := get("/_counters")
		if strings.Contains(counters, "lists_refused 0\n") && strings.Contains(counters, "servers_known 2\n") && !strings.Contains(counters, "lists 1\n") {
			break
		} else if time.Now().After(end) {
			t.Fatalf("the sidecar did not follow the list within 5 s: counters %s", counters)
		}
	}
}

// writeConfig writes the configuration of an instance with one endpoint, and returns its path and the address for commands.
func writeConfig(t *testing.T, dir string) (config, admin string) {
	t.Helper()
	var addresses [2]string
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		listener.Close()
	}
	text := "[front.http]\nlisten = \"" + addresses[0] + "\"\n[admin]\nlisten = \"" + addresses[1] + "\"\n[[offering]]\nname = \"step\"\n" +
		"quoted_time = \"1s\"\ncut_off = \"2s\"\nrepeats = \"reissuable\"\n[source]\nkind = \"fixed\"\n" +
		"[[source.server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n"
	config = filepath.Join(dir, "alone.toml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config, addresses[1]
}

// isReady reports whether an instance becomes ready.
func isReady(admin string) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var out bytes.Buffer
		if run([]string{"call", "--at", admin, "ready"}, &out) == nil && strings.HasPrefix(out.String(), "OK") {
			return true
		}
	}
	return false
}

// If the directory of the process group can't be created, because $TMPDIR is missing or not writable, the program logs
// one error and serves without hot restart.
func TestServesWithoutAProcessGroupDirectory(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "pepperlead")
	build(t, program)
	config, admin := writeConfig(t, dir)
	for _, tmp := range []string{"TMPDIR=" + config, "TMPDIR=/nowhere/at/all", "TMPDIR=/proc"} {
		var log bytes.Buffer
		c := exec.Command(program, "serve", "--config", config)
		c.Env, c.Stderr = append(os.Environ(), tmp), &log
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		ready := isReady(admin)
		c.Process.Signal(syscall.SIGTERM)
		if err := c.Wait(); err != nil || !ready || strings.Count(log.String(), "hot restart disabled") != 1 ||
			strings.Count(log.String(), "level=error") != 1 {
			t.Errorf("environment %s: exit error %v, ready %v, log %s", tmp, err, ready, log.String())
		}
	}
}

// Guards against a process that stops serving, or ends, because nobody reads its log or because signals come in series.
func TestServesWhileNobodyReadsTheLog(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pepperlead")
	build(t, program)
	for name, closed := range map[string]bool{"reader stalls": false, "reader has gone": true} {
		t.Run(name, func(t *testing.T) {
			config, admin := writeConfig(t, t.TempDir())
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			io.Copy(writer, strings.NewReader(strings.Repeat("x", 1<<20))) // until the pipe is full
			if closed {
				reader.Close()
			}
			c := exec.Command(program, "serve", "--config", config)
			c.Env, c.Stderr = append(os.Environ(), "TMPDIR="+t.TempDir()), writer
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			writer.Close()
			ready := isReady(admin)
			for range 5 {
				c.Process.Signal(syscall.SIGHUP)
				time.Sleep(20 * time.Millisecond)
			}
			ready = ready && isReady(admin)
			for range 3 {
				c.Process.Signal(syscall.SIGTERM)
				c.Process.Signal(syscall.SIGHUP)
			}
			ended := make(chan error, 1)
			go func() { ended <- c.Wait() }()
			select {
			case err := <-ended:
				if err != nil || !ready {
					t.Errorf("exit error %v, ready %v", err, ready)
				}
			case <-time.After(8 * time.Second):
				c.Process.Kill()
				t.Error("the process did not end")
			}
		})
	}
}
