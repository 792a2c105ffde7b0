package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// maxListSize bounds a list, in bytes. It is enough for several thousand endpoints with long names, indented.
const maxListSize = 8 << 20

// Causes for the cancellation of a call.
var (
	errTimeout          = errors.New("discovery has not answered before the timeout")
	errConnectionClosed = errors.New("the connection to the discovery agent was closed")
)

// call requests the whole list, or watches for changes since a revision.
func (p *Platform) call(ctx context.Context, transport http.RoundTripper, since int64) (platformList, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	target := "http://" + p.addr + "/catalog/members"
	timeout := p.AnswerTimeout()
	if since >= 0 {
		target += fmt.Sprintf("?from=%d&hold_ms=%d", since, p.WatchTimeout.Milliseconds())
		timeout += p.WatchTimeout
	}
	timer := time.AfterFunc(timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	if p.Grace > 0 {
		ctx = p.withoutReconnect(ctx, since >= 0, cancel)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return platformList{}, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return platformList{}, err
	}
	defer func() { _ = response.Body.Close() }() // an error has no consequence after reading
	p.connectionCloses = response.Close
	timer.Reset(p.AnswerTimeout()) // the body must not take as long as a watch may
	return readResponse(response)
}

// readResponse reads the list from a response.
func readResponse(response *http.Response) (platformList, error) {
	if response.StatusCode != http.StatusOK {
		return platformList{}, fmt.Errorf("unexpected status %d from discovery", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListSize+1))
	if err != nil {
		return platformList{}, err
	}
	if len(body) > maxListSize {
		return platformList{}, fmt.Errorf("%w: it is longer than %d bytes", errMalformedList, maxListSize)
	}
	return decodePlatformList(body)
}

// withoutReconnect cancels a call to an agent if the call needs a second connection, or if a watch needs a new one. The
// transport would repeat the watch by itself on another connection, but an agent whose connection was closed may have
// restarted with a lower revision, or may hang: the whole list must be requested instead. An agent that announces with
// each response that it closes the connection is watched nevertheless.
func (p *Platform) withoutReconnect(ctx context.Context, watch bool, cancel context.CancelCauseFunc) context.Context {
	connections := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		connections++
		if connections > 1 || watch && !got.Reused && !p.connectionCloses {
			cancel(errConnectionClosed)
		}
	}})
}
