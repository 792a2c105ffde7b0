package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Every drill of the project can be read.
func TestDrillsCanBeRead(t *testing.T) {
	files, _ := filepath.Glob("../../drills/*.toml")
	if len(files) < 10 {
		t.Fatal(files)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScript(file, text); err != nil {
			t.Error(err)
		}
	}
	if _, err := ReadScript("bad", []byte("[drill]\n[[do]]\nwhat = \"apply\"\nat = \"1s\"\nversion = \"none\"\n[[do]]\nwhat = \"stall\"\n")); err == nil {
		t.Error("a drill of an unknown version is taken")
	}
}

// A fleet of more than a thousand processes and endpoints can be written down; one that no addresses are laid out for
// is a fault that says so.
func TestLargeDrillsCanBeRead(t *testing.T) {
	for n, fine := range map[int]bool{1024: true, maxProcesses: true, maxProcesses + 1: false} {
		s, err := ReadScript("large", fmt.Appendf(nil, "[drill]\nsidecars = %d\nservers = %d\n", n, n))
		if fine != (err == nil) || fine && (s.Instances != n || s.Endpoints != n) {
			t.Errorf("%d: %v", n, err)
		}
	}
	seen := map[string]bool{}
	for i := range maxProcesses + 5 {
		seen[processIP(i)], seen[proxyIP(i)] = true, true
	}
	if len(seen) != 2*(maxProcesses+5) {
		t.Errorf("%d addresses for %d processes", len(seen), maxProcesses+5)
	}
}
