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

// clientRequest is a planned request of a client. It takes one request to its instance or, with retries, several.
type clientRequest struct {
	arrival  *emulator.Arrival
	class    *emulator.Class
	instance *daemonProcess
	id       judge.ClientRequestID
	deadline policy.Time
}

// pendingRequest is a request to an instance, kept until the instance can no longer make attempts for it.
type pendingRequest struct {
	headerID    string // value of X-Request-ID
	id          judge.RequestID
	instance    *daemonProcess
	generation  int           // generation of the instance when the request was sent
	answeredAt  policy.Time   // 0: not answered yet
	attemptDone chan struct{} // closed when the latest attempt has ended at its endpoint; nil: none is open
}

// requestResult is how a request to an instance has ended for its client.
type requestResult struct {
	answer     judge.Answer
	retryAfter policy.Time
	answered   bool // whether there was a response; none comes, for example, if the instance was killed
}

// serveClient sends a planned request with its retries.
func (r *liveRun) serveClient(arrival *emulator.Arrival) {
	at := r.now()
	r.mu.Lock()
	value := r.values.Value(at, arrival.Class, arrival.Tenant)
	request := &clientRequest{
		arrival:  arrival,
		class:    &r.Scenario.Classes[arrival.Class],
		instance: r.instances[arrival.Instance],
		id:       r.judge.ClientRequestBegun(at, arrival.Class, arrival.Tenant, value),
		deadline: at + arrival.TimeLeft,
	}
	r.mu.Unlock()
	for number := 1; ; number++ {
		result := r.send(request, number)
		if !r.mayRetry(request, result, number) {
			break
		}
		backoff := r.backoff(number, result.retryAfter)
		if r.now()+backoff >= request.deadline {
			break
		}
		time.Sleep(time.Duration(backoff))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge.ClientRequestEnded(request.id)
}

// mayRetry reports whether the client sends another request after the given number of requests, the latest of which
// ended with the result.
func (r *liveRun) mayRetry(request *clientRequest, result requestResult, sent int) bool {
	if result.answered && result.answer == judge.Succeeded || sent > r.Scenario.Clients.Retries {
		return false
	}
	mayHaveRun := result.answered && result.answer != judge.Rejected
	return !mayHaveRun || request.class.Idempotency != policy.NonIdempotent
}

// backoff draws the pause before the next request.
func (r *liveRun) backoff(sent int, retryAfter policy.Time) policy.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	clients := &r.Scenario.Clients
	backoff := policy.Time(float64(clients.Backoff<<(sent-1)) * (0.5 + r.retryRandom.Float64()))
	if r.retryRandom.Float64() < clients.HonourRetryAfter {
		backoff = max(backoff, retryAfter)
	}
	return backoff
}

// send sends one request to the instance and reports to the judge how it ended.
func (r *liveRun) send(request *clientRequest, number int) requestResult {
	timeLeft := request.deadline - r.now()
	if timeLeft <= 0 {
		return requestResult{}
	}
	pending := r.register(request, number)
	if pending == nil {
		return requestResult{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeLeft+tolerance/2))
	defer cancel()
	var response httpResult
	httpRequest, err := r.newHTTPRequest(ctx, request, pending.headerID, number, timeLeft)
	if err == nil {
		response, err = r.roundTrip(httpRequest)
	}
	return r.recordEnd(request, pending, response, err)
}

// register reports a request to the judge and stores it for the endpoints. It returns nil if the instance is not ready.
func (r *liveRun) register(request *clientRequest, number int) *pendingRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	instance := request.instance
	if !instance.ready {
		return nil
	}
	pending := &pendingRequest{
		id: r.judge.RequestAccepted(
			r.now(), request.id, instance.id, request.arrival.Class, request.deadline+tolerance),
		instance:   instance,
		generation: instance.generation,
	}
	r.judge.SetKey(pending.id, request.arrival.Key)
	pending.headerID = fmt.Sprintf("%d-%d-%d", request.id, number, r.now())
	r.pending[pending.headerID] = pending
	return pending
}

func (r *liveRun) newHTTPRequest(ctx context.Context, request *clientRequest, headerID string, number int,
	timeLeft policy.Time) (*http.Request, error) {
	arrival := request.arrival
	class := request.class
	method := http.MethodPost
	if class.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	url := "http://" + request.instance.address + "/" + class.Name
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	work := int64(float64(class.Work) * arrival.WorkFactor)
	ioTime := int64(float64(class.IO) * arrival.IOFactor)
	header := httpRequest.Header
	header.Set("X-Request-ID", headerID)
	header.Set("X-Timeout", strconv.FormatFloat(seconds(timeLeft), 'f', 4, 64))
	header.Set("X-Work", fmt.Sprintf("%d,%d", work, ioTime))
	if arrival.Key != 0 {
		header.Set("X-Route-Key", "k"+strconv.FormatUint(arrival.Key, 36))
	}
	if arrival.Tenant >= 0 {
		header.Set("X-Tenant-Id", r.Scenario.Tenants[arrival.Tenant].Name)
	}
	if class.Idempotency == policy.Keyed {
		header.Set("Idempotency-Key", "i-"+headerID)
	}
	if r.Scenario.Clients.MarkRetries && number > 1 {
		header.Set("X-Retried", "1")
	}
	return httpRequest, nil
}

// httpResult is what the client reads of an HTTP response.
type httpResult struct {
	status     int
	retryAfter policy.Time
}

func (r *liveRun) roundTrip(httpRequest *http.Request) (httpResult, error) {
	httpResponse, err := r.client.RoundTrip(httpRequest)
	if err != nil {
		return httpResult{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // it has been read to its end
	if _, err := io.Copy(io.Discard, httpResponse.Body); err != nil {
		return httpResult{}, err
	}
	read := httpResult{status: httpResponse.StatusCode}
	if delay, err := strconv.ParseFloat(httpResponse.Header.Get("Retry-After"), 64); err == nil {
		read.retryAfter = policy.Time(delay * float64(policy.Second))
	}
	return read, nil
}

// recordEnd reports to the judge how a request has ended for its client. A request without a response is not reported
// while its instance lives: once the deadline has passed, the judge counts the response as missing.
func (r *liveRun) recordEnd(request *clientRequest, pending *pendingRequest, response httpResult,
	err error) requestResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	ended := requestResult{answer: judge.Failed, retryAfter: response.retryAfter, answered: err == nil}
	instance := pending.instance
	switch {
	case err != nil && (instance.generation != pending.generation || !instance.ready):
		r.judge.ClientLeft(pending.id, request.id)
	case err != nil:
		r.log("%s: no response: %v", pending.headerID, err)
	case response.status == http.StatusOK:
		ended.answer = judge.Succeeded
	case response.status == http.StatusServiceUnavailable || response.status == http.StatusTooManyRequests:
		ended.answer = judge.Rejected
	}
	if err == nil {
		r.judge.RequestAnswered(now, pending.id, request.id, ended.answer)
		pending.answeredAt = max(now, 1)
	}
	afterFunc(max(0, request.deadline+2*tolerance-now), func() { r.forget(request, pending) })
	return ended
}

// forget reports that the deadline of a request has passed, and removes the request.
func (r *liveRun) forget(request *clientRequest, pending *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge.DeadlinePassed(r.now(), pending.id, request.id)
	delete(r.pending, pending.headerID)
}
