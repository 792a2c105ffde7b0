package faulttest

import (
	"fmt"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/faultproxy"
	"pepperlead/internal/faulttest/judge"
)

const (
	// endpointListen is where the endpoints and discovery themselves listen. Sidecars reach them through the fault
	// proxy, which listens for discovery at discoveryListen.
	endpointListen  = "127.8.0.1:0"
	discoveryListen = "127.9.1.1:0"

	endpointCores = 64
	endpointQueue = 1000

	// States of an endpoint, as discovery names them.
	stateReady    = "Ready"
	stateDraining = "Terminating"
)

func endpointName(i int) string { return fmt.Sprint("s", i+1) }

// startEndpoints starts the endpoints, which report each request that they execute to noteExecution.
func (c *Cluster) startEndpoints(seed uint64) error {
	for i := range c.script.Endpoints {
		name := endpointName(i)
		endpoint, err := fakebackend.Start(endpointListen, fakebackend.Traits{
			Name:      name,
			Cores:     endpointCores,
			Queue:     endpointQueue,
			Work:      endpointWork,
			Faults:    fakebackend.Faults{Resets: c.script.Resets},
			Seed:      seed + uint64(i),
			OnRequest: func(id, _ string, _ time.Time) { c.noteExecution(id, name) },
		})
		if err != nil {
			return err
		}
		c.endpoints = append(c.endpoints, endpoint)
		address, err := c.Links.TCP(hostPort(endpointProxyIP(i), 0), faultproxy.Node(name), endpoint.Addr())
		if err != nil {
			return err
		}
		c.endpointNames = append(c.endpointNames, name)
		c.endpointAddresses[name] = address
	}
	return nil
}

// noteExecution records that an endpoint executes a request.
func (c *Cluster) noteExecution(id, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = append(c.executions, judge.Execution{ID: id, Endpoint: endpoint, At: int64(clock.BootTime())})
}

// startDiscovery starts a fake discovery, which announces all endpoints, and returns the address at which sidecars
// reach it.
func (c *Cluster) startDiscovery() (string, error) {
	catalog, err := fakebackend.StartCatalog(endpointListen)
	if err != nil {
		return "", err
	}
	c.catalog = catalog
	c.announce(c.endpointNames, nil)
	return c.Links.TCP(discoveryListen, discoveryNode, catalog.Addr())
}

// announce replaces discovery's list with the given endpoints, and records it for the judge.
func (c *Cluster) announce(ready, draining []string) {
	var targets []fakebackend.Target
	for _, name := range ready {
		targets = append(targets, c.target(name, stateReady))
	}
	for _, name := range draining {
		targets = append(targets, c.target(name, stateDraining))
	}
	c.catalog.SetTargets(targets)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, judge.EndpointList{At: int64(clock.BootTime()), Ready: ready})
}

func (c *Cluster) target(name, state string) fakebackend.Target {
	return fakebackend.Target{UID: name, Endpoint: c.endpointAddresses[name], Zone: "a", State: state, Weight: 1}
}

// noteUnnotified updates, after a change of the links, the records of when each sidecar is cut off from discovery.
func (c *Cluster) noteUnnotified() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range c.instances {
		open := c.Links.Open(faultproxy.Link{From: instance.Name, To: discoveryNode}) &&
			c.Links.Open(faultproxy.Link{From: discoveryNode, To: instance.Name})
		since, wasBlocked := c.unnotifiedSince[instance]
		now := int64(clock.BootTime())
		switch {
		case open && wasBlocked:
			span := judge.Interval{Process: string(instance.Name), From: since, To: now + int64(notifyTimeout)}
			c.unnotified = append(c.unnotified, span)
			delete(c.unnotifiedSince, instance)
		case !open && !wasBlocked:
			c.unnotifiedSince[instance] = now
		}
	}
}
