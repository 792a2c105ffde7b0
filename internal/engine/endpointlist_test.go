package engine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Two endpoints whose ids collide must not be merged into one.
func TestEndpointsWithCollidingIDsAreNotMerged(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: &policy.Settings{Instances: 1}}, log)
	m := policy.Member{ID: 7}
	if !e.updateEndpoint(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:1"}) ||
		e.updateEndpoint(discovery.Entry{Member: m, UID: "b", Addr: "127.0.0.1:2"}) ||
		!e.updateEndpoint(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:3"}) || e.Endpoints[7].Addr != "127.0.0.1:3" {
		t.Error("an endpoint was merged with another one, or an update of it was skipped")
	}
}

// endlessSource reports lists without a pause.
type endlessSource struct{ discovery.Source }

func (endlessSource) Follow(bool) {}

func (endlessSource) Run(ctx context.Context, report func(discovery.Event)) {
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				list := discovery.List{Kind: policy.ListFull}
				for id := range policy.EndpointID(100) {
					list.Entries = append(list.Entries, discovery.Entry{Member: policy.Member{ID: id, Weight: float64(1 + (n+int(id))%2)}})
				}
				report(discovery.Event{List: &list})
			}
		})
	}
	all.Wait()
}

// Lists that arrive faster than they can be applied must not block the rest of the loop, which they did for seconds.
func TestEndlessListsDoNotBlockTheLoop(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: &policy.Settings{Instances: 1, FixedWeights: true}, Source: endlessSource{}}, log)
	e.list.start(e.Source)
	defer e.list.cancel()
	for len(e.list.events) < maxPendingEvents {
		time.Sleep(time.Millisecond)
	}
	e.handlePending(0)
	if n := e.Counters.Lists; n < maxPendingEvents || n > maxPendingEvents+1 {
		t.Errorf("%d lists handled in one round, want %d or %d", n, maxPendingEvents, maxPendingEvents+1)
	}
}

// An endpoint that was removed from the list before a hot restart could not be drained afterwards: the new process did
// not know its id and took it for a mistyped one. So the seen ids are passed on.
func TestSeenIDsAreImported(t *testing.T) {
	previous, next := New(Config{Settings: &policy.Settings{}}, logrus.New()), New(Config{Settings: &policy.Settings{}}, logrus.New())
	for n := range maxSeenIDs + 10 {
		previous.list.seen.add(endpointfiles.EndpointID(fmt.Sprint("s-", n)))
	}
	next.ImportSeen(previous.SeenEndpoints())
	if next.WasListed("s-9") || !next.WasListed("s-10") || !next.WasListed(fmt.Sprint("s-", maxSeenIDs+9)) || next.WasListed("s-x") {
		t.Error("the imported ids are not the latest ones that were seen")
	}
	if next.list.seen.add(1); next.WasListed("s-10") || !next.WasListed("s-11") {
		t.Error("the forgotten id is not the oldest one")
	}
}

// An instance in a partitioned network sees few others and must not take their share of the budgets. The same holds after a
// reconfiguration.
func TestBudgetsAreSharedAmongAtLeastTheConfiguredInstances(t *testing.T) {
	source := &discovery.Fixed{Label: "none"}
	settings := func(instances int) *policy.Settings {
		return &policy.Settings{Instances: instances, Tick: 5 * policy.Millisecond}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: settings(3), Source: source}, log)
	for i, step := range []struct{ live, configured, want int }{{5, 0, 5}, {1, 0, 3}, {0, 8, 8}, {9, 0, 9}, {0, 2, 9}, {1, 0, 2}} {
		if step.live > 0 {
			e.SetInstances(step.live)
		}
		if step.configured > 0 {
			e.Reconfigure(Config{Settings: settings(step.configured), Source: source})
		}
		if e.Settings.Instances != step.want {
			t.Errorf("step %d: budgets are shared among %d instances, want %d", i, e.Settings.Instances, step.want)
		}
	}
}
