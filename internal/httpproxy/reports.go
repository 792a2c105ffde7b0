package httpproxy

import (
	"fmt"
	"strings"

	"pepperlead/internal/connstate"
)

// metric is a counter or a gauge of the instance.
type metric struct {
	name      string
	value     int64
	isCounter bool // the value never falls; otherwise it is a gauge
}

// metrics returns the counters and gauges in the order in which reports list them.
func (p *Proxy) metrics() []metric {
	var all []metric
	p.Counters.Each(func(name string, value int64) { all = append(all, metric{name, value, true}) })
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
		all = append(all, metric{gauge.name, gauge.value, false})
	}
	for _, count := range p.incidents.counts(true) {
		all = append(all, metric{count.name, count.value, true})
	}
	return all
}

// report returns the counters and gauges, one per line.
func (p *Proxy) report() string {
	var b strings.Builder
	for _, m := range p.metrics() {
		fmt.Fprintf(&b, "%s %d\n", m.name, m.value)
	}
	return b.String()
}

// Report returns the counters and gauges, one per line. It also works once the instance has stopped. Any goroutine may
// call it.
func (p *Proxy) Report() (report string) {
	if !p.RunOnLoop(func() { report = p.report() }) {
		report = p.report()
	}
	return report
}

// ServersReport returns the current endpoint list as text. Any goroutine may call it.
func (p *Proxy) ServersReport() (report string) {
	p.RunOnLoop(func() { report = p.endpointList() })
	return report
}

// Ready reports whether this process can serve: it accepts clients, has an endpoint list and is not shutting down. Any
// goroutine may call it.
func (p *Proxy) Ready() bool { return p.serving.Load() && p.Metrics.HasList.Load() }

// EachMetric calls each for every counter and every gauge. Any goroutine may call it.
func (p *Proxy) EachMetric(each func(name string, value float64, isCounter bool)) {
	var all []metric
	p.RunOnLoop(func() { all = p.metrics() })
	for _, m := range all {
		each(m.name, float64(m.value), m.isCounter)
	}
}
