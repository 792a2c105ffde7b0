package httpproxy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// Paths that the instance serves itself, without an endpoint.
const (
	localPrefix   = "/_"
	healthPath    = "/_health"
	countersPath  = "/_counters"
	endpointsPath = "/_servers"
)

// serveLocal answers a request for one of the instance's own paths. It reports whether the request was for such a path.
func (p *Proxy) serveLocal(now policy.Time, c *connstate.Conn, request requestHead) bool {
	status := http.StatusOK
	var body string
	switch string(request.target) {
	case healthPath:
		body = "ready\n"
		if hasList, _ := p.ListStatus(); !hasList {
			status = http.StatusServiceUnavailable
			body = "no list of servers yet\n"
		}
	case countersPath:
		body = p.report()
	case endpointsPath:
		body = p.endpointList()
	default:
		return false
	}
	p.respond(now, c, localResponse{status: status, body: body}, request.closeAfter)
	return true
}

// endpointList returns the current endpoint list as text, with the ids that the decision module uses for the endpoints.
func (p *Proxy) endpointList() string {
	var lines []string
	for id, endpoint := range p.Endpoints {
		state := "ready"
		if endpoint.Draining {
			state = "leaving"
		}
		lines = append(lines, fmt.Sprintf("%s id %d at %s in %s %s, %d connections idle\n",
			endpoint.UID, id, endpoint.Addr, endpoint.Zone, state, len(p.endpointConns(endpoint).Idle)))
	}
	slices.Sort(lines)
	if _, refused := p.ListStatus(); refused != "" {
		lines = slices.Insert(lines, 0, "list refused, the last good one stays: "+refused+"\n")
	}
	return strings.Join(lines, "")
}
