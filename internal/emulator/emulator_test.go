package emulator_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

const dir = "../../scenarios"

func load(name string) ([]byte, error) { return os.ReadFile(filepath.Join(dir, name)) }

func read(t testing.TB, text string) *emulator.Scenario {
	t.Helper()
	sc, err := emulator.Read("x.toml", []byte(text), load)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func play(t testing.TB, sc *emulator.Scenario, seed uint64, name string) *judge.Verdict {
	t.Helper()
	factory, err := baseline.Factory(name)
	if err != nil {
		t.Fatal(err)
	}
	return emulator.New(sc, seed, factory, nil).Run()
}

// Every scenario that ships is played by the module in a short form, and no rule is broken.
func TestModuleKeepsTheRulesOnAllScenarios(t *testing.T) {
	all, err := filepath.Glob(dir + "/*.toml")
	if err != nil || len(all) < 12 {
		t.Fatal(len(all), err)
	}
	for _, path := range all {
		name := filepath.Base(path)
		text, err := load(name)
		if err != nil {
			t.Fatal(err)
		}
		v := play(t, read(t, string(text)), 3, "module")
		if !v.NoViolations() || v.ClientRequests < 1000 || v.Service < 0.6 {
			t.Errorf("%s: %v, service %.3f of %d requests: %v", name, v.ViolationCounts, v.Service, v.ClientRequests, v.Violations)
		}
		if again := play(t, read(t, string(text)), 3, "module"); !reflect.DeepEqual(v, again) {
			t.Errorf("%s: the second run was another", name)
		}
	}
}

// A further try that reaches its sidecar when its client waits no longer is nobody's: seed 19 of this day has two, which the judge
// once held against the module.
func TestTriesThatComeTooLateAreNobodys(t *testing.T) {
	text, _ := load("monday-without-b.toml")
	if v := play(t, read(t, string(text)), 19, "module"); !v.NoViolations() {
		t.Errorf("%v", v.Violations)
	}
}

const overlay = "base = \"calm.toml\"\nname = \"x\"\n"

// What is drawn for one purpose moves nothing else: a fault does not change what clients ask for.
func TestStreamsStandApart(t *testing.T) {
	plain := emulator.Plan(read(t, overlay), 7)
	for _, fault := range []string{"kind = \"slow\"\nat = \"5s\"\nfor = \"9s\"\npart = 0.5\nsize = 4", "kind = \"errors\"\nat = \"5s\"\nfor = \"9s\"\nsize = 0.5",
		"kind = \"grow\"\nat = \"5s\"\ncount = 3", "kind = \"zone-lost\"\nat = \"5s\"\nfor = \"9s\"\nzone = \"b\""} {
		if with := emulator.Plan(read(t, overlay+"[[fault]]\n"+fault), 7); !reflect.DeepEqual(plain, with) {
			t.Errorf("%s: other requests", fault)
		}
	}
	if other := emulator.Plan(read(t, overlay), 8); reflect.DeepEqual(plain, other) || len(plain) < 5000 {
		t.Errorf("%d requests, and the same for another seed", len(plain))
	}
}

// The bare table without memory of cold servers breaks the fourth rule where the module does not: so the judge sees it, and the
// day provokes it.
func TestBaselinesAreJudgedToo(t *testing.T) {
	text, _ := load("rolling.toml")
	sc := read(t, string(text))
	v := play(t, sc, 1, "table")
	if v.ViolationCounts[3] == 0 || v.ViolationCounts[0]+v.ViolationCounts[1]+v.ViolationCounts[2] > 0 {
		t.Errorf("%v", v.ViolationCounts)
	}
	if seeing, module := play(t, sc, 1, "seeing"), play(t, sc, 1, "module"); seeing.Service < module.Service-0.005 || module.Service < v.Service {
		t.Errorf("seeing %.3f, module %.3f, table %.3f", seeing.Service, module.Service, v.Service)
	}
}

// An answer that comes in the very moment of its time-out has come; a final answer in the moment of the cut-off is in time.
func TestOneInstant(t *testing.T) {
	// One server, no jitter: 1 ms there, 10 ms of work, 1 ms back; the push may take as long.
	sc := read(t, "name = \"x\"\nlength = \"1s\"\n[fleet]\nservers = 1\nsidecars = 1\n[[kind]]\nname = \"k\"\ncores = 1000\n[load]\nrate = 1.0\n"+
		"[network]\nnear = \"1ms\"\nhandshakes = 0\nclient = \"0s\"\n[[offering]]\nname = \"o\"\nquoted_time = \"27ms\"\ncut_off = \"27ms\"\nwork = \"10ms\"\n")
	sc.Arrivals = []emulator.Arrival{{At: policy.Second / 2, Tenant: policy.NoTenant, TimeLeft: 27 * policy.Millisecond, WorkFactor: 1, IOFactor: 1}}
	var ended []policy.Outcome
	factory := func(front policy.Front, _ *policy.Settings, _ uint64, _ policy.Time, _ emulator.View) emulator.Decider {
		return &script{front: front, wait: 12 * policy.Millisecond, ended: &ended}
	}
	if v := emulator.New(sc, 1, factory, nil).Run(); v.Succeeded != 1 || !v.NoViolations() || ended[0] != policy.Succeeded {
		t.Errorf("%+v, %v", v, ended)
	}
	ended = nil
	factory = func(front policy.Front, _ *policy.Settings, _ uint64, _ policy.Time, _ emulator.View) emulator.Decider {
		return &script{front: front, wait: 12*policy.Millisecond - 1, ended: &ended}
	}
	if v := emulator.New(sc, 1, factory, nil).Run(); v.Failed != 1 || ended[0] != policy.TimedOut {
		t.Errorf("%+v, %v", v, ended)
	}
}

// script is a decider that pushes once.
type script struct {
	front policy.Front
	id    policy.EndpointID
	wait  policy.Time
	ended *[]policy.Outcome
}

func (s *script) UpdateEndpoints(_ policy.Time, _ policy.ListKind, m []policy.Member) { s.id = m[0].ID }
func (s *script) ListFailed(policy.Time)                                              {}
func (s *script) Admit(policy.Time, policy.ClassID, policy.TenantID, string, bool, policy.Time) policy.Handle {
	return 0
}
func (s *script) Begin(_ policy.Time, h policy.Handle) { s.front.Attempt(h, s.id, s.wait) }
func (s *script) AttemptEnded(_ policy.Time, h policy.Handle, n policy.AttemptNo, _ policy.EndpointID, o policy.Outcome, _ policy.Time, _ bool) {
	if *s.ended = append(*s.ended, o); o == policy.Succeeded {
		s.front.Succeed(h, n)
	} else {
		s.front.Fail(h)
	}
}
func (s *script) ClientLeft(policy.Time, policy.Handle) {}
func (s *script) Woken(policy.Time)                     {}

// Ten thousand tickets in the queues of one server, and each gets its one answer.
func TestTenThousandInAQueue(t *testing.T) {
	sc := read(t, overlay+"length = \"20s\"\n[fleet]\nservers = 1\nsidecars = 2\nzones = [\"a\"]\n[load]\npart = 0.0\nrate = 900.0\n[clients]\nretries = 0\n"+
		"[[kind]]\nname = \"k\"\ncores = 1\nslots = 1\nqueue = 20000\n[[offering]]\nname = \"o\"\nquoted_time = \"100s\"\ncut_off = \"120s\"\nwork = \"100ms\"\n")
	for _, name := range []string{"module", "ring"} {
		v := play(t, sc, 1, name)
		if !v.NoViolations() || v.ClientRequests < 15000 || v.Succeeded+v.Rejected+v.Failed != int(v.Requests) {
			t.Errorf("%s: %v, %d requests, %d tickets, %d honoured, %d turned back, %d given up", name, v.ViolationCounts, v.ClientRequests, v.Requests,
				v.Succeeded, v.Rejected, v.Failed)
		}
		if name == "ring" && v.Succeeded < 1100 {
			t.Errorf("%d honoured: the queue did not hold", v.Succeeded)
		}
	}
}

// Figures that cannot be are told with file and line, all at once.
func TestImpossibleFiguresAreTold(t *testing.T) {
	_, err := emulator.Read("x.toml", []byte(overlay+"length = \"10ms\"\n[fleet]\nservers = 0\n[load]\nrate = 5.0\nkeis = 3\n"+
		"[[fault]]\nkind = \"zone-lost\"\nat = \"5s\"\nzone = \"c\"\n[[fault]]\nkind = \"odd\"\nat = \"2h\"\n"), load)
	if err == nil {
		t.Fatal("read")
	}
	for _, want := range []string{"x.toml:3: length: found \"10ms\"", "x.toml:5: fleet.servers: found 0, allowed a whole number from 1",
		"x.toml:7: load.rate: found rate 5 and part 1.2, allowed exactly one of them over 0", "x.toml:8: load.keis: found an unknown key",
		"x.toml:12: fault[0].zone: found \"c\", allowed one of [a b]", "x.toml:9: fault[0].for: found nothing", "x.toml:14: fault[1].kind: found \"odd\""} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("not told: %s\n%v", want, err)
		}
	}
	if _, err := emulator.Read("x.toml", []byte("base = \"none.toml\""), load); err == nil || !strings.Contains(err.Error(), "x.toml:1: base") {
		t.Error(err)
	}
	if _, err := emulator.Read("x.toml", []byte(overlay), load, emulator.Override{Path: "load.part", Value: -1.0}); err == nil ||
		!strings.Contains(err.Error(), "load.part: found -1") {
		t.Error(err)
	}
	if _, err := emulator.Read("x.toml", []byte(overlay), load, emulator.Override{Path: "nothing.part", Value: 1.0}); err == nil {
		t.Error("set where there is nothing")
	}
}

// Whatever stands in a scenario: no panic, and one that is read can be set up.
func FuzzScenario(f *testing.F) {
	text, _ := load("calm.toml")
	f.Add(text)
	f.Add([]byte(overlay + "[[fault]]\nkind = \"rolling\"\nat = \"1s\"\nevery = \"1s\"\nfor = \"1s\""))
	f.Fuzz(func(t *testing.T, b []byte) {
		sc, err := emulator.Read("x.toml", b, load)
		if err != nil || sc.Endpoints > 50 || sc.Instances > 50 || sc.Load.Keys > 10000 || sc.Load.Rate > 1000 || sc.Length > policy.Second*120 {
			return
		}
		sc.Length = policy.Second
		sc.Load.Rate = 50
		v := emulator.New(sc, 1, emulator.NewModule, nil).Run()
		if _, err := json.Marshal(v); err != nil {
			t.Fatal(err)
		}
	})
}
