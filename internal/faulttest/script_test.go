package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Every drill of the repository can be read, and a script that names an unknown rule set is rejected.
func TestReadScript(t *testing.T) {
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
		t.Error("a script with an unknown rule set is accepted")
	}
}

// Scripts with up to maxProcesses sidecars and endpoints are accepted and larger ones are rejected. All processes have
// different addresses.
func TestReadLargeScripts(t *testing.T) {
	for count, accepted := range map[int]bool{1024: true, maxProcesses: true, maxProcesses + 1: false} {
		script, err := ReadScript("large", fmt.Appendf(nil, "[drill]\nsidecars = %d\nservers = %d\n", count, count))
		if accepted != (err == nil) || accepted && (script.Instances != count || script.Endpoints != count) {
			t.Errorf("%d sidecars and endpoints: error %v", count, err)
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
