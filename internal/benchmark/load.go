package benchmark

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	requestTimeout   = 5 * time.Second
	retryInterval    = 5 * time.Millisecond // between tries of a daemon that starts
	minLatency       = 1000                 // ns; shorter ones count as this
	maxLatency       = 10 * time.Second
	latencyPrecision = 3    // significant digits
	routeKeys        = 1000 // different keys of requests
)

// closeUnchecked closes what was only read from, or is not used any more.
func closeUnchecked(c io.Closer) { _ = c.Close() }

// WaitForAnswer waits until a request is answered 200 at the address.
func WaitForAnswer(address string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		status, err := sendRequest(conn, bufio.NewReader(conn), 1)
		closeUnchecked(conn)
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no answer at %s within %v", address, timeout)
}

// WaitReady waits until a daemon has an endpoint list.
func WaitReady(address string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		response, err := http.Get("http://" + address + "/_health")
		if err != nil {
			continue
		}
		closeUnchecked(response.Body)
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("not ready at %s within %v", address, timeout)
}

// sendRequest sends a request and returns the status of the response, which it reads to its end.
func sendRequest(conn net.Conn, in *bufio.Reader, number int) (status int, err error) {
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, err
	}
	const request = "GET /step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s-%d\r\nX-Route-Key: %d\r\nX-Timeout: 2\r\n\r\n"
	if _, err := fmt.Fprintf(conn, request, conn.LocalAddr(), number, number%routeKeys); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer closeUnchecked(response.Body)
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// loadResult is what clients measured.
type loadResult struct {
	latencies *hdrhistogram.Histogram
	failed    int
}

func newLoadResult() loadResult {
	return loadResult{latencies: hdrhistogram.New(minLatency, int64(maxLatency), latencyPrecision)}
}

// runLoad has each client send one request after another for some time.
func runLoad(address string, clients int, duration time.Duration) loadResult {
	all := newLoadResult()
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for range clients {
		running.Go(func() {
			result := runClient(address, end)
			mu.Lock()
			defer mu.Unlock()
			all.latencies.Merge(result.latencies)
			all.failed += result.failed
		})
	}
	running.Wait()
	return all
}

// runClient sends requests on one connection until the end, or until the connection fails.
func runClient(address string, end time.Time) loadResult {
	result := newLoadResult()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		result.failed++
		return result
	}
	defer closeUnchecked(conn)
	in := bufio.NewReader(conn)
	for number := 0; time.Now().Before(end); number++ {
		start := time.Now()
		status, err := sendRequest(conn, in, number)
		if err != nil {
			result.failed++
			return result
		}
		if status != http.StatusOK {
			result.failed++
			continue
		}
		_ = result.latencies.RecordValue(
			int64(time.Since(start)),
		) // fails only over maxLatency, longer than requestTimeout
	}
	return result
}
