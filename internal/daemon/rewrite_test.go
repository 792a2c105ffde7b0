package daemon

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/httpproxy"
)

// localIP is an address of this run's own, so that runs side by side never meet on a port that one has just left.
var localIP = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)

// recordingSource passes lists on and records them.
type recordingSource struct {
	discovery.Source
	mu    sync.Mutex
	lists []*discovery.List
}

func (p *recordingSource) Run(ctx context.Context, report func(discovery.Event)) {
	p.Source.Run(ctx, func(n discovery.Event) {
		if n.List != nil {
			p.mu.Lock()
			p.lists = append(p.lists, n.List)
			p.mu.Unlock()
		}
		report(n)
	})
}

// fleet is a daemon on list files, its fake backends, and clients that never stop.
type fleet struct {
	t        *testing.T
	dir      string
	addr     string
	proxy    *httpproxy.Proxy
	source   *recordingSource
	servers  []*fakebackend.Server
	mu       sync.Mutex
	drained  map[int]time.Time // since when the file, whole, has a server drain
	late     []string          // requests that came to one of these over a second after
	asked    atomic.Int64
	answered [3]atomic.Int64 // succeeded, rejected, failed
	lost     atomic.Int64
}

const rewriteConfig = `[front.http]
listen = "%s"
[[offering]]
name = "step"
quoted_time = "400ms"
cut_off = "2s"
repeats = "reissuable"
default = true
[[offering]]
name = "call"
quoted_time = "400ms"
cut_off = "2s"
[source]
kind = "files"
files = ["*.list"]
settle = "8ms"
missing_for = "30ms"
%s`

// missingFor is how long a list file may be away, as the configuration above says.
const missingFor = 30 * time.Millisecond

// text is a list file of these servers, by number, with their weights.
func (f *fleet) text(issue int, servers map[int]float64, drains map[int]bool) []byte {
	var b strings.Builder
	for i := range f.servers {
		if w, in := servers[i]; in {
			fmt.Fprintf(&b, "[[server]]\nid = \"s-%d\"\naddress = %q\nweight = %g\n", i, f.servers[i].Addr(), w)
			if drains[i] {
				b.WriteString("state = \"draining\"\n")
			}
		}
	}
	out, _, err := endpointfiles.Seal("list", []byte(b.String()), endpointfiles.Issue(issue), 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return out
}

func newFleet(t *testing.T, servers int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), drained: map[int]time.Time{}}
	for i := range servers {
		s, err := fakebackend.Start(localIP+":0", fakebackend.Traits{Name: fmt.Sprintf("s-%d", i), Cores: 4, Queue: 64,
			Work: time.Millisecond, Seed: uint64(i), OnRequest: func(id, _ string, at time.Time) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if since, drains := f.drained[i]; drains && at.Sub(since) > fakebackend.Grace {
					f.late = append(f.late, fmt.Sprintf("%s at s-%d, %v after", id, i, at.Sub(since)))
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		f.servers = append(f.servers, s)
	}
	return f
}

// serve starts the daemon from the configuration, as `serve` reads it, and clients before it.
func (f *fleet) serve(clients int) (configs chan httpproxy.Config, path string, end func()) {
	free, err := net.Listen("tcp", localIP+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	free.Close()
	f.addr = free.Addr().String()
	path = filepath.Join(f.dir, "pepperlead.toml")
	os.WriteFile(path, fmt.Appendf(nil, rewriteConfig, f.addr, ""), 0o600)
	loaded, err := Read(path, os.Getenv)
	if err != nil {
		f.t.Fatal(err)
	}
	f.source = &recordingSource{Source: loaded.Source}
	loaded.Source = f.source
	log := logrus.New()
	log.SetOutput(io.Discard)
	loaded.MessageMemory /= 4
	f.proxy = httpproxy.New(loaded.Config, log)
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	configs = make(chan httpproxy.Config)
	go func() { ended <- f.proxy.Run(stop, configs) }()
	for i := 0; !f.proxy.Ready(); i++ {
		if i > 1000 {
			f.t.Fatal("no list")
		}
		time.Sleep(2 * time.Millisecond)
	}
	over, clientsDone := make(chan struct{}), sync.WaitGroup{}
	for c := range clients {
		clientsDone.Go(func() { f.client(c, over) })
	}
	return configs, path, func() {
		close(over)
		clientsDone.Wait()
		stop <- syscall.SIGTERM
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	}
}

// client sends one request after another. One that gets no complete answer is lost.
func (f *fleet) client(c int, over chan struct{}) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(time.Millisecond):
		}
		class := []string{"step", "call"}[n%2]
		body := fmt.Sprintf("%d-%d", c, n)
		r, _ := http.NewRequest(http.MethodPost, "http://"+f.addr+"/"+class, strings.NewReader(body))
		r.Header.Set("X-Request-ID", "id-"+body)
		r.Header.Set("X-Route-Key", fmt.Sprint(n%97))
		f.asked.Add(1)
		answer, err := transport.RoundTrip(r)
		if err != nil {
			f.lost.Add(1)
			continue
		}
		got, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		switch {
		case err != nil, answer.StatusCode == 200 && string(got) != body:
			f.lost.Add(1)
		case answer.StatusCode == 200:
			f.answered[0].Add(1)
		case answer.StatusCode == 503:
			f.answered[1].Add(1)
		default:
			f.answered[2].Add(1)
		}
	}
}

// truth is what a list file says at some issue.
type truth map[string]discovery.Entry

// TestThousandRewrites writes list files in all the ways in which people and programs do, whole and not, under load. No list
// that is not one of those written whole is ever applied, no server that drains gets anything new a second later, and no
// request is lost.
func TestThousandRewrites(t *testing.T) {
	f := newFleet(t, 8)
	rnd := rand.New(rand.NewPCG(41, 1))
	// Servers 0 to 4 stand in one file and 3 more in another.
	in := []map[int]float64{{0: 1, 1: 1, 2: 1, 3: 1, 4: 1}, {5: 1, 6: 1, 7: 1}}
	drains := []map[int]bool{{}, {}}
	var truths [2][]truth // by file, in the order of their issues
	note := func(file int, text []byte) {
		parsed := endpointfiles.Parse("", text)
		if parsed.Problem != "" {
			t.Fatal(parsed.Problem)
		}
		is := truth{}
		for _, e := range parsed.Entries {
			is[e.UID] = e
		}
		truths[file] = append(truths[file], is)
	}
	path := func(file int) string { return filepath.Join(f.dir, fmt.Sprint(file, ".list")) }
	var now [2][]byte
	for file := range 2 {
		now[file] = f.text(1, in[file], drains[file])
		note(file, now[file])
		os.WriteFile(path(file), now[file], 0o600)
	}
	configs, config, end := f.serve(6)
	began := time.Now()
	changed := [8]time.Time{}
	kinds := map[string]int{}
	broken := 0
	for i := range 1000 {
		file := i % 2
		// Each step changes weights; one server in turn begins or ceases to drain when it has been as it is for long enough.
		for s := range in[file] {
			in[file][s] = 1 + float64((s*7+i)%5)/4
		}
		s := 1 + file*5 + i/2%2
		if time.Since(changed[s]) > 1300*time.Millisecond && time.Since(began) > 300*time.Millisecond {
			changed[s] = time.Now()
			drains[file][s] = !drains[file][s]
			f.mu.Lock()
			if !drains[file][s] {
				delete(f.drained, s) // before it can be told
			}
			f.mu.Unlock()
		}
		next := f.text(i+2, in[file], drains[file])
		note(file, next)
		old := now[file]
		switch kind := rnd.IntN(9); kind {
		case 0:
			kinds["renamed"]++
			os.WriteFile(path(file)+".tmp", next, 0o600)
			os.Rename(path(file)+".tmp", path(file))
		case 1, 2: // cut off behind each entry, standing for a while, then whole
			kinds["cut off"]++
			broken++
			for _, at := range boundaries(next) {
				os.WriteFile(path(file), next[:at], 0o600)
				time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
			}
			os.WriteFile(path(file), next, 0o600)
		case 3: // written over without being cut, the new text and the tail of the old
			kinds["overwritten"]++
			broken++
			over(t, path(file), next[:rnd.IntN(len(next))])
			time.Sleep(time.Duration(rnd.IntN(15)) * time.Millisecond)
			os.WriteFile(path(file), next, 0o600)
		case 4:
			kinds["spoilt"]++
			broken++
			bad := append([]byte(nil), next...)
			for range 1 + rnd.IntN(3) {
				bad[rnd.IntN(len(bad))] = byte(rnd.IntN(256))
			}
			os.WriteFile(path(file), bad, 0o600)
			time.Sleep(time.Duration(rnd.IntN(15)) * time.Millisecond)
			os.WriteFile(path(file), next, 0o600)
		case 5:
			kinds["empty"]++
			broken++
			os.WriteFile(path(file), nil, 0o600)
			time.Sleep(time.Duration(rnd.IntN(15)) * time.Millisecond)
			os.WriteFile(path(file), next, 0o600)
		case 6:
			kinds["gone for a moment"]++
			removed := time.Now()
			os.Remove(path(file))
			time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
			os.WriteFile(path(file), next, 0o600)
			if time.Since(removed) >= missingFor {
				// The machine held this up: the file was away for long enough to be out, and that is true as well.
				truths[file] = slices.Insert(truths[file], len(truths[file])-1, truth{})
			}
		case 7: // an old copy, then the new one
			kinds["old copy"]++
			broken++
			os.WriteFile(path(file), old, 0o600)
			time.Sleep(time.Duration(rnd.IntN(15)) * time.Millisecond)
			os.WriteFile(path(file), next, 0o600)
		case 8: // a new configuration in the middle of it
			kinds["SIGHUP"]++
			os.WriteFile(path(file), next[:len(next)/2], 0o600)
			if loaded, err := Read(config, os.Getenv); err != nil {
				t.Error(err)
			} else {
				configs <- loaded.Config // its source has the same name, so the one that runs stays
			}
			os.WriteFile(path(file), next, 0o600)
		}
		now[file] = next
		f.mu.Lock()
		for s := range drains[file] {
			if _, known := f.drained[s]; drains[file][s] && !known {
				f.drained[s] = time.Now() // it is told from here on
			}
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(1+rnd.IntN(10)) * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	end()

	at := [2]int{}
	f.source.mu.Lock()
	lists := f.source.lists
	f.source.mu.Unlock()
	for n, l := range lists {
		got := truth{}
		for _, e := range l.Entries {
			got[e.UID] = e
		}
		if !follows(got, &truths, &at) {
			t.Fatalf("list %d of %d is not one that was written: %v", n, len(lists), l.Entries)
		}
	}
	if at[0] < len(truths[0])-1 || at[1] < len(truths[1])-1 || len(lists) < 300 {
		t.Errorf("%d lists were applied, the last of issues %v of %d and %d", len(lists), at, len(truths[0]), len(truths[1]))
	}
	if len(f.late) > 0 {
		t.Errorf("%d late attempts: %v", len(f.late), f.late[0])
	}
	if f.lost.Load() > 0 || f.asked.Load() < 2000 ||
		f.answered[0].Load()+f.answered[1].Load()+f.answered[2].Load() != f.asked.Load() {
		t.Errorf("asked %d, lost %d", f.asked.Load(), f.lost.Load())
	}
	// Servers take up to 64 at once and work for 1 ms: nothing here is a reason to fail.
	if bad := f.answered[1].Load() + f.answered[2].Load(); bad*100 > f.asked.Load() {
		t.Errorf("of %d requests %d were rejected and %d failed", f.asked.Load(), f.answered[1].Load(), f.answered[2].Load())
	}
	if c := f.proxy.Counters; c.ListsRefused == 0 || c.Reconfigurations == 0 || broken < 300 {
		t.Errorf("too little was provoked: %v, %d refused", kinds, c.ListsRefused)
	}
	t.Logf("%v: %d lists applied, %d refused, %d requests, %d rejected, %d failed", kinds, len(lists),
		f.proxy.Counters.ListsRefused, f.asked.Load(), f.answered[1].Load(), f.answered[2].Load())
}

// boundaries are the offsets at which an entry of a list file begins, and that of its closing table.
func boundaries(text []byte) (all []int) {
	for at := 0; at < len(text); at++ {
		if strings.HasPrefix(string(text[at:]), "[[server]]") || strings.HasPrefix(string(text[at:]), "[whole]") {
			all = append(all, at)
		}
	}
	return all
}

func over(t *testing.T, path string, head []byte) {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Write(head)
}

// follows tells whether a list is made of one truth of either file, none older than the last one, and goes on to these.
func follows(got truth, truths *[2][]truth, at *[2]int) bool {
	for a := at[0]; a < len(truths[0]); a++ {
		for b := at[1]; b < len(truths[1]); b++ {
			both := maps.Clone(truths[0][a])
			maps.Copy(both, truths[1][b])
			if maps.Equal(both, got) {
				*at = [2]int{a, b}
				return true
			}
			if !subset(truths[0][a], got) {
				break
			}
		}
	}
	return false
}

func subset(of, in truth) bool {
	for uid, e := range of {
		if in[uid] != e {
			return false
		}
	}
	return true
}
