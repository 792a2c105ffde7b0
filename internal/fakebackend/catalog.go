package fakebackend

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is a server as the platform's discovery names it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"` // Ready, Terminating; Gone among changes only
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// Catalog tells who serves as the platform's discovery does: the whole list, then to each call that waits what has changed since.
type Catalog struct {
	http    http.Server
	at      net.Addr
	mu      sync.Mutex
	rev     int64
	latest  map[string]Target
	since   map[string]int64 // the version in which each entry changed last, those that are gone too
	order   []string
	changed chan struct{} // closed and made anew at each change
}

// StartCatalog serves at the address, which may leave the port open. It knows of nobody until Tell.
func StartCatalog(addr string) (*Catalog, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Catalog{at: l.Addr(), rev: 1, latest: map[string]Target{}, since: map[string]int64{}, changed: make(chan struct{})}
	c.http = http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: 10 * time.Second}
	go c.http.Serve(l)
	return c, nil
}

// Addr is where it listens.
func (c *Catalog) Addr() string { return c.at.String() }

// Close ends it at once, with all that wait.
func (c *Catalog) Close() error { return c.http.Close() }

// Tell makes these the servers that there are. Any other that was told of is gone.
func (c *Catalog) Tell(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rev++
	there := map[string]bool{}
	for _, t := range targets {
		there[t.UID] = true
		c.note(t)
	}
	for _, uid := range c.order {
		if gone := c.latest[uid]; !there[uid] {
			gone.State = "Gone"
			c.note(gone)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// note takes an entry if it says something new. Under mu.
func (c *Catalog) note(t Target) {
	was, known := c.latest[t.UID]
	if !known {
		c.order = append(c.order, t.UID)
	}
	if was != t {
		c.latest[t.UID], c.since[t.UID] = t, c.rev
	}
}

func (c *Catalog) serve(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	c.mu.Lock()
	for waits := from >= 0; waits && from >= c.rev; {
		news := c.changed
		c.mu.Unlock()
		select {
		case <-news:
		case <-end.C:
			waits = false
		case <-r.Context().Done():
			return
		}
		c.mu.Lock()
	}
	answer := struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	}{c.rev, from < 0, []Target{}}
	for _, uid := range c.order {
		if t := c.latest[uid]; c.since[uid] > from && !(answer.All && t.State == "Gone") {
			answer.Targets = append(answer.Targets, t)
		}
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
