package httpproxy

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// requestHead is what the head of a request says.
type requestHead struct {
	bodyStart  int // where its body begins; 0: it is not whole
	method     []byte
	target     []byte
	headers    []byte
	bodySize   int // of the body; -1: not told
	chunked    bool
	http10     bool // HTTP/1.0
	closeAfter bool // the connection is to end after the answer
}

// parseRequestHead reads the head at the front of b; fault is the status of the answer where it is none that can be served.
func parseRequestHead(b []byte) (a requestHead, fault int) {
	first, head, at := splitHead(b)
	switch {
	case at == 0 && len(b) > maxHead || at > maxHead:
		return a, 431
	case at == 0 && !mayBeRequest(b):
		return a, 400
	case at == 0:
		return a, 0
	}
	method, rest, ok := bytes.Cut(first, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	target = originForm(target)
	if !ok || !ok2 || len(target) == 0 || target[0] != '/' || !noControlBytes(target) || bytes.ContainsAny(target, "\t") {
		return a, 400
	}
	for _, c := range method {
		if !tokenByte[c] {
			return a, 400
		}
	}
	a = requestHead{bodyStart: at, method: method, target: target, headers: head, http10: string(version) == "HTTP/1.0"}
	size, chunked, closing, ok := parseFraming(head, true)
	if !ok || !a.http10 && string(version) != "HTTP/1.1" || len(method) == 0 || a.http10 && chunked || headerValue(head, "Host") == nil {
		return a, 400
	}
	a.chunked, a.closeAfter = chunked, a.http10 || closing
	if a.bodySize = max(0, size); chunked {
		a.bodySize = -1
	}
	return a, 0
}

// originForm is the target without the scheme and authority that an absolute form has before it.
func originForm(target []byte) []byte {
	if len(target) < 8 || !equalFold(target[:7], "http://") {
		return target
	}
	at := bytes.IndexAny(target[7:], "/?#")
	if at < 0 {
		return slash
	}
	return target[7+at:]
}

var slash = []byte("/")

// parseRequest takes one request off the front of b. n is its length, 0 while it is not whole; fault is the status of
// the answer where it is none that can be served, 413 where its body holds more than most.
func parseRequest(b []byte, most int) (n int, a requestHead, body []byte, fault int) {
	a, fault = parseRequestHead(b)
	switch {
	case fault != 0 || a.bodyStart == 0:
		return 0, a, nil, fault
	case a.bodySize > most:
		return 0, a, nil, 413
	case a.chunked:
		used, size, ok := measureChunks(b[a.bodyStart:], most)
		switch {
		case size > most:
			return 0, a, nil, 413
		case !ok:
			return 0, a, nil, 400
		case used == 0:
			return 0, a, nil, 0
		}
		return a.bodyStart + used, a, joinChunks(b[a.bodyStart : a.bodyStart+used]), 0
	case len(b) < a.bodyStart+a.bodySize:
		return 0, a, nil, 0
	}
	return a.bodyStart + a.bodySize, a, b[a.bodyStart : a.bodyStart+a.bodySize], 0
}

// mayBeRequest tells whether these bytes may become a request, so that other things are not waited for.
func mayBeRequest(b []byte) bool {
	for i, c := range b {
		if c == ' ' {
			return i > 0
		}
		if !tokenByte[c] || i > 32 {
			return false
		}
	}
	return true
}

// expectsContinue tells whether the client waits to be asked for the body.
func expectsContinue(b []byte) bool {
	_, head, at := splitHead(b)
	return at > 0 && equalFold(headerValue(head, "Expect"), "100-continue")
}

// className is the class that a request names: its header, or else the first part of the path.
func className(target, head []byte) []byte {
	if v := headerValue(head, "X-Priority-Class"); v != nil {
		return v
	}
	path, _, _ := bytes.Cut(target[1:], []byte{'?'})
	path, _, _ = bytes.Cut(path, []byte{'/'})
	return path
}

// parseSeconds reads a span of time, written in digits with or without a point.
func parseSeconds(b []byte) (policy.Time, bool) {
	for _, c := range b {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	s, err := strconv.ParseFloat(asString(b), 64)
	if err != nil || !(s >= 0 && s < 1e6) {
		return 0, false
	}
	return policy.Time(s * float64(policy.Second)), true
}

// hasAmbiguousID tells whether an endpoint could read another id or key than was read here, or none.
func hasAmbiguousID(head []byte) bool {
	dropped := headerValue(head, "Connection")
	for _, name := range [...]string{"X-Request-ID", "Idempotency-Key"} {
		if hasToken(dropped, name) {
			return true
		}
		seen := false
		for at := head; len(at) > 0; {
			var n []byte
			n, _, at, _ = nextHeader(at)
			if equalFold(n, name) && seen {
				return true
			}
			seen = seen || equalFold(n, name)
		}
	}
	return false
}

// isHopByHop tells whether a header is for this connection alone, or written anew.
func isHopByHop(name []byte) bool {
	switch len(name) {
	case 2:
		return equalFold(name, "TE")
	case 6:
		return equalFold(name, "Expect")
	case 7:
		return equalFold(name, "Trailer") || equalFold(name, "Upgrade")
	case 9:
		return equalFold(name, "X-Timeout")
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

// appendEndToEnd writes the headers that go on from one side to the other.
func appendEndToEnd(to, head []byte) []byte {
	named := headerValue(head, "Connection")
	for len(head) > 0 {
		name, value, rest, ok := nextHeader(head)
		if !ok {
			break
		}
		if !isHopByHop(name) && noControlBytes(value) && !hasToken(named, asString(name)) {
			to = append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
		}
		head = rest
	}
	return to
}

// appendRequestHead writes the head of a request as it goes on to an endpoint, which is told how long the answer is waited for. size is that
// of the body, -1 where it is not known yet.
func appendRequestHead(to, method, target, head []byte, size int, wait policy.Time) []byte {
	to = append(append(append(append(to, method...), ' '), target...), " HTTP/1.1\r\n"...)
	to = appendEndToEnd(to, head)
	to = append(to, "X-Timeout: "...)
	to = strconv.AppendFloat(to, max(0, float64(wait)/float64(policy.Second)), 'f', 4, 64)
	if size < 0 {
		to = append(to, "\r\nTransfer-Encoding: chunked"...)
	} else if size > 0 || !equalFold(method, "GET") && !equalFold(method, "HEAD") {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, int64(size), 10)
	}
	return append(to, "\r\n\r\n"...)
}
