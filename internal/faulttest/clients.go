package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/faulttest/judge"
)

// startClients starts the clients of each sidecar, which send requests until clientsEnded is closed.
func (c *Cluster) startClients() {
	if c.script.Rate == 0 {
		return
	}
	for i, instance := range c.instances {
		random := rand.New(rand.NewPCG(uint64(i), 2))
		url := fmt.Sprintf("http://%s:%d/step", processIP(i), c.frontPort)
		c.requesting.Go(func() { c.sendRequests(instance, url, random) })
	}
}

// sendRequests sends requests to a sidecar, at the intervals of a Poisson process, until clientsEnded is closed.
func (c *Cluster) sendRequests(instance *Process, url string, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-c.clientsEnded:
			return
		case <-time.After(time.Duration(random.ExpFloat64() / c.script.Rate * float64(time.Second))):
		}
		id := string(instance.Name) + "-" + strconv.Itoa(n)
		c.requesting.Go(func() { c.sendRequest(instance, id, url) })
	}
}

// sendRequest sends a request and records its response.
func (c *Cluster) sendRequest(instance *Process, id, url string) {
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("x")) // method and URL are valid
	request.Header.Set("X-Request-ID", id)
	request.Header.Set("Idempotency-Key", id)
	request.GetBody = nil // so that net/http never retries it
	record := judge.ClientRequest{ID: id, Process: string(instance.Name), SentAt: int64(clock.BootTime())}
	if response, err := c.requestClient.Do(request); err == nil {
		record.Status = response.StatusCode
		_ = response.Body.Close() // only the status is used
	}
	record.EndedAt = int64(clock.BootTime())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientRequests = append(c.clientRequests, record)
}
