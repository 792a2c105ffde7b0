package drill

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Five processes of the program and two strangers: who is there is known to all that are left through a link cut one way, a kill, a partition, a
// stall and an end in good order. Budgets are shared among all that are there, and never among fewer than are configured.
func TestProcessesKnowWhoIsThere(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "pepperlead")
	if built, err := exec.Command("go", "build", "-o", program, "pepperlead/cmd/pepperlead").CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, built)
	}
	s, err := Begin(Post{Program: program, Dir: dir, Count: 5, Strangers: 2, Instances: 3, Seed: 1})
	defer s.Close()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Peers(t.Context(), s, 5)
	if err != nil {
		t.Errorf("%v\n%+v", err, c)
	}
	t.Logf("%+v", c)
	for _, p := range s.Processes[:3] {
		if !p.Said("budgets are shared among 5, 3 are configured") || p.Said("shared among 2") {
			log, _ := os.ReadFile(p.Log)
			t.Errorf("%s: budgets are not shared as they should be\n%s", p.Name, log)
		}
	}
}
