package httpproxy

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// refusal is the response to a request that cannot be served.
type refusal struct {
	status int // 0: the request can be served
	reason refusalReason
	text   string
}

// candidate is a parsed request with the values of the headers that decide on its admission.
type candidate struct {
	parsedRequest
	class      policy.ClassID
	classKnown bool
	id         []byte
	idHash     uint64
	timeLeft   policy.Time // how long the client waits for the response
	hasTimeout bool
	claimed    bool // the id is claimed in the table of request ids
}

// handleRequest admits a request or answers it without an endpoint. buf holds its bytes; at is the arrival time of the
// last one.
func (p *Proxy) handleRequest(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer, request parsedRequest) {
	if strings.HasPrefix(asString(request.target), localPrefix) && p.serveLocal(now, c, request.requestHead) {
		p.buffers.Put(buf)
		return
	}
	incoming := p.classify(request)
	if refused := p.check(&incoming); refused.status != 0 {
		if incoming.classKnown {
			p.CountResult(incoming.class, engine.Failed)
		}
		p.endUpload(c)
		p.refuse(now, c, refused)
		p.buffers.Put(buf)
		return
	}
	if !p.hasRoom(now) {
		// Rejecting takes no memory, while admitting the request could exhaust the memory of the process. No attempt
		// has been made, so the client may safely retry.
		p.CountResult(incoming.class, engine.Rejected)
		p.buffers.Put(buf)
		p.rejectForMemory(now, c)
		return
	}
	if !p.claimID(&incoming) {
		p.CountResult(incoming.class, engine.Failed)
		p.endUpload(c)
		p.refuse(now, c, refusal{http.StatusConflict, idUsed, "a request with this X-Request-ID may have run\n"})
		p.buffers.Put(buf)
		return
	}
	p.admit(now, at, c, buf, &incoming)
}

// classify reads the headers that decide on the admission of the request.
func (p *Proxy) classify(request parsedRequest) candidate {
	incoming := candidate{parsedRequest: request}
	headers := request.headers
	incoming.class, incoming.classKnown = p.classes[string(className(request.target, headers))]
	if !incoming.classKnown && p.defaultClass != policy.NoClass && headerValue(headers, headerClass) == nil {
		incoming.class = p.defaultClass
		incoming.classKnown = true
	}
	incoming.timeLeft, incoming.hasTimeout = p.timeLeft(incoming.class, headerValue(headers, headerTimeout))
	incoming.id = headerValue(headers, headerRequestID)
	incoming.idHash = xxhash.Sum64(incoming.id)
	return incoming
}

// check returns the refusal of a request that cannot be served; its status is 0 if the request can be served.
func (p *Proxy) check(incoming *candidate) refusal {
	if !servedMethod(incoming.method) {
		return refusal{http.StatusBadRequest, malformedRequest, "this method is not served\n"}
	}
	headers := incoming.headers
	switch {
	case !incoming.classKnown:
		return refusal{http.StatusNotFound, unknownClass, "no such offering\n"}
	case len(incoming.id) == 0 && !p.config.Anonymous || !incoming.hasTimeout:
		return refusal{http.StatusBadRequest, missingHeader, "X-Request-ID or X-Timeout is missing\n"}
	case hasAmbiguousID(headers):
		return refusal{http.StatusBadRequest, ambiguousID,
			"X-Request-ID or Idempotency-Key is given twice, or for this connection only\n"}
	case len(incoming.id) > 0 && p.idInUse(incoming):
		// Otherwise a client that uses the request ID of another client could get the response to that request.
		return refusal{http.StatusConflict, idInFlight, "a request with this X-Request-ID is in hand\n"}
	case p.config.Settings.Classes[incoming.class].Idempotency == policy.Keyed &&
		headerValue(headers, headerIdempotencyKey) == nil:
		return refusal{http.StatusBadRequest, missingHeader, "Idempotency-Key is missing\n"}
	}
	return refusal{}
}

func servedMethod(method []byte) bool {
	switch string(method) {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		http.MethodOptions:
		return true
	}
	return false
}

// idInUse reports whether a request in flight has the same request ID.
func (p *Proxy) idInUse(incoming *candidate) bool {
	other := p.requests.Find(incoming.idHash)
	return other != nil && bytes.Equal(headerValue(other.Head, headerRequestID), incoming.id)
}

// claimID claims the id of a request that must not run twice, and reports whether no other request with this id may run
// or have run. The client of such a request may have left and sent it again, also to another process of the instance.
func (p *Proxy) claimID(incoming *candidate) bool {
	if len(incoming.id) == 0 || p.config.Settings.Classes[incoming.class].Idempotency == policy.Idempotent {
		return true
	}
	incoming.claimed = p.requestIDs.Claim(incoming.idHash)
	return incoming.claimed
}

// releaseID has the id of a request that ends remembered from now on. It is forgotten if the request has surely not
// run, or was rejected: its client was told that it may send it again.
func (p *Proxy) releaseID(r *connstate.Request) {
	switch {
	case !r.Claimed:
	case r.MayHaveRun && !r.Rejected:
		p.requestIDs.Renew(r.ClaimedID)
	default:
		p.requestIDs.Release(r.ClaimedID)
	}
}

// admit passes the request to the engine.
func (p *Proxy) admit(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer, incoming *candidate) {
	headers := incoming.headers
	tenant, known := p.tenants[string(headerValue(headers, headerTenant))]
	if !known {
		tenant = policy.NoTenant
	}
	r := connstate.AsRequest(p.NewRequest(p.frontIndex))
	r.Client = c
	r.Received = buf
	r.Method = incoming.method
	r.Target = incoming.target
	r.Head = headers
	r.Body = incoming.body
	r.CloseAfter = incoming.closeAfter
	r.HTTP10 = incoming.http10
	r.ClientTimeLeft = incoming.timeLeft
	r.Response.NoBody = string(incoming.method) == http.MethodHead
	r.Upload.Active = c.Upload.State == connstate.StreamingUpload
	r.Upload.Size = incoming.bodySize
	c.Request = r
	r.Claimed = incoming.claimed
	r.ClaimedID = incoming.idHash
	if len(incoming.id) > 0 {
		p.requests.Add(r, incoming.idHash)
	}
	if p.LogsRequests() {
		p.RulesLog().WithField("id", string(incoming.id)).Debug(engine.LogRequestAdmitted)
	}
	routeKey := asString(headerValue(headers, headerRouteKey))
	retried := string(headerValue(headers, headerRetried)) == "1"
	p.Admit(now, at, r.Request, incoming.class, tenant, routeKey, retried, incoming.timeLeft)
	if r.Upload.Active {
		p.expectBody(now, c)
	}
}

// timeLeft returns how long the client of a request waits: the value of its timeout header, at most the deadline of its
// class if classes have deadlines. ok is false if the header is malformed, or missing while classes have no deadlines.
func (p *Proxy) timeLeft(class policy.ClassID, header []byte) (timeLeft policy.Time, ok bool) {
	timeLeft, ok = parseSeconds(header)
	if p.config.Deadlines == nil {
		return timeLeft, ok
	}
	deadline := p.config.Deadlines[class]
	if header == nil {
		return deadline, true
	}
	return min(timeLeft, deadline), ok
}
