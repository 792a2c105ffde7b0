package livetest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

// Clients over HTTP: one request, its tries, and what the judge is told of them.

// request plays what a client wants, over its tries.
func (s *stage) request(a *emulator.Arrival) {
	sc := s.Scenario
	o := &sc.Classes[a.Class]
	c := s.sidecars[a.Instance]
	from := s.now()
	s.mu.Lock()
	r := s.judge.ClientRequestBegun(from, a.Class, a.Tenant, s.credit.Value(from, a.Class, a.Tenant))
	s.mu.Unlock()
	cutOff := from + a.TimeLeft
	for try := 1; ; try++ {
		answer, advice, sent := s.try(a, c, r, cutOff, try)
		harmless := !sent || answer == judge.Rejected
		if sent && answer == judge.Succeeded || try > sc.Clients.Retries || !harmless && o.Idempotency == policy.NonIdempotent {
			break
		}
		s.mu.Lock()
		pause := policy.Time(float64(sc.Clients.Backoff<<(try-1)) * (0.5 + s.retries.Float64()))
		if s.retries.Float64() < sc.Clients.HonourRetryAfter {
			pause = max(pause, advice)
		}
		s.mu.Unlock()
		if s.now()+pause >= cutOff {
			break
		}
		time.Sleep(time.Duration(pause))
	}
	s.mu.Lock()
	s.judge.ClientRequestEnded(r)
	s.mu.Unlock()
}

// try sends one try. sent is false where the sidecar was not there, or died with it.
func (s *stage) try(a *emulator.Arrival, c *sidecar, r judge.ClientRequestID, cutOff policy.Time, try int) (judge.Answer, policy.Time, bool) {
	o := &s.Scenario.Classes[a.Class]
	left := cutOff - s.now()
	if left <= 0 {
		return 0, 0, false
	}
	s.mu.Lock()
	life, up := c.life, c.up
	if !up {
		s.mu.Unlock()
		return 0, 0, false
	}
	t := &ticket{sidecar: c, request: r, of: s.judge.RequestAccepted(s.now(), r, c.no, a.Class, cutOff+slack)}
	s.judge.SetKey(t.of, a.Key)
	id := fmt.Sprintf("%d-%d-%d", r, try, s.now())
	s.tickets[id] = t
	s.mu.Unlock()
	method := http.MethodPost
	if o.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	ctx, end := context.WithTimeout(context.Background(), time.Duration(left+slack/2))
	defer end()
	call, _ := http.NewRequestWithContext(ctx, method, "http://"+c.addr+"/"+o.Name, nil)
	h := call.Header
	h.Set("X-Request-ID", id)
	h.Set("X-Timeout", strconv.FormatFloat(float64(left)/1e9, 'f', 4, 64))
	h.Set("X-Work", fmt.Sprintf("%d,%d", int64(float64(o.Work)*a.WorkFactor), int64(float64(o.IO)*a.IOFactor)))
	if a.Key != 0 {
		h.Set("X-Route-Key", "k"+strconv.FormatUint(a.Key, 36))
	}
	if a.Tenant >= 0 {
		h.Set("X-Tenant-Id", s.Scenario.Tenants[a.Tenant].Name)
	}
	if o.Idempotency == policy.Keyed {
		h.Set("Idempotency-Key", "i-"+id)
	}
	if s.Scenario.Clients.MarkRetries && try > 1 {
		h.Set("X-Retried", "1")
	}
	status, advice, err := s.round(call)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	answer := judge.Failed
	switch {
	case err != nil && (c.life != life || !c.up):
		s.judge.ClientLeft(t.of, r) // its sidecar died with it
	case err != nil:
		s.log("%s: no answer: %v", id, err)
		// Nothing is told to the judge: the cut-off will show that an answer was owed.
	case status == 200:
		answer = judge.Succeeded
	case status == 503 || status == 429:
		answer = judge.Rejected
	}
	if err == nil {
		s.judge.RequestAnswered(now, t.of, r, answer)
		t.answered = max(now, 1)
	}
	time.AfterFunc(time.Duration(max(0, cutOff+2*slack-now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.judge.DeadlinePassed(s.now(), t.of, r)
		delete(s.tickets, id)
	})
	return answer, advice, err == nil
}

func (s *stage) round(call *http.Request) (status int, advice policy.Time, err error) {
	answer, err := s.client.RoundTrip(call)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, 0, err
	}
	if v, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		advice = policy.Time(v * 1e9)
	}
	return answer.StatusCode, advice, nil
}
