package livetest

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/freeport"
	"pepperlead/policy"
)

// fakeEndpoint is a fake backend with its entry in discovery's list.
type fakeEndpoint struct {
	*fakebackend.ModelServer
	id            judge.EndpointID
	uid           string
	zone          policy.Zone
	cell          policy.Cell
	weight        float64
	listedStatus  policy.EndpointStatus
	listedStarted policy.Time
	down          atomic.Bool // stopped or silent
}

func (r *liveRun) startEndpoints(world *emulator.World) error {
	for i, placed := range world.Layout() {
		endpoint := &fakeEndpoint{
			id:     judge.EndpointID(i),
			uid:    placed.UID,
			zone:   placed.Zone,
			cell:   placed.Cell,
			weight: placed.Weight,
		}
		if err := r.startEndpoint(endpoint, placed.Traits, 0); err != nil {
			return err
		}
	}
	return nil
}

func (r *liveRun) startEndpoint(endpoint *fakeEndpoint, traits machine.Traits, started policy.Time) error {
	random := rand.New(rand.NewPCG(r.Seed, uint64(endpoint.id)+endpointStream))
	address, err := freeport.ChooseAddress(loopback)
	if err != nil {
		return err
	}
	server, err := fakebackend.StartModelServer(address, fakebackend.ModelServerOptions{
		Traits:   traits,
		Started:  started,
		Clock:    r.clock,
		Random:   random.Float64,
		Observer: &endpointObserver{r, endpoint},
	})
	if err != nil {
		return err
	}
	endpoint.ModelServer = server
	endpoint.listedStarted = started
	r.endpoints = append(r.endpoints, endpoint)
	return nil
}

// endpointObserver reports the attempts that reach an endpoint to the judge.
type endpointObserver struct {
	run      *liveRun
	endpoint *fakeEndpoint
}

// observedAttempt is an attempt that was reported to the judge.
type observedAttempt struct {
	request *pendingRequest
	number  int
}

// RequestArrived reports the start of an attempt. If an earlier attempt for the request is still open at its endpoint,
// it first waits for the end of that attempt, for at most tolerance: the earlier endpoint may not have noticed yet that
// the instance has closed the connection.
func (o *endpointObserver) RequestArrived(arrival fakebackend.Arrival) any {
	r := o.run
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.pending[arrival.RequestID]
	if request == nil {
		return nil // its deadline has long passed
	}
	at := r.now()
	if previous := request.attemptDone; previous != nil {
		r.mu.Unlock()
		select {
		case <-previous:
		case <-time.After(time.Duration(tolerance)):
		}
		r.mu.Lock()
	}
	if request.answeredAt > 0 && at < request.answeredAt+tolerance {
		return nil // the attempt was sent before the client's response
	}
	instance := request.instance
	endpoint := o.endpoint
	crossesZones := endpoint.zone != instance.zone
	number := r.judge.AttemptStarted(at, request.id, endpoint.id, endpoint.zone, endpoint.cell, crossesZones)
	r.judge.AttemptWritten(request.id, number)
	if arrival.Cold {
		r.judge.ColdWorkArrived(at, instance.id, endpoint.id, arrival.Started, float64(arrival.Work), arrival.Capacity)
	}
	request.attemptDone = make(chan struct{})
	return &observedAttempt{request, number}
}

// RequestEnded reports how an attempt has ended at its endpoint.
func (o *endpointObserver) RequestEnded(observed any, rejected bool) {
	attempt, reported := observed.(*observedAttempt)
	if !reported {
		return
	}
	o.run.mu.Lock()
	defer o.run.mu.Unlock()
	o.run.judge.AttemptEnded(attempt.request.id, attempt.number, rejected)
	if attempt.request.attemptDone != nil {
		close(attempt.request.attemptDone)
		attempt.request.attemptDone = nil
	}
}
