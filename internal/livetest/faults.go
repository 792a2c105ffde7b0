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

const (
	// defaultDrainTime is how long an endpoint drains if the fault has no duration.
	defaultDrainTime = 10 * policy.Second
	// addedCellOffset puts endpoints that are added during the run into cells of their own.
	addedCellOffset = 1000
)

// scheduleFaults sets a timer for each fault of the scenario. Faults that change the load are part of the plan of
// requests already; the others are applied to endpoints, instances and lists. The endpoints of a lost zone only fall
// silent: connections to them are still established, because the kernel accepts them.
func (r *liveRun) scheduleFaults() []*time.Timer {
	var timers []*time.Timer
	for i := range r.Scenario.Faults {
		fault := &r.Scenario.Faults[i]
		random := rand.New(rand.NewPCG(r.Seed, uint64(i)+faultStream))
		timers = append(timers, afterFunc(r.start+fault.At-r.clock.Now(), func() { r.apply(fault, random) }))
	}
	return timers
}

// apply begins a fault and schedules its end.
func (r *liveRun) apply(fault *emulator.Fault, random *rand.Rand) {
	r.log("%v begins", fault.Kind)
	switch fault.Kind {
	case emulator.Burst, emulator.HotKey: // the plan of requests contains them
	case emulator.ListBehind:
		r.delayLists(fault.Duration)
	case emulator.SidecarRestart:
		r.restartInstances(fault, random)
	case emulator.Grow:
		r.addEndpoints(fault.Count)
	case emulator.AllSlow:
		r.mu.Lock()
		all := slices.Clone(r.endpoints)
		r.mu.Unlock()
		r.setSpeed(all, 1/fault.Size, fault.Duration)
	default:
		r.applyToEndpoints(fault, r.choose(fault, random), random)
	}
}

// applyToEndpoints begins a fault that affects the chosen endpoints.
func (r *liveRun) applyToEndpoints(fault *emulator.Fault, chosen []*fakeEndpoint, random *rand.Rand) {
	switch fault.Kind {
	case emulator.Slow:
		r.setSpeed(chosen, 1/fault.Size, fault.Duration)
	case emulator.PodThrottled:
		r.setSpeed(chosen, fault.Size, fault.Duration)
	case emulator.Errors:
		r.setErrorRate(chosen, fault.Size, fault.Duration)
	case emulator.Pauses:
		r.pauseInTurn(fault, chosen, r.clock.Now()+fault.Duration, 0)
	case emulator.ZoneLost, emulator.Silent:
		r.makeSilent(chosen)
		if fault.Kind == emulator.ZoneLost && fault.IncludeInstances {
			r.restartInstances(fault, random)
		}
		afterFunc(fault.Duration, func() { r.makeResponsive(chosen, fault.Cold) })
	case emulator.Crash:
		r.crash(chosen)
		afterFunc(fault.Duration, func() { r.restartEndpoints(chosen) })
	case emulator.Shrink, emulator.Rolling:
		slices.SortFunc(chosen, func(a, b *fakeEndpoint) int { return int(a.id - b.id) })
		for i, endpoint := range chosen {
			afterFunc(policy.Time(i)*fault.Every, func() { r.drain(fault, endpoint) })
		}
	}
}

// choose draws the endpoints that a fault affects.
func (r *liveRun) choose(fault *emulator.Fault, random *rand.Rand) []*fakeEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []*fakeEndpoint
	for _, endpoint := range r.endpoints {
		if endpoint.listedStatus == policy.Ready && !endpoint.down.Load() && affects(fault, endpoint) {
			chosen = append(chosen, endpoint)
		}
	}
	count := fault.Affected(len(chosen))
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:count]
}

// affects reports whether a fault may affect an endpoint.
func affects(fault *emulator.Fault, endpoint *fakeEndpoint) bool {
	if fault.Zone != "" && fault.Zone != endpoint.zone {
		return false
	}
	if fault.Pod >= 0 && fault.Pod != int(endpoint.cell) {
		return false
	}
	return len(fault.Endpoints) == 0 || slices.Contains(fault.Endpoints, int(endpoint.id))
}

// delayLists holds back the lists of all instances for a time.
func (r *liveRun) delayLists(duration policy.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range r.instances {
		instance.listDelayedUntil = r.clock.Now() + duration
	}
}

// setSpeed sets the speed of endpoints to a fraction of the usual one for a time.
func (r *liveRun) setSpeed(endpoints []*fakeEndpoint, fraction float64, duration policy.Time) {
	set := func(fraction float64) {
		for _, endpoint := range endpoints {
			endpoint.Update(func(m *machine.Machine, now policy.Time) { m.SetFaultSpeed(now, fraction) })
		}
	}
	set(fraction)
	afterFunc(duration, func() { set(1) })
}

// setErrorRate makes endpoints answer a share of requests with errors for a time.
func (r *liveRun) setErrorRate(endpoints []*fakeEndpoint, share float64, duration policy.Time) {
	set := func(share float64) {
		for _, endpoint := range endpoints {
			endpoint.SetErrorRate(share)
		}
	}
	set(share)
	afterFunc(duration, func() { set(0) })
}

// pauseInTurn pauses one endpoint after another, starting with the one that turn selects, until the end of the fault.
func (r *liveRun) pauseInTurn(fault *emulator.Fault, endpoints []*fakeEndpoint, end policy.Time, turn int) {
	if r.clock.Now() >= end || len(endpoints) == 0 {
		return
	}
	pause := policy.Time(fault.Size * float64(policy.Second))
	endpoints[turn%len(endpoints)].Update(func(m *machine.Machine, now policy.Time) {
		m.PauseUntil(now, now+pause)
	})
	interval := fault.Every/policy.Time(len(endpoints)) + 1
	afterFunc(interval, func() { r.pauseInTurn(fault, endpoints, end, turn+1) })
}

func (r *liveRun) makeSilent(endpoints []*fakeEndpoint) {
	for _, endpoint := range endpoints {
		endpoint.SetSilent(true)
		endpoint.down.Store(true)
		r.detect(endpoint, policy.Removed)
	}
}

// makeResponsive ends the silence of endpoints. If they are to be cold, it restarts them.
func (r *liveRun) makeResponsive(endpoints []*fakeEndpoint, cold bool) {
	if cold {
		for _, endpoint := range endpoints {
			endpoint.Stop()
		}
		r.restartEndpoints(endpoints)
		return
	}
	for _, endpoint := range endpoints {
		endpoint.SetSilent(false)
		endpoint.down.Store(false)
		r.announce(endpoint, policy.Ready)
	}
}

func (r *liveRun) crash(endpoints []*fakeEndpoint) {
	for _, endpoint := range endpoints {
		endpoint.down.Store(true)
		endpoint.Stop()
		r.announce(endpoint, policy.Removed)
	}
}

func (r *liveRun) restartEndpoints(endpoints []*fakeEndpoint) {
	for _, endpoint := range endpoints {
		if err := endpoint.Restart(); err != nil {
			r.log("endpoint %s: cannot restart: %v", endpoint.uid, err)
			continue
		}
		endpoint.down.Store(false)
		r.announce(endpoint, policy.Ready)
	}
}

// drain drains an endpoint and then stops it for good or, in a rolling restart, starts it again.
func (r *liveRun) drain(fault *emulator.Fault, drained *fakeEndpoint) {
	drained.Drain()
	r.announce(drained, policy.Draining)
	drainTime := fault.Duration
	if drainTime == 0 {
		drainTime = defaultDrainTime
	}
	afterFunc(drainTime, func() {
		drained.Stop()
		if fault.Kind == emulator.Shrink {
			drained.down.Store(true)
			r.announce(drained, policy.Removed)
			return
		}
		r.restartEndpoints([]*fakeEndpoint{drained})
	})
}

func (r *liveRun) addEndpoints(count int) {
	for range count {
		added, err := r.addEndpoint()
		if err != nil {
			r.log("cannot add an endpoint: %v", err)
			return
		}
		r.announce(added, policy.Ready)
	}
}

// addEndpoint starts a further endpoint, which discovery does not list yet.
func (r *liveRun) addEndpoint() (*fakeEndpoint, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	scenario := r.Scenario
	number := len(r.endpoints)
	template := r.endpoints[number%scenario.Endpoints]
	added := &fakeEndpoint{
		id:           judge.EndpointID(number),
		uid:          fmt.Sprintf("s-%05d", number),
		zone:         scenario.Zones[number%len(scenario.Zones)],
		cell:         template.cell + addedCellOffset,
		weight:       template.weight,
		listedStatus: policy.Removed,
	}
	traits := scenario.Kinds[number%len(scenario.Kinds)].Traits
	return added, r.startEndpoint(added, traits, r.clock.Now())
}

// restartInstances kills instances and, after the fault's duration, starts them again with a new list.
func (r *liveRun) restartInstances(fault *emulator.Fault, random *rand.Rand) {
	killed := r.killInstances(fault, random)
	afterFunc(fault.Duration, func() {
		for _, instance := range killed {
			<-instance.exited // until then its address may be in use
			if err := r.writeList(instance); err != nil {
				r.log("sidecar %d: cannot write its list: %v", instance.id, err)
			}
			if err := r.startInstance(instance); err != nil {
				r.log("sidecar %d: cannot start it again: %v", instance.id, err)
			}
		}
		for _, instance := range killed {
			if err := r.waitReady(instance, restartTimeout); err != nil {
				r.log("sidecar %d: %v", instance.id, err)
			}
		}
	})
}

// killInstances draws the instances that a fault affects, and kills them.
func (r *liveRun) killInstances(fault *emulator.Fault, random *rand.Rand) []*daemonProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []*daemonProcess
	for _, instance := range r.instances {
		if instance.process != nil && (fault.Zone == "" || instance.zone == fault.Zone) {
			chosen = append(chosen, instance)
		}
	}
	if fault.Kind == emulator.SidecarRestart {
		random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:fault.Affected(len(chosen))]
	}
	for _, instance := range chosen {
		process := instance.process
		instance.generation++
		instance.process = nil
		instance.ready = false
		exited := make(chan struct{})
		instance.exited = exited
		_ = process.Process.Kill() // it may have ended already
		go func() {
			_ = process.Wait() // it was killed
			close(exited)
		}()
		r.judge.InstanceDied(instance.id)
	}
	return chosen
}
