package livetest

import (
	"math/rand/v2"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/fakebackend"
	"pepperlead/policy"
)

func (s *stage) serve(world *emulator.World) error {
	for no, of := range world.Layout() {
		v := &server{no: judge.EndpointID(no), uid: of.UID, zone: of.Zone, cell: of.Cell, weight: of.Weight}
		if err := s.startServer(v, of.Traits, 0); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) startServer(v *server, traits machine.Traits, started policy.Time) error {
	roll := rand.New(rand.NewPCG(s.Seed, uint64(v.no)+100))
	m, err := fakebackend.StartModelServer("127.0.0.1:0", fakebackend.ModelServerOptions{
		Traits:   traits,
		Started:  started,
		Clock:    s.clock,
		Random:   roll.Float64,
		Observer: &eye{s, v},
	})
	if err != nil {
		return err
	}
	v.ModelServer, v.began = m, started
	s.servers = append(s.servers, v)
	return nil
}

// eye watches one server.
type eye struct {
	s *stage
	v *server
}

type seen struct {
	t *ticket
	n int
}

// RequestArrived tells the judge of a push. An earlier push of the ticket whose connection the sidecar has closed is waited for a
// little, as its server may hear of the close later than the next one of the push.
func (e *eye) RequestArrived(arrival fakebackend.Arrival) any {
	s := e.s
	s.mu.Lock()
	t := s.tickets[arrival.RequestID]
	if t == nil {
		s.mu.Unlock()
		return nil // of a request that is long over
	}
	at := s.now()
	if before := t.out; before != nil {
		s.mu.Unlock()
		select {
		case <-before:
		case <-time.After(time.Duration(slack)):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if t.answered > 0 && at < t.answered+slack {
		return nil // was on its way already
	}
	n := s.judge.AttemptStarted(at, t.of, e.v.no, e.v.zone, e.v.cell, e.v.zone != t.sidecar.zone)
	s.judge.AttemptWritten(t.of, n)
	if arrival.Cold {
		s.judge.ColdWorkArrived(at, t.sidecar.no, e.v.no, arrival.Started, float64(arrival.Work), arrival.Capacity)
	}
	t.out = make(chan struct{})
	t.pushes++
	return &seen{t, n}
}

// RequestEnded tells the judge how a push ended for its server.
func (e *eye) RequestEnded(of any, never bool) {
	if k, is := of.(*seen); is {
		e.s.mu.Lock()
		defer e.s.mu.Unlock()
		e.s.judge.AttemptEnded(k.t.of, k.n, never)
		if k.t.out != nil {
			close(k.t.out)
			k.t.out = nil
		}
	}
}
