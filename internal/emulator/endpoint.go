package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// endpoint is the state of one endpoint of the fleet.
type endpoint struct {
	world          *World
	number         judge.EndpointID
	id             policy.EndpointID
	uid            string
	kind           *EndpointKind
	traits         machine.Traits
	zone           policy.Zone
	cell           policy.Cell
	weight         float64 // weight that endpoint lists show
	machine        *machine.Machine
	started        policy.Time
	status         policy.EndpointStatus
	down           bool        // its process has ended
	silentFaults   int         // number of active silent faults
	lost           bool        // its process ended when it became unreachable, and starts when it is reachable again
	slowFactors    []float64   // sizes of the active slow faults; each divides the speed
	errorRate      float64     // set by an errors fault; 0: none is active
	incarnation    int         // counts starts and stops
	scheduledAt    policy.Time // time of its next event; 0: no event is scheduled
	scheduledEvent uint32      // number of its latest scheduled event; earlier ones are ignored
	pod            *pod
	inFlight       int                   // attempts in flight
	knownStatus    policy.EndpointStatus // status that discovery knows
	knownStart     policy.Time           // start time that discovery knows
	knownVersion   int64                 // version of the list in which discovery last changed the endpoint
	noise          *rand.Rand
}

// pod is a group of endpoints with a common limit on cores.
type pod struct {
	endpoints   []*endpoint
	limit       float64 // cores; 0: none
	limitFactor float64 // part of the limit that is left during a pod-throttled fault; 1: none is active
}

func (w *World) newEndpoint(kind *EndpointKind, started policy.Time) *endpoint {
	number := len(w.endpoints)
	ep := &endpoint{
		world:          w,
		number:         judge.EndpointID(number),
		kind:           kind,
		traits:         kind.Traits,
		zone:           w.scenario.Zones[number%len(w.scenario.Zones)],
		started:        started,
		weight:         1,
		scheduledEvent: 0,
		noise:          stream(w.seed, "work", number),
	}
	ep.uid = "s-" + paddedNumber(number)
	ep.id = endpointfiles.EndpointID(ep.uid)
	// Each pod is in one zone: the endpoints of a zone fill its pods one after another.
	ep.cell = policy.Cell(number/len(w.scenario.Zones)/w.scenario.PodSize*len(w.scenario.Zones) +
		number%len(w.scenario.Zones))
	ep.traits.Speed *= logNormal(stream(w.seed, "speed", number), kind.SpeedSpread)
	if kind.Weighted {
		ep.weight = ep.traits.Cores * ep.traits.Speed
	}
	ep.machine = machine.New(ep.traits, started)
	for len(w.pods) <= int(ep.cell) {
		w.pods = append(w.pods, &pod{limitFactor: 1})
	}
	ep.pod = w.pods[ep.cell]
	ep.pod.endpoints = append(ep.pod.endpoints, ep)
	if w.scenario.PodLimit > 0 {
		ep.pod.limit += w.scenario.PodLimit * ep.traits.Cores
	}
	w.endpoints = append(w.endpoints, ep)
	w.byID[ep.id] = ep
	return ep
}

// paddedNumber formats a number with leading zeros, so that the texts sort in the order of the numbers.
func paddedNumber(number int) string {
	b := []byte("00000")
	for i := len(b) - 1; number > 0 && i >= 0; i-- {
		b[i] = byte('0' + number%10)
		number /= 10
	}
	return string(b)
}

// advance runs the endpoint's machine up to now, handles the jobs that have finished, and schedules the next event.
func (ep *endpoint) advance() {
	w := ep.world
	w.finishedJobs = ep.machine.Run(w.now, w.finishedJobs[:0])
	for _, job := range w.finishedJobs {
		w.jobFinished(ep, job)
	}
	ep.pod.shareCores(w.now)
	ep.scheduleNext()
}

// scheduleNext schedules the endpoint's next event, which replaces the one scheduled before.
func (ep *endpoint) scheduleNext() {
	at, pending := ep.machine.Next()
	if !pending || ep.down {
		ep.scheduledAt = 0
		return
	}
	at = max(at, ep.world.now)
	if at == ep.scheduledAt {
		return
	}
	ep.scheduledAt = at
	ep.scheduledEvent++
	ep.world.queue.add(
		event{at: at, rank: rankWorld, do: (*World).endpointDue, a: int32(ep.number), c: uint64(ep.scheduledEvent)},
	)
}

// endpointDue runs when the next event of an endpoint is due.
func (w *World) endpointDue(e *event) {
	if ep := w.endpoints[e.a]; uint64(ep.scheduledEvent) == e.c && ep.scheduledAt == w.now {
		ep.scheduledAt = 0
		ep.advance()
	}
}

// shareCores sets the speed of a pod's endpoints so that they use no more cores than its limit. All get the same part
// of their speed. Changes of less than 0.01 are left out, unless the limit begins or ceases to apply.
func (p *pod) shareCores(now policy.Time) {
	if p.limit == 0 || len(p.endpoints) == 0 {
		return
	}
	busy := 0.0
	for _, ep := range p.endpoints {
		busy += ep.machine.Busy()
	}
	part := min(1, p.limit*p.limitFactor/max(busy, 1e-9))
	if math.Abs(part-p.endpoints[0].podSpeed()) < 0.01 && (part < 1) == (p.endpoints[0].podSpeed() < 1) {
		return
	}
	for _, ep := range p.endpoints {
		ep.machine.SetPodSpeed(now, part)
		ep.scheduledAt = 0
		ep.scheduleNext()
	}
}

func (ep *endpoint) podSpeed() float64 { return ep.machine.PodSpeed() }

// applySlowFactors sets the speed that is left by the active slow faults.
func (ep *endpoint) applySlowFactors() {
	part := 1.0
	for _, factor := range ep.slowFactors {
		part /= factor
	}
	ep.machine.SetFaultSpeed(ep.world.now, part)
	ep.scheduledAt = 0
	ep.advance()
}

// unreachable reports whether a fault cuts the endpoint off from the network.
func (ep *endpoint) unreachable() bool { return ep.silentFaults > 0 || ep.world.lostZones[ep.zone] > 0 }

// stop ends the endpoint's process. Its jobs are lost, and its connections are reset unless it is unreachable.
func (ep *endpoint) stop() {
	ep.incarnation++
	ep.down = true
	ep.scheduledAt = 0
	ep.scheduledEvent++
	w := ep.world
	for i := range w.tries {
		try := &w.tries[i]
		if !try.inUse || !try.inFlight || try.endpoint != ep {
			continue
		}
		try.job = machine.NoJob
		if !ep.unreachable() {
			w.notifyInstance(int32(i), try, (*World).connectionReset)
		}
	}
	for _, inst := range w.instances {
		inst.idleConnections[ep.number] = inst.idleTo(ep)[:0]
	}
	ep.machine.Restart(w.now)
}

// start starts the endpoint's process, cold.
func (ep *endpoint) start() {
	ep.incarnation++
	ep.down = false
	ep.started = ep.world.now
	ep.machine.Restart(ep.world.now)
	ep.status = policy.Ready
}
