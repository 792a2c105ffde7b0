package engine

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// A keyed request that may have run is sent again only within its window. A loop that stands still between the decision and the write takes
// it out of that: it is judged again at the write, by the clock as it is then.
func TestRepeatsAreJudgedAtTheWrite(t *testing.T) {
	for _, k := range []struct {
		ago  policy.Time // when its first attempt went out
		want int
	}{{200 * policy.Millisecond, 2}, {1500 * policy.Millisecond, 1}} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := New(Config{Settings: &policy.Settings{Instances: 1, FixedWeights: true, OverloadMultiple: 3, MaxAttempts: 3, Tick: policy.Millisecond,
			Classes: []policy.Class{{Name: "a", Value: 1, Target: 5 * policy.Second, Deadline: 9 * policy.Second,
				Idempotency: policy.Keyed, Window: policy.Second}}}}, log)
		f := &fakeFront{}
		e.Add(f)
		now := e.Clock.Now()
		then := now - k.ago
		e.Apply(then, &discovery.List{Kind: policy.ListFull, Entries: []discovery.Entry{{Member: policy.Member{ID: 1, Weight: 1}, UID: "x"},
			{Member: policy.Member{ID: 2, Weight: 1}, UID: "y"}}})
		request := e.NewRequest(0)
		e.Admit(then, then, request, 0, policy.NoTenant, "k", false, 9*policy.Second)
		e.Round(then)
		e.AttemptEnded(then+10*policy.Millisecond, request, policy.ConnectionLost)
		e.RunSteps(then + 10*policy.Millisecond) // within the window: attempted again, says the module
		if request.Attempts != 2 || f.attempts != 1 {
			t.Fatalf("%d attempts decided on, %d written", request.Attempts, f.attempts)
		}
		if e.Round(then + 10*policy.Millisecond); f.attempts != k.want {
			t.Errorf("%d ms after the first attempt: %d written, want %d", k.ago/policy.Millisecond, f.attempts, k.want)
		}
		if e.RunSteps(now); k.want == 1 && (f.answers != 0 || len(e.steps) != 1) {
			t.Errorf("not answered in place of it: %d steps", len(e.steps))
		}
	}
}
