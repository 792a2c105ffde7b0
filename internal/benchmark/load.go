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
	retryInterval    = 5 * time.Millisecond // between attempts to reach a daemon that is starting
	minLatency       = 1000                 // ns; shorter latencies are recorded as this
	maxLatency       = 10 * time.Second
	latencyPrecision = 3    // significant digits
	routeKeys        = 1000 // number of different keys of requests
)

// closeUnchecked closes something that was only read from or is no longer used, so that an error does not matter.
func closeUnchecked(c io.Closer) { _ = c.Close() }

// WaitForAnswer waits until a request to the address is answered with status 200.
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

// WaitReady waits until the daemon at the address is healthy, which means that it has an endpoint list.
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
	return fmt.Errorf("the daemon at %s was not ready within %v", address, timeout)
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

// loadResult holds the measurements of clients.
type loadResult struct {
	latencies *hdrhistogram.Histogram
	failed    int
}

func newLoadResult() loadResult {
	return loadResult{latencies: hdrhistogram.New(minLatency, int64(maxLatency), latencyPrecision)}
}

// runLoad runs clients that each send one request after another for the duration.
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

// runClient sends requests on one connection until the end time, or until the connection fails.
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
