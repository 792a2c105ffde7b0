package proto

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// CutRequest takes one request off the front of b. n is its length, 0 while it is not whole; fault is the status of
// the answer where it is none that can be served.
func CutRequest(b []byte) (n int, method, target, head, body []byte, last bool, fault int) {
	fail := func(status int) (int, []byte, []byte, []byte, []byte, bool, int) {
		return 0, nil, nil, nil, nil, true, status
	}
	first, head, at := cutHead(b)
	if at == 0 {
		if len(b) > mostHead {
			return fail(431)
		}
		if !beginning(b) {
			return fail(400)
		}
		return 0, nil, nil, nil, nil, false, 0
	}
	if at > mostHead {
		return fail(431)
	}
	method, rest, ok := bytes.Cut(first, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok || !ok2 || len(target) == 0 || target[0] != '/' || !clean(target) || bytes.ContainsAny(target, "\t") {
		return fail(400)
	}
	for _, c := range method {
		if !tokenByte[c] {
			return fail(400)
		}
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		last = true
	default:
		return fail(400)
	}
	size, chunked, closing, ok := framing(head, true)
	last = last || closing
	switch {
	case !ok || len(method) == 0 || field(head, "Host") == nil:
		return fail(400)
	case size > mostBody:
		return fail(413)
	case chunked:
		used, size, ok := chunks(b[at:], mostBody)
		switch {
		case size > mostBody:
			return fail(413)
		case !ok:
			return fail(400)
		case used == 0:
			return 0, nil, nil, nil, nil, false, 0
		}
		return at + used, method, target, head, unchunk(b[at : at+used]), last, 0
	}
	size = max(0, size)
	if len(b) < at+size {
		return 0, nil, nil, nil, nil, false, 0
	}
	return at + size, method, target, head, b[at : at+size], last, 0
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

// class is the offering that a request names: its header, or else the first part of the path.
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

// ambiguous tells whether a server could read another id or key than was read here, or none.
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

// AppendPush writes a request as it goes on to a server, which is told how long the answer is waited for.
func AppendPush(to, method, target, head, body []byte, wait policy.Time) []byte {
	to = append(append(append(append(to, method...), ' '), target...), " HTTP/1.1\r\n"...)
	to = appendThrough(to, head)
	to = append(to, "X-Timeout: "...)
	to = strconv.AppendFloat(to, max(0, float64(wait)/float64(policy.Second)), 'f', 4, 64)
	if len(body) > 0 || !named(method, "GET") {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, int64(len(body)), 10)
	}
	return append(append(to, "\r\n\r\n"...), body...)
}
