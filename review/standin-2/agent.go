package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an endpoint in the form of the platform's discovery.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

type listDocument struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// agent is a stand-in of discovery: the agent on the sidecar's own machine. It answers at once with what it has, and is
// silent while discovery is down.
type agent struct {
	s       *scene
	address string

	mu      sync.Mutex
	changed chan struct{} // closed at the next change of anything
	rev     int64
	targets []target
	revOf   map[string]int64 // the version in which each target changed last
	silent  bool
	told    map[string]map[int64]time.Time // by caller's local address group: when a version was first written
	first   map[int64]time.Time            // when a version was first written to anybody
}

func startAgent(s *scene, targets []target) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	a := &agent{s: s, address: l.Addr().String(), changed: make(chan struct{}), rev: 1, targets: targets,
		revOf: map[string]int64{}, first: map[int64]time.Time{}}
	for _, t := range targets {
		a.revOf[t.UID] = 1
	}
	go http.Serve(l, http.HandlerFunc(a.serve))
	return a
}

func (a *agent) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// set changes an entry under a new version.
func (a *agent) set(uid string, change func(t *target)) int64 {
	a.update(func() {
		a.rev++
		for i := range a.targets {
			if a.targets[i].UID == uid {
				change(&a.targets[i])
				a.revOf[uid] = a.rev
			}
		}
	})
	return a.rev
}

// add adds an endpoint that started at a moment.
func (a *agent) add(t target, started time.Time) {
	t.Boot = started.UnixMilli()
	a.update(func() {
		a.rev++
		a.targets = append(a.targets, t)
		a.revOf[t.UID] = a.rev
	})
}

func (a *agent) setSilent(silent bool) { a.update(func() { a.silent = silent }) }

// snapshot returns the whole list.
func (a *agent) snapshot() listDocument {
	a.mu.Lock()
	defer a.mu.Unlock()
	return listDocument{Rev: a.rev, All: true, Targets: append([]target{}, a.targets...)}
}

// toldAt returns when a version, or a later one, was first written to a sidecar.
func (a *agent) toldAt(rev int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var at time.Time
	found := false
	for r, t := range a.first {
		if r >= rev && (!found || t.Before(at)) {
			at, found = t, true
		}
	}
	return at, found
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	watch := query.Has("from")
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	expired := time.After(time.Duration(hold) * time.Millisecond)
	over := false
	for {
		a.mu.Lock()
		changed, silent := a.changed, a.silent
		if !silent && (!watch || a.rev > from || over) {
			doc := listDocument{Rev: a.rev, All: !watch, Targets: []target{}}
			for _, t := range a.targets {
				if !watch && t.State == "Gone" {
					continue
				}
				if !watch || a.revOf[t.UID] > from {
					doc.Targets = append(doc.Targets, t)
				}
			}
			body, _ := json.Marshal(doc)
			if _, found := a.first[a.rev]; !found {
				a.first[a.rev] = time.Now()
			}
			a.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			a.s.logf("discovery: answered %s with version %d, %d entries", r.URL.RequestURI(), doc.Rev, len(doc.Targets))
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			over = true
			expired = nil
		case <-r.Context().Done():
			return
		}
	}
}

func (t target) String() string { return fmt.Sprintf("%s %s", t.UID, t.State) }
