package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/faultproxy"
	"pepperlead/internal/faulttest/judge"
	"pepperlead/internal/freeport"
)

// Cluster is a Stage with sidecars, coordinators, endpoints and clients.
type Cluster struct {
	*Stage
	script            *Script
	instances         []*Process
	coordinators      []*Process
	endpoints         []*fakebackend.Server
	endpointNames     []string
	endpointAddresses map[string]string    // addresses at the fault proxy, by endpoint name
	catalog           *fakebackend.Catalog // nil: each sidecar has its endpoints in its configuration
	random            *rand.Rand
	frontPort         int
	activeRevision    int
	lastRevision      int
	lastLeader        *Process // the latest known leader
	upToDate          *Process // coordinator that knows the latest revision
	requestClient     http.Client
	requesting        sync.WaitGroup
	clientsEnded      chan struct{} // closed when clients must send no more requests

	mu             sync.Mutex
	executions     []judge.Execution
	clientRequests []judge.ClientRequest
	down           []judge.Interval
	downSince      map[*Process]int64 // processes that are stopped or not running
	lists          []judge.EndpointList
	// unnotified holds the intervals in which a sidecar may not have received discovery's latest list.
	unnotified      []judge.Interval
	unnotifiedSince map[*Process]int64
}

const (
	deadline      = 2 * time.Second // deadline of the class of all test requests
	targetLatency = 500 * time.Millisecond
	endpointWork  = 20 * time.Millisecond
	answerTimeout = deadline + 3*time.Second

	idleConnectionsPerSidecar = 16

	// notifyTimeout is how long a sidecar may take to receive the list once its link to discovery is open again: a call
	// times out after 2 s, the next one begins within 2 s (internal/discovery), and the fault proxy passes on at once
	// the bytes that it held. This is enough because no script blocks the link for as long as a watch waits.
	notifyTimeout = 5 * time.Second

	discoveryNode = faultproxy.Node("discovery")
)

// StartCluster starts all processes at once. The caller must call Close to end them. After an error, no process is
// left running.
func StartCluster(program, directory string, script *Script, seed uint64) (*Cluster, error) {
	cluster := newCluster(program, directory, script, seed)
	if err := cluster.begin(seed); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func newCluster(program, directory string, script *Script, seed uint64) *Cluster {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerSidecar, IdleConnTimeout: time.Second}
	return &Cluster{
		Stage:             newStage(program, directory, seed),
		script:            script,
		endpointAddresses: map[string]string{},
		random:            rand.New(rand.NewPCG(seed, 1)),
		requestClient:     http.Client{Timeout: answerTimeout, Transport: transport},
		clientsEnded:      make(chan struct{}),
		downSince:         map[*Process]int64{},
		unnotifiedSince:   map[*Process]int64{},
	}
}

// begin starts the endpoints, writes all configurations and starts the processes.
func (c *Cluster) begin(seed uint64) error {
	if err := c.writeKey(keyFile, seed); err != nil {
		return err
	}
	ports, err := choosePorts()
	if err != nil {
		return err
	}
	c.frontPort = ports.front
	if err := c.startEndpoints(seed); err != nil {
		return err
	}
	source, err := c.sourceConfig()
	if err != nil {
		return err
	}
	logPort, err := freeport.Choose(processIP(maxProcesses))
	if err != nil {
		return err
	}
	config := &clusterConfig{script: c.script, seed: seed, ports: ports, logPort: logPort, source: source}
	if err := c.addInstances(config); err != nil {
		return err
	}
	if err := c.addCoordinators(config); err != nil {
		return err
	}
	if err := c.writeRuleSets(); err != nil {
		return err
	}
	return c.startAll()
}

// addInstances adds the sidecars, with their links and configurations.
func (c *Cluster) addInstances(config *clusterConfig) error {
	for i := range c.script.Instances {
		name := fmt.Sprint("n", i+1)
		process := c.addProcess(name, commandServe, hostPort(processIP(i), config.ports.metrics))
		process.clockSkew = c.script.Clocks[name]
		addresses, err := c.linkPeer(process.Name, i, config.ports.peers)
		if err != nil {
			return err
		}
		c.instances = append(c.instances, process)
		if err := process.writeConfig(config.instance(process, i, addresses)); err != nil {
			return err
		}
	}
	return nil
}

// addCoordinators adds the coordinators, with their links and configurations. Their addresses come after the
// maxProcesses addresses that are reserved for sidecars.
func (c *Cluster) addCoordinators(config *clusterConfig) error {
	for i := range c.script.Coordinators {
		name := coordinatorName(i)
		index := maxProcesses + i
		process := c.addProcess(name, commandCoordinator, hostPort(processIP(index), config.ports.metrics))
		process.clockSkew = c.script.Clocks[name]
		addresses, err := c.linkPeer(process.Name, index, config.ports.peers)
		if err != nil {
			return err
		}
		c.coordinators = append(c.coordinators, process)
		target := hostPort(processIP(index), config.logPort)
		if _, err := c.Links.TCP(hostPort(proxyIP(index), config.logPort), process.Name, target); err != nil {
			return err
		}
		if err := process.writeConfig(config.coordinator(process, index, addresses)); err != nil {
			return err
		}
	}
	return nil
}

func coordinatorName(i int) string { return fmt.Sprint("k", i+1) }

// noteDown records that a process is stopped or not running from now on.
func (c *Cluster) noteDown(process *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, down := c.downSince[process]; !down {
		c.downSince[process] = int64(clock.BootTime())
	}
}

// noteUp records that a process runs again. The recorded interval ends answerTimeout later, as
// earlier requests may still end without a response until then.
func (c *Cluster) noteUp(process *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, down := c.downSince[process]
	if !down {
		return
	}
	end := int64(clock.BootTime()) + int64(answerTimeout)
	c.down = append(c.down, judge.Interval{Process: string(process.Name), From: since, To: end})
	delete(c.downSince, process)
}

// resume continues a stopped process, or starts one that does not run.
func (c *Cluster) resume(process *Process) error {
	process.SetStalled(false)
	defer c.noteUp(process)
	if process.Running() {
		return nil
	}
	return process.Start()
}

// stopClients stops the clients from sending further requests. Requests in flight are not cancelled.
func (c *Cluster) stopClients() {
	select {
	case <-c.clientsEnded:
	default:
		close(c.clientsEnded)
	}
}

// Close ends all processes, clients and endpoints.
func (c *Cluster) Close() {
	c.stopClients()
	c.Stage.Close()
	c.requesting.Wait()
	for _, endpoint := range c.endpoints {
		_ = endpoint.Close() // the test is over
	}
	if c.catalog != nil {
		_ = c.catalog.Close() // the test is over
	}
}
