package engine

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// A keyed request that may have run is retried only within its deduplication window. If the loop stalls between the decision and the
// write, the window may have passed: the retry is checked again right before the write, by the time at that moment.
func TestRetriesAreCheckedBeforeTheWrite(t *testing.T) {
	for _, test := range []struct {
		age  policy.Time // age of the first attempt at the time of the write
		want int         // attempts written
	}{{200 * policy.Millisecond, 2}, {1500 * policy.Millisecond, 1}} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := New(Config{Settings: &policy.Settings{Instances: 1, FixedWeights: true, OverloadMultiple: 3, MaxAttempts: 3, Tick: policy.Millisecond,
			Classes: []policy.Class{{Name: "a", Value: 1, Target: 5 * policy.Second, Deadline: 9 * policy.Second,
				Idempotency: policy.Keyed, Window: policy.Second}}}}, log)
		f := &fakeFront{}
		e.AddFront(f)
		now := e.Clock.Now()
		admitted := now - test.age
		e.ApplyList(admitted, &discovery.List{Kind: policy.ListFull, Entries: []discovery.Entry{{Member: policy.Member{ID: 1, Weight: 1}, UID: "x"},
			{Member: policy.Member{ID: 2, Weight: 1}, UID: "y"}}})
		request := e.NewRequest(0)
		e.Admit(admitted, admitted, request, 0, policy.NoTenant, "k", false, 9*policy.Second)
		e.Round(admitted)
		e.AttemptEnded(admitted+10*policy.Millisecond, request, policy.ConnectionLost)
		e.ReportEndedAttempts(admitted + 10*policy.Millisecond) // the module decides on a retry, within the window
		if request.Attempts != 2 || f.attempts != 1 {
			t.Fatalf("%d attempts decided on and %d written, want 2 and 1", request.Attempts, f.attempts)
		}
		if e.Round(admitted + 10*policy.Millisecond); f.attempts != test.want {
			t.Errorf("%d ms after the first attempt: %d attempts written, want %d", test.age/policy.Millisecond, f.attempts, test.want)
		}
		if e.ReportEndedAttempts(now); test.want == 1 && (f.answers != 0 || len(e.steps) != 1) {
			t.Errorf("the request was answered at once, or %d steps are queued instead of 1", len(e.steps))
		}
	}
}
