package httpproxy

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// asked is what the head of a request says.
type asked struct {
	at      int // where its body begins; 0: it is not whole
	method  []byte
	target  []byte
	head    []byte
	size    int // of the body; -1: not told
	chunked bool
	old     bool // HTTP/1.0
	last    bool // the connection is to end after the answer
}

// askedBy reads the head at the front of b; fault is the status of the answer where it is none that can be served.
func askedBy(b []byte) (a asked, fault int) {
	first, head, at := cutHead(b)
	switch {
	case at == 0 && len(b) > mostHead || at > mostHead:
		return a, 431
	case at == 0 && !beginning(b):
		return a, 400
	case at == 0:
		return a, 0
	}
	method, rest, ok := bytes.Cut(first, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	target = origin(target)
	if !ok || !ok2 || len(target) == 0 || target[0] != '/' || !clean(target) || bytes.ContainsAny(target, "\t") {
		return a, 400
	}
	for _, c := range method {
		if !tokenByte[c] {
			return a, 400
		}
	}
	a = asked{at: at, method: method, target: target, head: head, old: string(version) == "HTTP/1.0"}
	size, chunked, closing, ok := framing(head, true)
	if !ok || !a.old && string(version) != "HTTP/1.1" || len(method) == 0 || a.old && chunked || field(head, "Host") == nil {
		return a, 400
	}
	a.chunked, a.last = chunked, a.old || closing
	if a.size = max(0, size); chunked {
		a.size = -1
	}
	return a, 0
}

// origin is the target without the scheme and authority that an absolute form has before it.
func origin(target []byte) []byte {
	if len(target) < 8 || !named(target[:7], "http://") {
		return target
	}
	at := bytes.IndexAny(target[7:], "/?#")
	if at < 0 {
		return slash
	}
	return target[7+at:]
}

var slash = []byte("/")

// CutRequest takes one request off the front of b. n is its length, 0 while it is not whole; fault is the status of
// the answer where it is none that can be served, 413 where its body holds more than most.
func CutRequest(b []byte, most int) (n int, a asked, body []byte, fault int) {
	a, fault = askedBy(b)
	switch {
	case fault != 0 || a.at == 0:
		return 0, a, nil, fault
	case a.size > most:
		return 0, a, nil, 413
	case a.chunked:
		used, size, ok := chunks(b[a.at:], most)
		switch {
		case size > most:
			return 0, a, nil, 413
		case !ok:
			return 0, a, nil, 400
		case used == 0:
			return 0, a, nil, 0
		}
		return a.at + used, a, unchunk(b[a.at : a.at+used]), 0
	case len(b) < a.at+a.size:
		return 0, a, nil, 0
	}
	return a.at + a.size, a, b[a.at : a.at+a.size], 0
}

// beginning tells whether these bytes may become a request, so that other things are not waited for.
func beginning(b []byte) bool {
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

// Continues tells whether the client waits to be asked for the body.
func Continues(b []byte) bool {
	_, head, at := cutHead(b)
	return at > 0 && named(field(head, "Expect"), "100-continue")
}

// class is the class that a request names: its header, or else the first part of the path.
func class(target, head []byte) []byte {
	if v := field(head, "X-Priority-Class"); v != nil {
		return v
	}
	path, _, _ := bytes.Cut(target[1:], []byte{'?'})
	path, _, _ = bytes.Cut(path, []byte{'/'})
	return path
}

// seconds reads a span of time, written in digits with or without a point.
func seconds(b []byte) (policy.Time, bool) {
	for _, c := range b {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	s, err := strconv.ParseFloat(text(b), 64)
	if err != nil || !(s >= 0 && s < 1e6) {
		return 0, false
	}
	return policy.Time(s * float64(policy.Second)), true
}

// ambiguous tells whether an endpoint could read another id or key than was read here, or none.
func ambiguous(head []byte) bool {
	dropped := field(head, "Connection")
	for _, name := range [...]string{"X-Request-ID", "Idempotency-Key"} {
		if listed(dropped, name) {
			return true
		}
		seen := false
		for at := head; len(at) > 0; {
			var n []byte
			n, _, at, _ = cutHeader(at)
			if named(n, name) && seen {
				return true
			}
			seen = seen || named(n, name)
		}
	}
	return false
}

// hop tells whether a header is for this connection alone, or written anew.
func hop(name []byte) bool {
	switch len(name) {
	case 2:
		return named(name, "TE")
	case 6:
		return named(name, "Expect")
	case 7:
		return named(name, "Trailer") || named(name, "Upgrade")
	case 9:
		return named(name, "X-Timeout")
	case 10:
		return named(name, "Connection") || named(name, "Keep-Alive")
	case 14:
		return named(name, "Content-Length")
	case 16:
		return named(name, "Proxy-Connection")
	case 17:
		return named(name, "Transfer-Encoding")
	}
	return false
}

// appendThrough writes the headers that go on from one side to the other.
func appendThrough(to, head []byte) []byte {
	named := field(head, "Connection")
	for len(head) > 0 {
		name, value, rest, ok := cutHeader(head)
		if !ok {
			break
		}
		if !hop(name) && clean(value) && !listed(named, text(name)) {
			to = append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
		}
		head = rest
	}
	return to
}

// AppendAttempt writes the head of a request as it goes on to an endpoint, which is told how long the answer is waited for. size is that
// of the body, -1 where it is not known yet.
func AppendAttempt(to, method, target, head []byte, size int, wait policy.Time) []byte {
	to = append(append(append(append(to, method...), ' '), target...), " HTTP/1.1\r\n"...)
	to = appendThrough(to, head)
	to = append(to, "X-Timeout: "...)
	to = strconv.AppendFloat(to, max(0, float64(wait)/float64(policy.Second)), 'f', 4, 64)
	if size < 0 {
		to = append(to, "\r\nTransfer-Encoding: chunked"...)
	} else if size > 0 || !named(method, "GET") && !named(method, "HEAD") {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, int64(size), 10)
	}
	return append(to, "\r\n\r\n"...)
}
