package livetest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// script plans the scenario's faults. Load is in the plan already; the rest is done to servers, sidecars and lists. A zone that is
// lost is silent: what no process can do to its own packets, refusing to take them, is left out, so new connections come up
// and then say nothing.
func (s *stage) script() (timers []*time.Timer) {
	for i := range s.Scenario.Faults {
		f := &s.Scenario.Faults[i]
		at := time.Duration(s.start + f.At - s.clock.Now())
		timers = append(timers, time.AfterFunc(at, func() { s.fault(f, rand.New(rand.NewPCG(s.Seed, uint64(i)+1000))) }))
	}
	return timers
}

func (s *stage) chosen(f *emulator.Fault, r *rand.Rand) (some []*server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		if v.standing == policy.Ready && !v.gone.Load() && (f.Zone == "" || f.Zone == v.zone) && (f.Pod < 0 || f.Pod == int(v.cell)) &&
			(len(f.Endpoints) == 0 || slices.Contains(f.Endpoints, int(v.no))) {
			some = append(some, v)
		}
	}
	n := f.Affected(len(some))
	r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:n]
}

func (s *stage) after(span policy.Time, do func()) { time.AfterFunc(time.Duration(span), do) }

func (s *stage) fault(f *emulator.Fault, r *rand.Rand) {
	s.log("%v begins", f.Kind)
	var some []*server
	switch f.Kind {
	case emulator.Burst, emulator.HotKey:
		return
	case emulator.ListBehind:
		s.mu.Lock()
		for _, c := range s.sidecars {
			c.behind = s.clock.Now() + f.Duration
		}
		s.mu.Unlock()
		return
	case emulator.SidecarRestart:
		s.restart(f, r)
		return
	case emulator.Grow:
		s.grow(f)
		return
	case emulator.AllSlow:
		some = slices.Clone(s.servers)
	default:
		some = s.chosen(f, r)
	}
	switch f.Kind {
	case emulator.Slow, emulator.AllSlow, emulator.PodThrottled:
		part := 1 / f.Size
		if f.Kind == emulator.PodThrottled {
			part = f.Size
		}
		for _, v := range some {
			v.Update(func(m *machine.Machine, now policy.Time) { m.SetFaultSpeed(now, part) })
		}
		s.after(f.Duration, func() {
			for _, v := range some {
				v.Update(func(m *machine.Machine, now policy.Time) { m.SetFaultSpeed(now, 1) })
			}
		})
	case emulator.Errors:
		for _, v := range some {
			v.SetErrorRate(f.Size)
		}
		s.after(f.Duration, func() {
			for _, v := range some {
				v.SetErrorRate(0)
			}
		})
	case emulator.Pauses:
		s.pauses(f, some, s.clock.Now()+f.Duration, 0)
	case emulator.ZoneLost, emulator.Silent:
		for _, v := range some {
			v.SetSilent(true)
			v.gone.Store(true)
			s.noticed(v, policy.Removed, false)
		}
		if f.Kind == emulator.ZoneLost && f.IncludeInstances {
			s.restart(f, r)
		}
		s.after(f.Duration, func() { s.revive(some, f.Cold) })
	case emulator.Crash:
		for _, v := range some {
			v.gone.Store(true)
			v.Stop()
			s.noticed(v, policy.Removed, true)
		}
		s.after(f.Duration, func() { s.startAgain(some) })
	case emulator.Shrink, emulator.Rolling:
		slices.SortFunc(some, func(a, b *server) int { return int(a.no - b.no) })
		for i, v := range some {
			s.after(policy.Time(i)*f.Every, func() { s.drain(f, v) })
		}
	}
}

func (s *stage) pauses(f *emulator.Fault, some []*server, till policy.Time, n int) {
	if s.clock.Now() >= till || len(some) == 0 {
		return
	}
	some[n%len(some)].Update(func(m *machine.Machine, now policy.Time) {
		m.PauseUntil(now, now+policy.Time(f.Size*float64(policy.Second)))
	})
	s.after(f.Every/policy.Time(len(some))+1, func() { s.pauses(f, some, till, n+1) })
}

// revive brings servers back that had fallen silent.
func (s *stage) revive(some []*server, cold bool) {
	if cold {
		for _, v := range some {
			v.Stop()
		}
		s.startAgain(some)
		return
	}
	for _, v := range some {
		v.SetSilent(false)
		v.gone.Store(false)
		s.noticed(v, policy.Ready, true)
	}
}

// startAgain starts servers anew.
func (s *stage) startAgain(some []*server) {
	for _, v := range some {
		if err := v.Restart(); err != nil {
			s.log("server %s: %v", v.uid, err)
			continue
		}
		v.gone.Store(false)
		s.noticed(v, policy.Ready, true)
	}
}

func (s *stage) drain(f *emulator.Fault, v *server) {
	v.Drain()
	s.noticed(v, policy.Draining, true)
	wait := f.Duration
	if wait == 0 {
		wait = 10 * policy.Second
	}
	s.after(wait, func() {
		v.Stop()
		if f.Kind == emulator.Shrink {
			v.gone.Store(true)
			s.noticed(v, policy.Removed, true)
			return
		}
		s.startAgain([]*server{v})
	})
}

func (s *stage) grow(f *emulator.Fault) {
	for range f.Count {
		s.mu.Lock()
		no := len(s.servers)
		of := s.servers[no%s.Scenario.Endpoints]
		v := &server{no: judge.EndpointID(no), uid: fmt.Sprintf("s-%05d", no), zone: s.Scenario.Zones[no%len(s.Scenario.Zones)],
			cell: of.cell + 1000, weight: of.weight, standing: policy.Removed}
		err := s.startServer(v, s.Scenario.Kinds[no%len(s.Scenario.Kinds)].Traits, s.clock.Now())
		s.mu.Unlock()
		if err != nil {
			s.log("grow: %v", err)
			return
		}
		s.noticed(v, policy.Ready, true)
	}
}

// restart kills sidecars outright and starts them again with the list that they had kept.
func (s *stage) restart(f *emulator.Fault, r *rand.Rand) {
	s.mu.Lock()
	var some []*sidecar
	for _, c := range s.sidecars {
		if c.proc != nil && (f.Zone == "" || c.zone == f.Zone) {
			some = append(some, c)
		}
	}
	if f.Kind == emulator.SidecarRestart {
		r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		some = some[:f.Affected(len(some))]
	}
	for _, c := range some {
		c.life++
		c.proc.Process.Kill()
		go c.proc.Wait()
		c.proc, c.up = nil, false
		s.judge.InstanceDied(c.no)
	}
	s.mu.Unlock()
	s.after(f.Duration, func() {
		for _, c := range some {
			if err := s.tell(c); err != nil {
				s.log("sidecar %d: %v", c.no, err)
			}
			if err := s.startSidecar(c); err != nil {
				s.log("sidecar %d: %v", c.no, err)
			}
		}
		for _, c := range some {
			if err := s.ready(c, 5*time.Second); err != nil {
				s.log("sidecar %d: %v", c.no, err)
			}
		}
	})
}
