package httpproxy

import (
	"fmt"
	"strings"

	"pepperlead/internal/connstate"
)

// eachFigure hands over the counters, and what is held now.
func (s *Proxy) eachFigure(line func(name string, n int64, rises bool)) {
	s.Counters.Each(func(name string, n int64) { line(name, n, true) })
	refused := int64(0)
	if _, why := s.ListStatus(); why != "" {
		refused = 1
	}
	decides := s.Module.Gauges()
	for _, g := range []struct {
		name string
		n    int64
	}{{"tickets_in_hand", int64(s.InFlight)}, {"client_connections_open", int64(s.conns.Count(connstate.ClientSide))},
		{"server_connections_open", int64(s.conns.Count(connstate.EndpointSide))}, {"buffer_bytes_lent", int64(s.buffers.Lent())},
		{"timers_set", int64(s.Timers.Len())}, {"servers_known", int64(len(s.Endpoints))}, {"list_refused", refused},
		{"pushes_out", int64(decides.InFlight)}, {"tickets_waiting", int64(decides.Waiting)}, {"servers_aside", int64(decides.Ejected)},
		{"pace", int64(decides.TotalLimit)}, {"limit_of_a_server", int64(decides.Limit)}, {"lateness_percent", int64(100 * decides.Lateness)}} {
		line(g.name, g.n, false)
	}
}

func (s *Proxy) report() string {
	var b strings.Builder
	s.eachFigure(func(name string, n int64, _ bool) { fmt.Fprintf(&b, "%s %d\n", name, n) })
	return b.String()
}

// ---- for other goroutines ----

// Report is the counters, and what is held now, a line each; also once the instance has ended.
func (s *Proxy) Report() (report string) {
	if !s.RunOnLoop(func() { report = s.report() }) {
		report = s.report()
	}
	return report
}

// ServersReport is the list as it stands.
func (s *Proxy) ServersReport() (report string) {
	s.RunOnLoop(func() { report = s.endpointList() })
	return report
}

// Ready tells whether this process can serve: it listens, a list of endpoints is known, and it is not about to end.
func (s *Proxy) Ready() bool { return s.serving.Load() && s.Tally.HasList.Load() }

// EachMetric hands over each counter, and each figure that goes up and down.
func (s *Proxy) EachMetric(each func(name string, value float64, rises bool)) {
	type figure struct {
		name  string
		n     int64
		rises bool
	}
	var all []figure
	s.RunOnLoop(func() {
		s.eachFigure(func(name string, n int64, rises bool) { all = append(all, figure{name, n, rises}) })
	})
	for _, f := range all {
		each(f.name, float64(f.n), f.rises)
	}
}
