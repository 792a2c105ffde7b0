package httpproxy

import (
	"fmt"
	"strings"

	"pepperlead/internal/connstate"
)

// figure is a counter or a gauge of the instance.
type figure struct {
	name    string
	value   int64
	counter bool // it only rises
}

// figures returns the counters and the gauges, in the order of the reports.
func (p *Proxy) figures() []figure {
	var all []figure
	p.Counters.Each(func(name string, value int64) { all = append(all, figure{name, value, true}) })
	refused := int64(0)
	if _, why := p.ListStatus(); why != "" {
		refused = 1
	}
	module := p.Module.Gauges()
	gauges := []struct {
		name  string
		value int64
	}{
		{"tickets_in_hand", int64(p.InFlight)},
		{"client_connections_open", int64(p.conns.Count(connstate.ClientSide))},
		{"server_connections_open", int64(p.conns.Count(connstate.EndpointSide))},
		{"buffer_bytes_lent", int64(p.buffers.InUse())},
		{"timers_set", int64(p.Timers.Len())},
		{"servers_known", int64(len(p.Endpoints))},
		{"list_refused", refused},
		{"pushes_out", int64(module.InFlight)},
		{"tickets_waiting", int64(module.Queued)},
		{"servers_aside", int64(module.Ejected)},
		{"pace", int64(module.ConcurrencyLimit)},
		{"limit_of_a_server", int64(module.MeanEndpointLimit)},
		{"lateness_percent", int64(100 * module.Lateness)},
	}
	for _, gauge := range gauges {
		all = append(all, figure{gauge.name, gauge.value, false})
	}
	return all
}

// report returns the figures, a line each.
func (p *Proxy) report() string {
	var b strings.Builder
	for _, f := range p.figures() {
		fmt.Fprintf(&b, "%s %d\n", f.name, f.value)
	}
	return b.String()
}

// Report returns the counters and gauges, a line each, also once the instance has ended. Any goroutine may call it.
func (p *Proxy) Report() (report string) {
	if !p.RunOnLoop(func() { report = p.report() }) {
		report = p.report()
	}
	return report
}

// ServersReport returns the current list of endpoints. Any goroutine may call it.
func (p *Proxy) ServersReport() (report string) {
	p.RunOnLoop(func() { report = p.endpointList() })
	return report
}

// Ready reports whether this process can serve: it listens, has a list of endpoints and is not shutting down. Any
// goroutine may call it.
func (p *Proxy) Ready() bool { return p.serving.Load() && p.Metrics.HasList.Load() }

// EachMetric calls each for every counter, which rises only, and every gauge. Any goroutine may call it.
func (p *Proxy) EachMetric(each func(name string, value float64, rises bool)) {
	var all []figure
	p.RunOnLoop(func() { all = p.figures() })
	for _, f := range all {
		each(f.name, float64(f.value), f.counter)
	}
}
