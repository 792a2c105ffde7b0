package faulttest

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/faultproxy"
	"pepperlead/internal/faulttest/judge"
)

// Cluster is a stage with sidecars, keepers of versions, servers and clients.
type Cluster struct {
	*Stage
	script            *Script
	instances         []*Process
	coordinators      []*Process
	endpoints         []*fakebackend.Server
	catalog           *fakebackend.Catalog // nil: each sidecar has its servers in its file
	endpointAddresses map[string]string
	random            *rand.Rand
	frontPort         int
	activeRevision    int      // version
	lastRevision      int      // given out
	lastLeader        *Process // latest leader that was known
	upToDate          *Process // keeper that knows the latest version
	client            http.Client
	requesting        sync.WaitGroup
	scriptEnded       chan struct{} // closed: the script is
	clientsEnded      chan struct{} // closed: clients ask no more

	mu             sync.Mutex
	executions     []judge.Execution
	clientRequests []judge.ClientRequest
	down           []judge.Down
	// What discovery has told, and from when to when which sidecars may not have heard it.
	lists           []judge.EndpointList
	unnotified      []judge.Down
	unnotifiedSince map[*Process]int64
	downSince       map[*Process]int64 // that stand still or are not there
}

const (
	deadline      = 2 * time.Second // of the drills' offering
	targetLatency = 500 * time.Millisecond
	endpointWork  = 20 * time.Millisecond

	discovery = faultproxy.Node("discovery")
	// How long after the way to discovery is open again a sidecar may not have heard it: a call is given up after 2 s, the next one is made
	// within 2 s, and what was held in the link comes at once (internal/discovery). A watch waits longer than drills cut it off.
	notifyTimeout = 5 * time.Second
	answerTimeout = deadline + 3*time.Second
)

// BeginCluster starts all processes at once. The caller ends them by Close; after an error all that was started has ended.
func BeginCluster(program, dir string, script *Script, seed uint64) (*Cluster, error) {
	c, err := beginCluster(program, dir, script, seed)
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// beginCluster gives what it has started, also with an error.
func beginCluster(program, dir string, script *Script, seed uint64) (*Cluster, error) {
	c := &Cluster{Stage: &Stage{Links: faultproxy.New(seed), dir: dir, program: program, client: http.Client{Timeout: 2 * time.Second}}, script: script,
		random: rand.New(rand.NewPCG(seed, 1)), clientsEnded: make(chan struct{}), scriptEnded: make(chan struct{}), downSince: map[*Process]int64{}, unnotifiedSince: map[*Process]int64{}}
	c.client = http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second}}
	key := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("%016x", seed)))
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(key), 0o600); err != nil {
		return c, err
	}
	front, pages, meets, err := c.ports()
	if err != nil {
		return c, err
	}
	c.frontPort = front
	source, err := c.serve(seed)
	if err != nil {
		return c, err
	}
	list := "[source]\nkind = \"fixed\"\n" + strings.ReplaceAll(source(nil), "[[server]]", "[[source.server]]")
	if script.Discovery {
		if list, err = c.discovered(); err != nil {
			return c, err
		}
	}
	logs, err := freePort(own(maxProcesses))
	if err != nil {
		return c, err
	}
	var members, join strings.Builder
	for k := range script.Coordinators {
		fmt.Fprintf(&members, "[[keeper]]\nname = \"k%d\"\nlog = \"%s:%d\"\npages = \"%s:%d\"\n", k+1, reached(maxProcesses+k), logs, own(maxProcesses+k), pages)
		fmt.Fprintf(&join, "%q, ", fmt.Sprintf("%s:%d", reached(maxProcesses+k), meets))
	}
	for i := range script.Instances + script.Coordinators {
		name, at, verb := fmt.Sprint("n", i+1), i, "serve"
		if k := i - script.Instances; k >= 0 {
			name, at, verb = fmt.Sprint("k", k+1), maxProcesses+k, "keep"
		}
		one := c.process(name, verb, fmt.Sprintf("%s:%d", own(at), pages))
		one.clockSkew = script.Clocks[name]
		listen, door, err := c.meet(one.Name, at, meets)
		if err != nil {
			return c, err
		}
		text := fmt.Sprintf("[instance]\nname = %q\n", name)
		if verb == "keep" {
			c.coordinators = append(c.coordinators, one)
			if _, err := c.Links.TCP(fmt.Sprintf("%s:%d", reached(at), logs), one.Name, fmt.Sprintf("%s:%d", own(at), logs)); err != nil {
				return c, err
			}
			text += fmt.Sprintf("[keep]\nfolder = %q\nlisten = \"%s:%d\"\nlease = %q\n%s[log]\nlevel = \"debug\"\n", name+".kept", own(at), logs, script.Lease, members.String())
		} else {
			c.instances = append(c.instances, one)
			text += fmt.Sprintf("instances = %d\nseed = \"%x\"\n[front.http]\nlisten = \"%s:%d\"\n[pages]\nlisten = %q\n", script.Instances,
				seed*1000+uint64(i), own(at), front, one.metricsAddress) + offering(script.RuleSets[0]) + fmt.Sprintf("[limits]\nfrom = %q\n", own(at)) +
				list + "[log]\nlevel = \"debug\"\nformat = \"json\"\n"
		}
		text += fmt.Sprintf("[peers]\nlisten = %q\nadvertise = %q\ncluster = \"drill\"\nkey_file = \"key\"\njoin = [%s]\n", listen, door,
			strings.TrimSuffix(join.String(), ", "))
		if verb == "serve" {
			text += "agree = true\n"
		}
		if err := os.WriteFile(one.config(), []byte(text), 0o600); err != nil {
			return c, err
		}
	}
	for _, v := range script.RuleSets {
		text := fmt.Sprintf("# %s\n[fleet]\ninstances = %d\n", v.Name, script.Instances) + offering(v)
		if len(v.Drained) > 0 {
			text += "[bans]\nservers = [\"" + strings.Join(v.Drained, "\", \"") + "\"]\n"
		}
		if v.Endpoints != nil {
			text += source(v.Endpoints)
		}
		if err := os.WriteFile(filepath.Join(dir, v.Name+".version"), []byte(text), 0o600); err != nil {
			return c, err
		}
	}
	for _, one := range c.Processes {
		if err := one.Start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// offering is what all versions say of it, but for how it may be repeated.
func offering(v RuleSet) string {
	text := fmt.Sprintf("[[offering]]\nname = \"step\"\nquoted_time = \"%v\"\ncut_off = \"%v\"\nrepeats = %q\n", targetLatency, deadline, v.Idempotency)
	if v.Idempotency == "numbered" {
		text += fmt.Sprintf("group = \"all\"\nwindow = \"%v\"\n", v.Window)
	}
	return text
}

// serve starts the servers, which write down what they do. source lists some of them, nil: all.
func (c *Cluster) serve(seed uint64) (source func(names []string) string, err error) {
	c.endpointAddresses = map[string]string{}
	var all []string
	for i := range c.script.Endpoints {
		name := fmt.Sprint("s", i+1)
		s, err := fakebackend.Start("127.8.0.1:0", fakebackend.Traits{Name: name, Cores: 64, Queue: 1000, Work: endpointWork, Faults: fakebackend.Faults{Resets: c.script.Resets},
			Seed: seed + uint64(i), Seen: func(id, _ string, _ time.Time) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.executions = append(c.executions, judge.Execution{ID: id, Endpoint: name, At: int64(clock.BootTime())})
			}})
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, s)
		door, err := c.Links.TCP(fmt.Sprintf("127.9.%d.%d:0", i/250, i%250+1), faultproxy.Node(name), s.Addr())
		if err != nil {
			return nil, err
		}
		c.endpointAddresses[name] = door
		all = append(all, name)
	}
	return func(names []string) (text string) {
		if names == nil {
			names = all
		}
		for _, name := range names {
			text += fmt.Sprintf("[[server]]\nid = %q\naddress = %q\n", name, c.endpointAddresses[name])
		}
		return text
	}, nil
}

// discovered starts the stand-in of discovery, which knows of all servers, and says where sidecars reach it.
func (c *Cluster) discovered() (source string, err error) {
	if c.catalog, err = fakebackend.StartCatalog("127.8.0.1:0"); err != nil {
		return "", err
	}
	var all []string
	for i := range c.endpoints {
		all = append(all, fmt.Sprint("s", i+1))
	}
	c.list(all, nil)
	door, err := c.Links.TCP("127.9.1.1:0", discovery, c.catalog.Addr())
	return fmt.Sprintf("[source]\nkind = \"discovery\"\naddress = %q\n", door), err
}

// list has discovery tell of these servers and no others.
func (c *Cluster) list(ready, leaving []string) {
	var all []fakebackend.Target
	for i, names := range [][]string{ready, leaving} {
		for _, name := range names {
			all = append(all, fakebackend.Target{UID: name, Endpoint: c.endpointAddresses[name], Zone: "a", State: []string{"Ready", "Terminating"}[i], Weight: 1})
		}
	}
	c.catalog.SetTargets(all)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, judge.EndpointList{At: int64(clock.BootTime()), Ready: ready})
}

// ask has clients ask each sidecar until the drill is over.
func (c *Cluster) ask() {
	if c.script.Rate == 0 {
		return
	}
	for i, p := range c.instances {
		gap := rand.New(rand.NewPCG(uint64(i), 2))
		c.requesting.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.clientsEnded:
					return
				case <-time.After(time.Duration(gap.ExpFloat64() / c.script.Rate * float64(time.Second))):
				}
				id := string(p.Name) + "-" + strconv.Itoa(n)
				c.requesting.Go(func() { c.one(p, id, fmt.Sprintf("http://%s:%d/step", own(i), c.frontPort)) })
			}
		})
	}
}

// one request, whose client writes down what became of it.
func (c *Cluster) one(p *Process, id, at string) {
	r, _ := http.NewRequest(http.MethodPost, at, strings.NewReader("x"))
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("Idempotency-Key", id)
	r.GetBody = nil // so that it is never sent again by itself
	a := judge.ClientRequest{ID: id, Process: string(p.Name), SentAt: int64(clock.BootTime())}
	if answer, err := c.client.Do(r); err == nil {
		a.Status = answer.StatusCode
		answer.Body.Close()
	}
	a.EndedAt = int64(clock.BootTime())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientRequests = append(c.clientRequests, a)
}

// out notes that a process stands still or is not there, or (over) that it is again. After that it may still owe answers of before.
func (c *Cluster) out(p *Process, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, was := c.downSince[p]
	switch now := int64(clock.BootTime()); {
	case over && was:
		c.down = append(c.down, judge.Down{Process: string(p.Name), From: from, To: now + int64(answerTimeout)})
		delete(c.downSince, p)
	case !over && !was:
		c.downSince[p] = now
	}
}

// Close ends all.
func (c *Cluster) Close() {
	select {
	case <-c.clientsEnded:
	default:
		close(c.clientsEnded)
	}
	c.Stage.Close()
	c.requesting.Wait()
	for _, s := range c.endpoints {
		s.Close()
	}
	if c.catalog != nil {
		c.catalog.Close()
	}
}
