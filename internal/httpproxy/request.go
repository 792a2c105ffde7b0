package httpproxy

import (
	"bytes"
	"net/http"
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// Headers that the front interprets or sets.
const (
	headerRequestID      = "X-Request-ID"
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "X-Priority-Class"
	headerTenant         = "X-Tenant-Id"
	headerRouteKey       = "X-Route-Key"
	headerRetried        = "X-Retried"
	headerTimeout        = "X-Timeout"
	headerNotProcessed   = "X-Not-Processed"
)

// maxMethod is the maximum length of a method in an incomplete request head, in bytes.
const maxMethod = 32

// maxSeconds is the number of seconds that a timeout in a header must be below.
const maxSeconds = 1e6

// requestHead is the parsed head of a request.
type requestHead struct {
	bodyStart  int // offset of the body; 0: the head is incomplete
	method     []byte
	target     []byte
	headers    []byte
	bodySize   int // -1: unknown
	chunked    bool
	http10     bool
	closeAfter bool // the client connection is closed after the response
}

// parseRequestHead parses the head at the start of b. status is the status code with which the request must be refused,
// or 0 if it is valid so far.
func parseRequestHead(b []byte) (head requestHead, status int) {
	raw := splitHead(b)
	switch {
	case raw.length == 0 && len(b) > maxHead || raw.length > maxHead:
		return head, http.StatusRequestHeaderFieldsTooLarge
	case raw.length == 0 && !mayBeRequest(b):
		return head, http.StatusBadRequest
	case raw.length == 0:
		return head, 0
	}
	head, ok := parseRequestLine(raw.firstLine)
	if !ok {
		return head, http.StatusBadRequest
	}
	body, ok := parseFraming(raw.headers, true)
	if !ok || head.http10 && body.chunked || headerValue(raw.headers, "Host") == nil {
		return head, http.StatusBadRequest
	}
	head.bodyStart = raw.length
	head.headers = raw.headers
	head.chunked = body.chunked
	head.closeAfter = head.http10 || body.closing
	head.bodySize = max(0, body.size)
	if body.chunked {
		head.bodySize = -1
	}
	return head, 0
}

// parseRequestLine parses the first line of a request.
func parseRequestLine(line []byte) (head requestHead, ok bool) {
	method, rest, ok := bytes.Cut(line, []byte{' '})
	if !ok || len(method) == 0 || !isToken(method) {
		return head, false
	}
	target, version, ok := bytes.Cut(rest, []byte{' '})
	target = originForm(target)
	if !ok || len(target) == 0 || target[0] != '/' || !noControlBytes(target) || bytes.ContainsAny(target, "\t") {
		return head, false
	}
	http10 := string(version) == "HTTP/1.0"
	if !http10 && string(version) != "HTTP/1.1" {
		return head, false
	}
	return requestHead{method: method, target: target, http10: http10}, true
}

var rootPath = []byte("/")

// originForm returns the target in origin form: it removes the scheme and authority of the absolute form.
func originForm(target []byte) []byte {
	const scheme = "http://"
	if len(target) <= len(scheme) || !equalFold(target[:len(scheme)], scheme) {
		return target
	}
	path := bytes.IndexAny(target[len(scheme):], "/?#")
	if path < 0 {
		return rootPath
	}
	return target[len(scheme)+path:]
}

// parsedRequest is a parsed request with its body.
type parsedRequest struct {
	requestHead
	length int // length of the whole message; 0 if the message is incomplete
	body   []byte
}

// parseRequest parses the request at the start of b. status is 413 if the body exceeds maxSize, another status code if
// the request must be refused, and 0 if it is valid so far. whole is that of measureChunks.
func parseRequest(b []byte, maxSize int, whole *connstate.WholeChunks) (request parsedRequest, status int) {
	head, status := parseRequestHead(b)
	request.requestHead = head
	switch {
	case status != 0 || head.bodyStart == 0:
		return request, status
	case head.bodySize > maxSize:
		return request, http.StatusRequestEntityTooLarge
	case head.chunked:
		extent, ok := measureChunks(b[head.bodyStart:], maxSize, whole)
		switch {
		case extent.size > maxSize:
			return request, http.StatusRequestEntityTooLarge
		case !ok:
			return request, http.StatusBadRequest
		case extent.length == 0:
			return request, 0
		}
		request.length = head.bodyStart + extent.length
		request.body = joinChunks(b[head.bodyStart:request.length])
		return request, 0
	case len(b) < head.bodyStart+head.bodySize:
		return request, 0
	}
	request.length = head.bodyStart + head.bodySize
	request.body = b[head.bodyStart:request.length]
	return request, 0
}

// mayBeRequest reports whether an incomplete head can be the beginning of a valid request. If it cannot, the input is
// refused without waiting for more bytes.
func mayBeRequest(b []byte) bool {
	for i, c := range b {
		if c == ' ' {
			return i > 0
		}
		if !tokenByte[c] || i > maxMethod {
			return false
		}
	}
	return true
}

// expectsContinue reports whether the client waits for 100 Continue before it sends the body.
func expectsContinue(b []byte) bool {
	head := splitHead(b)
	return head.length > 0 && equalFold(headerValue(head.headers, "Expect"), "100-continue")
}

// className returns the class that a request names in its header or, without that header, as the first segment of its
// path.
func className(target, headers []byte) []byte {
	if name := headerValue(headers, headerClass); name != nil {
		return name
	}
	path, _, _ := bytes.Cut(target[1:], []byte{'?'})
	name, _, _ := bytes.Cut(path, []byte{'/'})
	return name
}

// parseSeconds parses a duration in seconds, written in decimal digits with an optional decimal point.
func parseSeconds(b []byte) (duration policy.Time, ok bool) {
	for _, c := range b {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	seconds, err := strconv.ParseFloat(asString(b), 64)
	if err != nil || !(seconds >= 0 && seconds < maxSeconds) {
		return 0, false
	}
	return policy.Time(seconds * float64(policy.Second)), true
}

// hasAmbiguousID reports whether an endpoint could see a different request ID or idempotency key than was read here, or
// none at all. That is so if either header is repeated, or if it is listed in the Connection header and therefore not
// forwarded.
func hasAmbiguousID(headers []byte) bool {
	dropped := headerValue(headers, "Connection")
	for _, name := range [...]string{headerRequestID, headerIdempotencyKey} {
		if hasToken(dropped, name) {
			return true
		}
		seen := false
		for rest := headers; len(rest) > 0; {
			var next header
			next, rest, _ = nextHeader(rest)
			if !equalFold(next.name, name) {
				continue
			}
			if seen {
				return true
			}
			seen = true
		}
	}
	return false
}

// isHopByHop reports whether a header applies to one connection only, or is written anew for each attempt. It compares
// the length first, for speed, as it is called for every header.
func isHopByHop(name []byte) bool {
	switch len(name) {
	case 2:
		return equalFold(name, "TE")
	case 6:
		return equalFold(name, "Expect")
	case 7:
		return equalFold(name, "Trailer") || equalFold(name, "Upgrade")
	case 9:
		return equalFold(name, headerTimeout)
	case 10:
		return equalFold(name, "Connection") || equalFold(name, "Keep-Alive")
	case 14:
		return equalFold(name, "Content-Length")
	case 16:
		return equalFold(name, "Proxy-Connection")
	case 17:
		return equalFold(name, "Transfer-Encoding")
	}
	return false
}

// appendEndToEnd appends the headers that are forwarded between client and endpoint.
func appendEndToEnd(to, headers []byte) []byte {
	dropped := headerValue(headers, "Connection")
	for len(headers) > 0 {
		next, rest, ok := nextHeader(headers)
		if !ok {
			break
		}
		if !isHopByHop(next.name) && noControlBytes(next.value) && !hasToken(dropped, asString(next.name)) {
			to = append(to, next.name...)
			to = append(to, ": "...)
			to = append(to, next.value...)
			to = append(to, lineEnd...)
		}
		headers = rest
	}
	return to
}

// appendRequestHead appends the head of a request in the form sent to an endpoint. timeout is how long the proxy waits
// for the response. A bodySize of -1 means that the size is unknown and the body is sent in chunks.
func appendRequestHead(to, method, target, headers []byte, bodySize int, timeout policy.Time) []byte {
	to = append(to, method...)
	to = append(to, ' ')
	to = append(to, target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = appendEndToEnd(to, headers)
	to = append(to, headerTimeout+": "...)
	to = strconv.AppendFloat(to, max(0, float64(timeout)/float64(policy.Second)), 'f', 4, 64)
	if bodySize < 0 {
		to = append(to, "\r\nTransfer-Encoding: chunked"...)
	} else if bodySize > 0 || !equalFold(method, "GET") && !equalFold(method, "HEAD") {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, int64(bodySize), 10)
	}
	return append(to, emptyLine...)
}
