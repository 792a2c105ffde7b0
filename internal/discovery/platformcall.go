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

// maxListSize bounds an answer, in bytes: some thousand endpoints with long names, indented.
const maxListSize = 8 << 20

// Why a call was cancelled.
var (
	errTimeout          = errors.New("no answer in time")
	errConnectionClosed = errors.New("the connection had ended")
)

// call requests the whole list, or waits for the changes since a revision.
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
	defer func() { _ = response.Body.Close() }() // it was only read
	p.connectionCloses = response.Close
	timer.Reset(p.AnswerTimeout()) // the body may not take as long as a watch
	return readResponse(response)
}

// readResponse reads the list from a response.
func readResponse(response *http.Response) (platformList, error) {
	if response.StatusCode != http.StatusOK {
		return platformList{}, fmt.Errorf("the answer cannot be used: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListSize+1))
	if err != nil {
		return platformList{}, err
	}
	if len(body) > maxListSize {
		return platformList{}, fmt.Errorf("%w: over %d bytes", errMalformedList, maxListSize)
	}
	return decodePlatformList(body)
}

// withoutReconnect cancels a call to an agent that needs a second connection, or a watch that needs a new one. The
// transport would repeat the watch by itself on another connection, but an agent whose connection has ended may have
// restarted with a lower revision, or hang: the whole list must be requested instead. An agent that announces with each
// answer that it closes the connection is watched nevertheless.
func (p *Platform) withoutReconnect(ctx context.Context, watch bool, cancel context.CancelCauseFunc) context.Context {
	connections := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		connections++
		if connections > 1 || watch && !got.Reused && !p.connectionCloses {
			cancel(errConnectionClosed)
		}
	}})
}
