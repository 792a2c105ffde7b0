package emulator

import (
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// request is a client's request, over all its tries. The judge calls it a client request.
type request struct {
	inUse       bool
	judgeID     judge.ClientRequestID
	class       policy.ClassID
	tenant      policy.TenantID
	instance    int32
	key         uint64
	workFactor  float64 // its work divided by the mean work of its class
	ioFactor    float64 // its I/O time divided by the mean I/O time of its class
	tries       int
	at          policy.Time // when it began
	deadline    policy.Time
	markedRetry bool // its recorded arrival was marked as a retry
}

// clientTry is one transmission of a request from its client to an instance. The judge and the deciders treat each try
// as a request of its own.
type clientTry struct {
	inUse               bool
	clientWaiting       bool // the client waits for a final answer
	inFlight            bool // an attempt is in flight
	deadlinePassed      bool
	judgeID             judge.RequestID
	request             int32 // index in World.requests
	instance            *instance
	instanceIncarnation int // incarnation of the instance when the try reached it
	handle              policy.Handle
	deadline            policy.Time
	arrivedAt           policy.Time // time at which it reached the instance
	attempts            int
	attemptID           uint64 // counts attempts, so that events of earlier attempts can be told apart
	judgeAttempt        int    // number that the judge has given to the current attempt
	endpoint            *endpoint
	endpointIncarnation int // incarnation of the endpoint when the attempt reached it
	job                 machine.JobID
	written             bool // the attempt is sent completely and may run
	sentAt              policy.Time
	answer              judge.Answer
	retryAfter          policy.Time
}

// instance is one instance of the fleet. It implements policy.Front for its decider.
type instance struct {
	world           *World
	number          judge.InstanceID
	zone            policy.Zone
	newDecider      DeciderFactory
	decider         Decider
	alive           bool
	incarnation     int             // counts restarts
	tries           []int32         // indexes in World.tries, by the index of the handle
	idleConnections [][]policy.Time // by endpoint number: when each idle connection was last used
	wakeAt          policy.Time     // time of the next call of Woken; 0: no call is scheduled
	version         int64           // version of its endpoint list
	pollPending     bool            // it has requested the list and not received it yet
	following       bool            // it receives changes of the list
	list            map[*endpoint]notifiedStatus
	loadShare       float64 // part of all requests that its clients send
	rateDraws       *rand.Rand
	arrivalDraws    *rand.Rand
	classDraws      *rand.Rand
	keyDraws        *rand.Rand
	sizeDraws       *rand.Rand
	rateFactor      float64 // random factor on its rate
	rateFactorUntil policy.Time
	seedDraws       *rand.Rand
	settings        *policy.Settings
}

// notifiedStatus is the state of an endpoint in the list that an instance has.
type notifiedStatus struct {
	status  policy.EndpointStatus
	started policy.Time
}

func (w *World) newInstance(number int, factory DeciderFactory) *instance {
	inst := &instance{
		world:        w,
		number:       judge.InstanceID(number),
		zone:         w.scenario.Zones[number%len(w.scenario.Zones)],
		newDecider:   factory,
		list:         map[*endpoint]notifiedStatus{},
		rateDraws:    stream(w.seed, "gusts", number),
		arrivalDraws: stream(w.seed, "arrivals", number),
		classDraws:   stream(w.seed, "mix", number),
		keyDraws:     stream(w.seed, "keys", number),
		sizeDraws:    stream(w.seed, "sizes", number),
		seedDraws:    stream(w.seed, "lives", number),
		rateFactor:   1,
	}
	settings := w.settings
	settings.Zone = inst.zone
	inst.settings = &settings
	return inst
}

// shareLoad sets the part of all requests that each instance gets. With Load.ZoneSkew, this part falls from the first
// zone to the last.
func (w *World) shareLoad() {
	sum := 0.0
	last := float64(max(1, len(w.scenario.Zones)-1))
	for _, inst := range w.instances {
		zoneIndex := 0
		for i, name := range w.scenario.Zones {
			if name == inst.zone {
				zoneIndex = i
			}
		}
		inst.loadShare = 1 + w.scenario.Load.ZoneSkew*(1-2*float64(zoneIndex)/last)
		if len(w.scenario.Zones) == 1 {
			inst.loadShare = 1
		}
		sum += inst.loadShare
	}
	for _, inst := range w.instances {
		inst.loadShare /= sum
	}
}

// start starts an instance with the list that it has saved, or with the complete list.
func (inst *instance) start(kind policy.ListKind) {
	inst.alive = true
	inst.wakeAt = 0
	inst.pollPending = false
	inst.following = !inst.world.scenario.Discovery.Polled
	inst.idleConnections = make([][]policy.Time, len(inst.world.endpoints))
	inst.tries = inst.tries[:0]
	inst.decider = inst.newDecider(inst, inst.settings, inst.seedDraws.Uint64(), inst.world.now, inst.world)
	if kind == policy.ListSaved {
		var all []policy.Member
		for _, ep := range inst.world.endpoints {
			if notified, known := inst.list[ep]; known {
				member := inst.world.member(ep)
				member.Status, member.Started = notified.status, notified.started
				all = append(all, member)
			}
		}
		if len(all) > 0 {
			inst.decider.UpdateEndpoints(inst.world.now, policy.ListSaved, all)
			for ep, notified := range inst.list {
				inst.world.judge.EndpointNotified(
					inst.world.sinceStart(inst.world.now),
					inst.number,
					ep.number,
					notified.status,
					notified.started,
				)
			}
		}
		inst.world.requestList(inst)
		return
	}
	inst.notify(policy.ListFull, inst.world.endpoints)
}

// stop kills an instance. Its connections with clients and endpoints break.
func (inst *instance) stop() {
	inst.alive = false
	inst.incarnation++
	inst.world.judge.InstanceDied(inst.number)
	for i := range inst.world.tries {
		try := &inst.world.tries[i]
		if !try.inUse || try.instance != inst {
			continue
		}
		if try.inFlight {
			inst.world.closeAttempt(try)
			try.inFlight = false
			try.endpoint.inFlight--
			inst.world.judge.AttemptEnded(try.judgeID, try.judgeAttempt, false)
		}
		if try.clientWaiting {
			try.clientWaiting = false
			req := &inst.world.requests[try.request]
			inst.world.judge.ClientLeft(try.judgeID, req.judgeID)
			inst.world.retryLater(try.request, true, 0)
		}
		inst.world.releaseTry(int32(i))
	}
	for number, idle := range inst.idleConnections {
		if ep := inst.world.endpoints[number]; len(idle) > 0 && !ep.down {
			ep.machine.AddConnections(inst.world.now, -len(idle))
		}
	}
	clear(inst.idleConnections)
}
