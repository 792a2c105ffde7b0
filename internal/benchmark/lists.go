package benchmark

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/fakebackend"
	"pepperlead/policy"
)

// ListText is a list file of so many servers, the first ones at the addresses, the others at addresses where nobody is.
func ListText(servers int, addrs []string, issue endpointfiles.Issue, seal bool) []byte {
	var b strings.Builder
	for i := range servers {
		addr := fmt.Sprintf("127.1.%d.%d:9000", i/250, 1+i%250)
		if i < len(addrs) {
			addr = addrs[i]
		}
		fmt.Fprintf(&b, "[[server]]\nid = \"s-%05d\"\naddress = %q\nzone = \"%c\"\npod = %d\nweight = %.2f\n", i, addr,
			"abc"[i%3], i/8, 0.5+float64(i*7%100)/100)
	}
	if !seal {
		fmt.Fprintf(&b, "[whole]\nservers = %d\n", servers)
		return []byte(b.String())
	}
	out, _, err := endpointfiles.Seal("list", []byte(b.String()), issue, 0)
	if err != nil {
		panic(err)
	}
	return out
}

// ListCost is what a list costs to be read, checked and dealt.
type ListCost struct {
	Servers int           `json:"servers"`
	Bytes   int           `json:"bytes"`
	Parse   time.Duration `json:"parse_ns"` // text to entries, with the digest; beside the loop
	Weigh   time.Duration `json:"weigh_ns"` // beside the loop
	Deal    time.Duration `json:"deal_ns"`  // the module's List, on the loop
	Again   time.Duration `json:"again_ns"` // the same list a second time, on the loop
}

// ReadLists measures the least of some rounds for a list of so many servers.
func ReadLists(servers, rounds int) ListCost {
	text := ListText(servers, nil, 1, true)
	out := ListCost{Servers: servers, Bytes: len(text)}
	least := func(of *time.Duration, at time.Time) {
		if span := time.Since(at); *of == 0 || span < *of {
			*of = span
		}
	}
	for range rounds {
		runtime.GC()
		at := time.Now()
		f := endpointfiles.Parse("list", text)
		least(&out.Parse, at)
		keeper := endpointfiles.New(endpointfiles.Limits{MaxRemovedShare: 0.5, DrainMemory: policy.Second})
		at = time.Now()
		found := keeper.Evaluate(1, []endpointfiles.File{f})
		least(&out.Weigh, at)
		if found.Verdict != endpointfiles.Accepted {
			panic(found.Reason)
		}
		members := make([]policy.Member, 0, servers)
		for _, e := range found.Entries {
			members = append(members, e.Member)
		}
		module := policy.New(nobody{}, &policy.Settings{Instances: 1, Zone: "a", Zones: 3, FixedWeights: true, Tick: 5 * policy.Millisecond,
			Classes: []policy.Class{{Name: "step", Value: 1, Target: policy.Second}}}, 1, 1)
		at = time.Now()
		module.UpdateEndpoints(1, policy.ListFull, members)
		least(&out.Deal, at)
		at = time.Now()
		module.UpdateEndpoints(2, policy.ListFull, members)
		least(&out.Again, at)
	}
	return out
}

// nobody is a front that nothing is asked of.
type nobody struct{}

func (nobody) Attempt(policy.Handle, policy.EndpointID, policy.Time) {}
func (nobody) Cancel(policy.Handle, policy.AttemptNo)                {}
func (nobody) Succeed(policy.Handle, policy.AttemptNo)               {}
func (nobody) Reject(policy.Handle, policy.Time)                     {}
func (nobody) Fail(policy.Handle)                                    {}
func (nobody) Wake(policy.Time)                                      {}
func (nobody) FollowList(bool)                                       {}
func (nobody) Release(policy.EndpointID)                             {}
func (nobody) Forget(policy.EndpointID)                              {}
func (nobody) Log(string)                                            {}

// ServerHere serves as a stand-in at the address until the process is told to end.
func ServerHere(addr string) error {
	s, err := fakebackend.Start(addr, fakebackend.Traits{Name: addr, Cores: 64, Queue: 1024, Work: 100 * time.Microsecond})
	if err != nil {
		return err
	}
	defer s.Close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	<-end
	return nil
}

const standalone = `[front.http]
listen = %q
[[offering]]
name = "step"
quoted_time = "1s"
cut_off = "2s"
repeats = "reissuable"
[source]
kind = "files"
files = ["servers.toml"]
`

// Standalone writes a configuration and a list of so many servers into the folder, and gives the path of the former.
func Standalone(dir, listen string, servers int, addrs []string, extra string) (string, error) {
	path := filepath.Join(dir, "pepperlead.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(standalone, listen)+extra), 0o600); err != nil {
		return "", err
	}
	return path, os.WriteFile(filepath.Join(dir, "servers.toml"), ListText(servers, addrs, 1, true), 0o600)
}

// Follow measures how long it takes from a list file's change to the first push that follows it, against a daemon at the
// address whose list stands in the folder: two servers, of which the one or the other drains. From the return of the rename
// to the first request at the server that was draining until then.
func Follow(listen, list string, rounds int, seal bool) ([]time.Duration, error) {
	var at [2]atomic.Int64 // of the first request at each since it was reset
	var servers [2]*fakebackend.Server
	for i := range servers {
		s, err := fakebackend.Start("127.0.0.1:0", fakebackend.Traits{Cores: 64, Queue: 1024, Seen: func(string, string, time.Time) {
			at[i].CompareAndSwap(0, time.Now().UnixNano())
		}})
		if err != nil {
			return nil, err
		}
		defer s.Close()
		servers[i] = s
	}
	write := func(issue int) error {
		var b strings.Builder
		for i, s := range servers {
			fmt.Fprintf(&b, "[[server]]\nid = \"f-%d\"\naddress = %q\n", i, s.Addr())
			if i == issue%2 {
				b.WriteString("state = \"draining\"\n")
			} else if !seal {
				fmt.Fprintf(&b, "started = %s\n", time.Now().Add(-time.Minute).UTC().Format(time.RFC3339Nano))
			}
		}
		var text []byte
		if seal {
			var err error
			if text, _, err = endpointfiles.Seal("list", []byte(b.String()), endpointfiles.Issue(issue), 2); err != nil {
				return err
			}
		} else {
			text = fmt.Appendf([]byte(b.String()), "[whole]\nservers = 2\nissue = %d\ntakes_away = 2\n", issue)
		}
		if err := os.WriteFile(list+".tmp", text, 0o600); err != nil {
			return err
		}
		return os.Rename(list+".tmp", list)
	}
	over := make(chan struct{})
	defer close(over)
	if err := write(2); err != nil {
		return nil, err
	}
	if err := Answers(listen, 5*time.Second); err != nil {
		return nil, err
	}
	for range 4 {
		go func() {
			for {
				select {
				case <-over:
					return
				default:
					load(listen, 1, 100*time.Millisecond)
				}
			}
		}()
	}
	var all []time.Duration
	for n := range rounds {
		time.Sleep(300 * time.Millisecond)
		to := 1 - (n+3)%2
		at[to].Store(0)
		if err := write(n + 3); err != nil {
			return nil, err
		}
		told := time.Now().UnixNano()
		for end := time.Now().Add(5 * time.Second); at[to].Load() == 0; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(end) {
				return all, fmt.Errorf("issue %d was not followed within 5 s", n+3)
			}
		}
		all = append(all, time.Duration(at[to].Load()-told))
	}
	return all, nil
}
