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
	if !e.list.know(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:1"}) ||
		e.list.know(discovery.Entry{Member: m, UID: "b", Addr: "127.0.0.1:2"}) ||
		!e.list.know(discovery.Entry{Member: m, UID: "a", Addr: "127.0.0.1:3"}) || e.Endpoints[7].Addr != "127.0.0.1:3" {
		t.Error("two servers were merged")
	}
}

// flood is a source that always has another list.
type flood struct{ discovery.Source }

func (flood) Follow(bool) {}

func (flood) Run(ctx context.Context, tell func(discovery.Event)) {
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				list := discovery.List{Kind: policy.ListFull}
				for id := range policy.EndpointID(100) {
					list.Entries = append(list.Entries, discovery.Entry{Member: policy.Member{ID: id, Weight: float64(1 + (n+int(id))%2)}})
				}
				tell(discovery.Event{List: &list})
			}
		})
	}
	all.Wait()
}

// Lists that came faster than they could be assigned kept all else waiting for seconds.
func TestListsWithoutEndHoldUpNothing(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: &policy.Settings{Instances: 1, FixedWeights: true}, Source: flood{}}, log)
	e.list.start(e.Source)
	defer e.list.end()
	for n := 0; len(e.list.news) < mostNews; n++ {
		time.Sleep(time.Millisecond)
	}
	e.hear(0)
	if n := e.Counters.Lists; n < mostNews || n > mostNews+1 {
		t.Errorf("%d lists taken at once, of the %d that waited and those that came meanwhile", n, mostNews)
	}
}

// An endpoint that had gone before a new version came could not be taken out there: its id was taken for a slip of the pen.
func TestIdsSeenPassOn(t *testing.T) {
	old, next := New(Config{Settings: &policy.Settings{}}, logrus.New()), New(Config{Settings: &policy.Settings{}}, logrus.New())
	for n := range mostSeen + 10 {
		old.list.saw(endpointfiles.EndpointID(fmt.Sprint("s-", n)))
	}
	next.ImportSeen(old.SeenEndpoints())
	if next.Listed("s-9") || !next.Listed("s-10") || !next.Listed(fmt.Sprint("s-", mostSeen+9)) || next.Listed("s-x") {
		t.Error("not those that were seen")
	}
	if next.list.saw(1); next.Listed("s-10") || !next.Listed("s-11") {
		t.Error("another than the oldest was forgotten")
	}
}

// A part of a network that is cut off knows of few instances, and must not take the others' part of the budgets; nor may a new configuration.
func TestBudgetsAreNeverSharedAmongFewer(t *testing.T) {
	source := &discovery.Fixed{Label: "none"}
	campaign := func(sidecars int) *policy.Settings {
		return &policy.Settings{Instances: sidecars, Tick: 5 * policy.Millisecond}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Settings: campaign(3), Source: source}, log)
	for i, k := range []struct{ there, renewed, want int }{{5, 0, 5}, {1, 0, 3}, {0, 8, 8}, {9, 0, 9}, {0, 2, 9}, {1, 0, 2}} {
		if k.there > 0 {
			e.SetInstances(k.there)
		}
		if k.renewed > 0 {
			e.Reconfigure(Config{Settings: campaign(k.renewed), Source: source})
		}
		if e.Settings.Instances != k.want {
			t.Errorf("step %d: shared among %d, not %d", i, e.Settings.Instances, k.want)
		}
	}
}
