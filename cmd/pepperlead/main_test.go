package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	var out bytes.Buffer
	if err := run([]string{"version"}, &out); err != nil || !strings.HasPrefix(out.String(), "pepperlead ") {
		t.Errorf("%v %q", err, out.String())
	}
	for _, args := range [][]string{{}, {"dance"}, {"check", "-config", "/nowhere"}, {"counters", "-at", "127.0.0.1:1"}} {
		if err := run(args, &out); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", args, err)
		}
	}
}

// The program as it is started: with a configuration that cannot be served it ends at once, with one plain line.
func TestServeEndsOnABadConfiguration(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pepperlead")
	if built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, built)
	}
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"listen":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{bad, "/nowhere", ""} {
		c := exec.Command(program, "serve")
		c.Env = append(os.Environ(), "GW_CONFIG="+path)
		out, err := c.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "pepperlead: ") {
			t.Errorf("%q: %v %q", path, err, out)
		}
	}
}
