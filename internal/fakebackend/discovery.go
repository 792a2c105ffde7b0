package fakebackend

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stateRemoved is the state of a target that is no longer listed.
const stateRemoved = "Gone"

// readHeaderTimeout bounds how long a client may take for the head of a request.
const readHeaderTimeout = 10 * time.Second

// Target is an endpoint in the format of the platform's discovery service.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"` // Ready or Terminating; Gone in lists of changes only
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// Catalog is a fake of the platform's discovery service. It answers a first call with the complete list, and later
// calls, which may wait for a change, with the changes since the version that the call names.
type Catalog struct {
	http    http.Server
	address net.Addr

	mu        sync.Mutex // guards the fields below
	version   int64
	targets   map[string]Target
	changedIn map[string]int64 // the version in which each target changed last, removed targets included
	order     []string         // UIDs in the order in which they were first listed
	changed   chan struct{}    // closed and replaced at each change
	answering chan struct{}    // closed while new calls are answered
}

// watchResponse is the body of a response.
type watchResponse struct {
	Version  int64    `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// StartCatalog starts a fake discovery service that listens on the address. If the port is 0, the system chooses a
// free one. The list is empty until SetTargets is called.
func StartCatalog(address string) (*Catalog, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Catalog{
		address:   listener.Addr(),
		version:   1,
		targets:   map[string]Target{},
		changedIn: map[string]int64{},
		changed:   make(chan struct{}),
		answering: make(chan struct{}),
	}
	close(c.answering)
	c.http = http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		_ = c.http.Serve(listener) // returns once Close is called
	}()
	return c, nil
}

// Addr returns the address that the service listens on.
func (c *Catalog) Addr() string { return c.address.String() }

// Close ends the service and all its connections at once.
func (c *Catalog) Close() error { return c.http.Close() }

// SetSilent starts or ends an outage: calls that begin meanwhile are answered after its end. Calls that wait for a
// change already are still answered.
func (c *Catalog) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.answering:
		if silent {
			c.answering = make(chan struct{})
		}
	default:
		if !silent {
			close(c.answering)
		}
	}
}

// SetTargets replaces the list. Targets that are no longer listed get the state Gone.
func (c *Catalog) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	listed := map[string]bool{}
	for _, target := range targets {
		listed[target.UID] = true
		c.update(target)
	}
	for _, uid := range c.order {
		if !listed[uid] {
			target := c.targets[uid]
			target.State = stateRemoved
			c.update(target)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// update stores a target if it is new or differs from the stored one. The caller holds mu.
func (c *Catalog) update(target Target) {
	previous, known := c.targets[target.UID]
	if !known {
		c.order = append(c.order, target.UID)
	}
	if previous != target {
		c.targets[target.UID] = target
		c.changedIn[target.UID] = c.version
	}
}

// serve answers a call that names no valid version with the complete list at once. It holds any other call until there
// is a change or the hold time of the call is over.
func (c *Catalog) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		since = -1
	}
	c.mu.Lock()
	answering := c.answering
	c.mu.Unlock()
	select {
	case <-answering:
	case <-r.Context().Done():
		return
	}
	holdMillis, _ := strconv.ParseInt(query.Get("hold_ms"), 10, 64) // without a valid number, the call is not held
	hold := time.NewTimer(time.Duration(holdMillis) * time.Millisecond)
	defer hold.Stop()
	if since >= 0 && !c.waitForChange(r, since, hold.C) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.response(since)) // fails only if the client has closed the connection
}

// waitForChange waits until there is a version after the given one or the hold time is over. It returns false if the
// client has closed the connection.
func (c *Catalog) waitForChange(r *http.Request, since int64, holdOver <-chan time.Time) bool {
	for {
		c.mu.Lock()
		version := c.version
		changed := c.changed
		c.mu.Unlock()
		if since < version {
			return true
		}
		select {
		case <-changed:
		case <-holdOver:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

// response lists the changes since a version; a negative version asks for the complete list, without removed targets.
func (c *Catalog) response(since int64) watchResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := watchResponse{Version: c.version, Complete: since < 0, Targets: []Target{}}
	for _, uid := range c.order {
		target := c.targets[uid]
		if response.Complete && target.State == stateRemoved {
			continue
		}
		if c.changedIn[uid] > since {
			response.Targets = append(response.Targets, target)
		}
	}
	return response
}
