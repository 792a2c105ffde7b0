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

// Two endpoints whose ids fall together must not be taken for one.
func TestServersNeverShareAnID(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: &policy.Settings{Instances: 1}}, log)
	m := policy.Member{ID: 7}
	if !e.updateEndpoint(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:1"}) ||
		e.updateEndpoint(discovery.Entry{Member: m, UID: "b", Addr: "127.0.0.1:2"}) ||
		!e.updateEndpoint(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:3"}) || e.Endpoints[7].Addr != "127.0.0.1:3" {
		t.Error("two endpoints were merged")
	}
}

// endlessSource is a source that always has another list.
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

// Lists that came faster than they could be assigned kept all else waiting for seconds.
func TestListsWithoutEndHoldUpNothing(t *testing.T) {
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
		t.Errorf("%d lists taken at once, of the %d that waited and those that came meanwhile", n, maxPendingEvents)
	}
}

// An endpoint that had gone before a new version came could not be taken out there: its id counted as a typing error.
func TestIdsSeenPassOn(t *testing.T) {
	old, next := New(Config{Settings: &policy.Settings{}}, logrus.New()), New(Config{Settings: &policy.Settings{}}, logrus.New())
	for n := range maxSeenIDs + 10 {
		old.list.seen.add(endpointfiles.EndpointID(fmt.Sprint("s-", n)))
	}
	next.ImportSeen(old.SeenEndpoints())
	if next.Listed("s-9") || !next.Listed("s-10") || !next.Listed(fmt.Sprint("s-", maxSeenIDs+9)) || next.Listed("s-x") {
		t.Error("not those that were seen")
	}
	if next.list.seen.add(1); next.Listed("s-10") || !next.Listed("s-11") {
		t.Error("another than the oldest was forgotten")
	}
}

// A part of a network that is cut off knows of few instances, and must not take the others' part of the budgets; nor may a new configuration.
func TestBudgetsAreNeverSharedAmongFewer(t *testing.T) {
	source := &discovery.Fixed{Label: "none"}
	settings := func(instances int) *policy.Settings {
		return &policy.Settings{Instances: instances, Tick: 5 * policy.Millisecond}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: settings(3), Source: source}, log)
	for i, k := range []struct{ live, configured, want int }{{5, 0, 5}, {1, 0, 3}, {0, 8, 8}, {9, 0, 9}, {0, 2, 9}, {1, 0, 2}} {
		if k.live > 0 {
			e.SetInstances(k.live)
		}
		if k.configured > 0 {
			e.Reconfigure(Config{Settings: settings(k.configured), Source: source})
		}
		if e.Settings.Instances != k.want {
			t.Errorf("step %d: shared among %d, not %d", i, e.Settings.Instances, k.want)
		}
	}
}
