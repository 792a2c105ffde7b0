package faulttest

import (
	"context"
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/faultproxy"
	"pepperlead/internal/faulttest/judge"
)

// await waits for the moment of a doing, which differs a little by seed.
func (c *Cluster) await(ctx context.Context, begin time.Time, d Action) {
	var jitter time.Duration
	if c.script.Jitter > 0 {
		jitter = time.Duration(c.random.Int64N(int64(c.script.Jitter)))
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	if d.At >= 0 {
		pause(d.At + jitter - time.Since(begin))
		return
	}
	n, need := 0, int(math.Ceil(d.Share*float64(len(c.instances))))
	act := map[*Process]bool{}
	for end := time.Now().Add(convergeTimeout); n < need && ctx.Err() == nil && time.Now().Before(end); pause(10 * time.Millisecond) {
		for _, p := range c.instances {
			if n < need && !act[p] && p.Figure("pepperlead_rules_version") >= float64(d.Number) {
				act[p] = true
				n++
			}
		}
	}
	pause(d.After)
}

// who finds the processes that a script means.
func (c *Cluster) who(names []string, half []int) (some []*Process) {
	for _, name := range names {
		k := (len(half) + 1) / 2
		switch name {
		case "sidecars":
			some = append(some, c.instances...)
		case "keepers":
			some = append(some, c.coordinators...)
		case "all":
			some = append(some, c.Processes...)
		case "one", "another":
			some = append(some, c.instances[half[map[string]int{"one": 0, "another": len(half) - 1}[name]]])
		case "half", "others":
			for _, i := range map[string][]int{"half": half[:k], "others": half[k:]}[name] {
				some = append(some, c.instances[i])
			}
		case "leader", "followers":
			leader := c.leader()
			for _, k := range c.coordinators {
				if (k == leader) == (name == "leader") {
					some = append(some, k)
				}
			}
		default:
			for _, p := range c.Processes {
				if string(p.Name) == name {
					some = append(some, p)
				}
			}
		}
	}
	return some
}

// leader is the keeper that leads; it was noted last where none is known to.
func (c *Cluster) leader() *Process {
	c.keeper().page("/_versions", func(line string) {
		_, text, _ := strings.Cut(line, "leader \"")
		text, _, _ = strings.Cut(text, "\"")
		for _, k := range c.coordinators {
			if string(k.Name) == text {
				c.lastLeader = k
			}
		}
	})
	if c.lastLeader == nil {
		return c.coordinators[0]
	}
	return c.lastLeader
}

// places are the processes and servers that a script means.
func (c *Cluster) places(names []string, half []int) (all []faultproxy.Node) {
	for _, p := range c.who(names, half) {
		all = append(all, p.Name)
	}
	for i := range c.endpoints {
		if name := fmt.Sprint("s", i+1); slices.Contains(names, name) || slices.Contains(names, "servers") {
			all = append(all, faultproxy.Node(name))
		}
	}
	if slices.Contains(names, string(discovery)) {
		all = append(all, discovery)
	}
	return all
}

func (c *Cluster) do(ctx context.Context, d Action, half []int, r *Result, changes *sync.WaitGroup, begin time.Time) {
	who := c.who(d.Who, half)
	fail := func(err error) {
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			r.Failed = append(r.Failed, d.What+": "+err.Error())
		}
	}
	switch d.What {
	case "apply", "rollback", "withdraw":
		at := c.keeper()
		if len(who) > 0 {
			at = who[0]
		}
		changes.Go(func() { c.change(ctx, d, at, r, begin) })
	case "part":
		c.Links.Partition(c.places(d.From, half), c.places(d.To, half))
	case "cut":
		for _, a := range c.places(d.From, half) {
			for _, b := range c.places(d.To, half) {
				c.Links.Set(faultproxy.Link{From: a, To: b}, faultproxy.Faults{Blocked: true})
			}
		}
	case "weather":
		for _, a := range c.Processes {
			for _, b := range c.Processes {
				if a != b {
					c.Links.Set(faultproxy.Link{From: a.Name, To: b.Name}, faultproxy.Faults{Drop: d.Drop, Duplicate: d.Duplicate, Delay: d.Delay, Jitter: d.Spread})
				}
			}
		}
	case "list":
		c.list(d.Ready, d.Draining)
	case "heal":
		c.Links.Heal()
	case "stall":
		for _, p := range who {
			c.out(p, false)
			p.Stall(true)
		}
	case "go", "start":
		for _, p := range who {
			fail(c.resume(p))
		}
	case "kill":
		for _, p := range who {
			c.out(p, false)
		}
		var all sync.WaitGroup
		for _, p := range who {
			all.Go(p.Kill)
		}
		all.Wait()
	case "throttle":
		for _, p := range who {
			changes.Go(func() { p.throttle(ctx, c.scriptEnded) })
		}
	case "fill-disk":
		for _, p := range who {
			fail(p.full())
		}
	case "damage":
		for _, p := range who {
			fail(p.damage())
		}
	}
}

// hearing notes which sidecars are cut off from discovery, or were until now.
func (c *Cluster) hearing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.instances {
		open := c.Links.Open(faultproxy.Link{From: p.Name, To: discovery}) && c.Links.Open(faultproxy.Link{From: discovery, To: p.Name})
		from, deaf := c.unnotifiedSince[p]
		switch now := int64(clock.BootTime()); {
		case open && deaf:
			c.unnotified = append(c.unnotified, judge.Down{Process: string(p.Name), From: from, To: now + int64(notifyTimeout)})
			delete(c.unnotifiedSince, p)
		case !open && !deaf:
			c.unnotifiedSince[p] = now
		}
	}
}

// change runs the program's own command.
func (c *Cluster) change(ctx context.Context, d Action, at *Process, r *Result, begin time.Time) {
	args := []string{"apply", filepath.Join(c.dir, d.RuleSet+".version"), "--wait", "30s"}
	switch d.What {
	case "rollback":
		args = []string{"rollback", strconv.Itoa(d.Revision), "--wait", "30s"}
	case "withdraw":
		args = []string{"withdraw", strconv.Itoa(d.Revision)}
	}
	args = append(args, "--to", at.metricsAddress)
	a := Applied{Version: d.RuleSet, At: time.Since(begin).Seconds()}
	if a.Version == "" {
		a.Version = strings.Join(args[:2], " ")
	}
	start := time.Now()
	c.mu.Lock()
	r.Applied = append(r.Applied, a)
	mine := len(r.Applied) - 1
	c.mu.Unlock()
	if d.MayFail {
		within, done := context.WithTimeout(ctx, 5*time.Second)
		defer done()
		ctx = within
	}
	said, err := exec.CommandContext(ctx, c.program, args...).CombinedOutput()
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Sscanf(string(said), "version %d", &r.Applied[mine].Number)
	r.Applied[mine].Agreed = time.Since(start).Seconds()
	if err != nil {
		r.Applied[mine].Failed = strings.TrimSpace(string(said)) + " " + err.Error()
		if !d.MayFail {
			r.Failed = append(r.Failed, strings.Join(args, " ")+": "+r.Applied[mine].Failed)
		}
	}
}
