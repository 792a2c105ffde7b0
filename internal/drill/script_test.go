package drill

import (
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
