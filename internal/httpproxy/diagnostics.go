package httpproxy

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// This file records why connections were closed, requests refused or given up, and attempts repeated: as counters,
// in a summary in the log, and, at the debug level, for each request with its id.

// refusalReason is why a request was answered without being admitted.
type refusalReason uint8

const (
	malformedRequest refusalReason = iota
	unknownClass
	missingHeader
	ambiguousID
	idInFlight
	idUsed
	requestTooSlow
	outOfMemory
	numRefusalReasons
)

// String returns the reason as it stands in names of counters and in the log.
func (r refusalReason) String() string {
	return [numRefusalReasons]string{
		"malformed", "unknown_class", "missing_header", "ambiguous_id", "id_in_flight", "id_used", "too_slow",
		"out_of_memory",
	}[r]
}

// summaryInterval is the time between two summaries in the log.
const summaryInterval = policy.Second

// incidents counts what is not part of the ordinary course of requests.
type incidents struct {
	closed  [2][connstate.NumCloseReasons]int64 // connections by side and by reason
	refused [numRefusalReasons]int64            // requests that were not admitted, by reason
}

// incidentCount is one count with its name.
type incidentCount struct {
	name  string
	value int64
}

// counts returns all counts, in a fixed order. ordinary says whether those that every run has are included.
func (i *incidents) counts(ordinary bool) []incidentCount {
	var all []incidentCount
	for side := range i.closed {
		for reason := range connstate.NumCloseReasons {
			if ordinary || !ordinaryClose(reason) {
				name := fmt.Sprintf("closed_%v_%v", connstate.Side(side), reason)
				all = append(all, incidentCount{name, i.closed[side][reason]})
			}
		}
	}
	for reason := range numRefusalReasons {
		all = append(all, incidentCount{fmt.Sprintf("refused_%v", reason), i.refused[reason]})
	}
	return all
}

// ordinaryClose reports whether connections are closed for the reason in the ordinary course of requests.
func ordinaryClose(reason connstate.CloseReason) bool {
	switch reason {
	case connstate.PeerClosed, connstate.AfterResponse, connstate.IdleTimeout, connstate.AttemptOver,
		connstate.EndpointOutdated, connstate.ShuttingDown:
		return true
	}
	return false
}

// summary writes a line to the log when the counts have changed, at most one in summaryInterval.
type summary struct {
	timer  engine.Timer
	logged map[string]int64 // the counts at the latest line
}

// startSummaries begins to write summaries.
func (p *Proxy) startSummaries(now policy.Time) {
	p.summary.logged = map[string]int64{}
	p.summary.timer.Run = p.summarize
	p.Timers.Set(&p.summary.timer, now+summaryInterval)
}

// summarize logs how often what has happened since the latest summary.
func (p *Proxy) summarize(now policy.Time) {
	counts := p.incidents.counts(false)
	for reason := range policy.NumEndReasons {
		counts = append(counts, incidentCount{fmt.Sprintf("ended_%v", reason), int64(p.Counters.Ended[reason])})
	}
	for outcome, n := range p.Counters.Outcomes {
		if o := policy.Outcome(outcome); o != policy.Succeeded && o != policy.Declined && o != policy.Cancelled {
			counts = append(counts, incidentCount{"attempts " + o.String(), int64(n)})
		}
	}
	var changed []string
	for _, count := range counts {
		if n := count.value - p.summary.logged[count.name]; n > 0 {
			changed = append(changed, fmt.Sprintf("%s %d", count.name, n))
			p.summary.logged[count.name] = count.value
		}
	}
	if len(changed) > 0 {
		p.Logger.WithFields(logrus.Fields{
			"requests":       p.InFlight,
			"client_conns":   p.conns.Count(connstate.ClientSide),
			"endpoint_conns": p.conns.Count(connstate.EndpointSide),
			"messages_kb":    p.buffers.InUse() >> 10,
			"of_kb":          p.buffers.Limit >> 10,
		}).Info("events: " + strings.Join(changed, ", "))
	}
	p.Timers.Set(&p.summary.timer, now+summaryInterval)
}

// logsEvents reports whether each event of a request is logged.
func (p *Proxy) logsEvents() bool { return p.Logger.IsLevelEnabled(logrus.DebugLevel) }

// logRequest logs an event of a request. The caller has checked logsEvents.
func (p *Proxy) logRequest(r *connstate.Request, message string, fields logrus.Fields) {
	fields["id"] = string(headerValue(r.Head, headerRequestID))
	fields["no"] = r.No
	p.Logger.WithFields(fields).Debug(message)
}

// noteClose counts the close of a connection and logs it with the request that it carried.
func (p *Proxy) noteClose(c *connstate.Conn) {
	p.incidents.closed[c.Side][c.ClosedFor]++
	if !p.logsEvents() {
		return
	}
	fields := logrus.Fields{"side": c.Side, "connection": c.Number, "reason": c.ClosedFor}
	if c.Endpoint != nil {
		fields["endpoint"] = c.Endpoint.Endpoint.UID
	}
	if c.Request == nil {
		p.Logger.WithFields(fields).Debug("connection closed")
		return
	}
	p.logRequest(c.Request, "connection closed with a request", fields)
}

// noteRefusal counts a request that is answered without being admitted.
func (p *Proxy) noteRefusal(c *connstate.Conn, reason refusalReason) {
	p.incidents.refused[reason]++
	if p.logsEvents() {
		p.Logger.WithFields(logrus.Fields{"connection": c.Number, "reason": reason}).Debug("request refused")
	}
}

// noteAttemptEnd logs the end of an attempt.
func (p *Proxy) noteAttemptEnd(r *connstate.Request, outcome policy.Outcome) {
	if p.logsEvents() {
		endpoint := ""
		if r.AttemptConn != nil {
			endpoint = r.AttemptConn.Endpoint.Endpoint.UID
		}
		p.logRequest(r, "attempt ended", logrus.Fields{
			"attempt": r.AttemptNo, "endpoint": endpoint, "outcome": outcome, "may_have_run": outcome.MayHaveRun(),
		})
	}
}

// noteEnd logs that a request ends without an endpoint's answer.
func (p *Proxy) noteEnd(r *connstate.Request, message string) {
	if p.logsEvents() {
		p.logRequest(r, message, logrus.Fields{"reason": r.EndReason, "attempts": r.Attempts})
	}
}
