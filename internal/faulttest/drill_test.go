package faulttest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var builtIn string

// program builds the daemon once for all drills of a run.
var program = sync.OnceValues(func() (string, error) {
	var err error
	if builtIn, err = os.MkdirTemp("", "drill"); err != nil {
		return "", err
	}
	built := filepath.Join(builtIn, "pepperlead")
	said, err := exec.Command("go", "build", "-o", built, "pepperlead/cmd/pepperlead").CombinedOutput()
	os.Stdout.Write(said)
	return built, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	os.RemoveAll(builtIn)
	os.Exit(code)
}

// Five processes of the program and two strangers: who is there is known to all that are left through a link cut one
// way, a kill, a partition, a stall and an end in good order. Budgets are shared among all that are there, and never
// among fewer than are configured.
func TestProcessesKnowWhoIsThere(t *testing.T) {
	t.Parallel()
	program, err := program()
	if err != nil {
		t.Fatal(err)
	}
	s, err := StartStage(StageConfig{Program: program, Dir: t.TempDir(), Count: 5, Strangers: 2, Instances: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := RunPeersTest(t.Context(), s, 5)
	if err != nil {
		t.Errorf("%v\n%+v", err, c)
	}
	t.Logf("%+v", c)
	dropped := 0.0
	for _, p := range s.Processes[1:3] { // the first has left
		dropped += p.Metric("pepperlead_peers_dropped_total")
	}
	if dropped == 0 {
		t.Error("nobody has counted what strangers sent")
	}
	for _, p := range s.Processes[:3] {
		if !p.Logged("budgets are shared among 5, 3 are configured") || p.Logged("shared among 2") {
			log, _ := os.ReadFile(p.Log)
			t.Errorf("%s: budgets are not shared as they should be\n%s", p.Name, log)
		}
	}
}

// Five instances and three coordinators, whose rules change while links are cut, processes stand still and the
// coordinator that leads dies.
func TestRulesAreAgreedOn(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"short-cut", "short-naps"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			program, err := program()
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join("../../drills", name+".toml")
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := ReadScript(file, text)
			if err != nil {
				t.Fatal(err)
			}
			r, err := Play(t.Context(), program, t.TempDir(), s, 1)
			if err != nil {
				t.Fatal(err)
			}
			v := r.Verdict
			t.Logf("%+v %+v, the clock was looked at %.3f s late", v, r.Applied, r.ClockLateness)
			if r.Void {
				t.Skip("the machine stood still for longer than a lease") // no figure means anything then
			}
			if !r.Passed(s) || v.Attempts < 300 || v.Repeats == 0 || v.Unleased == 0 {
				t.Errorf("%+v %v", v, r.Failed)
			}
		})
	}
}
