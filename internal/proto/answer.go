package proto

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// CutAnswer takes one answer off the front of b; over says that nothing more will come. n is its length, 0 while it is
// not whole, and most what its body may hold. stays: the connection can carry more. An answer that cannot be read is not ok,
// and that is told as soon as it shows: its server may leave the connection open.
func CutAnswer(b []byte, over bool, most int) (n, status int, head, body []byte, stays, ok bool) {
	skipped := 0
	for {
		first, head, at := cutHead(b)
		if at == 0 {
			return 0, 0, nil, nil, false, !over && len(b) <= mostHead && readable(b)
		}
		status, old, ok := statusLine(first)
		size, chunked, closing, ok2 := framing(head, false)
		if !ok || !ok2 || at+skipped > mostHead || size > most || status == 101 {
			return 0, 0, nil, nil, false, false
		}
		if status/100 == 1 {
			// Not the answer yet.
			b, skipped = b[at:], skipped+at
			continue
		}
		stays = !old && !closing
		switch {
		case status == 204 || status == 304:
			size = 0
		case chunked:
			used, _, ok := chunks(b[at:], most)
			if !ok || used == 0 {
				return 0, 0, nil, nil, false, ok && !over
			}
			return skipped + at + used, status, head, unchunk(b[at : at+used]), stays, true
		case size < 0 && stays:
			// It would end with the connection, which is not said to end: what came could not be told from a part.
			return 0, 0, nil, nil, false, false
		case size < 0:
			if !over || len(b)-at > most {
				return 0, 0, nil, nil, false, len(b)-at <= most
			}
			return skipped + len(b), status, head, b[at:], false, true
		}
		if len(b) < at+size {
			return 0, 0, nil, nil, false, !over
		}
		return skipped + at + size, status, head, b[at : at+size], stays, true
	}
}

// readable tells whether the beginning of a head may still become one.
func readable(b []byte) bool {
	first, head, whole := bytes.Cut(b, headEnd[:2])
	if !whole {
		want := "HTTP/1."[:min(len(b), 7)]
		return string(b[:len(want)]) == want && len(b) <= 256
	}
	_, _, ok := statusLine(first)
	for ok {
		at := bytes.Index(head, headEnd[:2])
		if at < 0 {
			break
		}
		_, _, head, ok = cutHeader(head)
	}
	return ok
}

// statusLine reads the first line of an answer; old: of a version that keeps no connections.
func statusLine(first []byte) (status int, old, ok bool) {
	version, rest, _ := bytes.Cut(first, []byte{' '})
	digits, _, _ := bytes.Cut(rest, []byte{' '})
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" || len(digits) != 3 {
		return 0, false, false
	}
	status, ok = whole(digits)
	return status, string(version) == "HTTP/1.0", ok && status >= 100
}

// outcomeOf is what a whole answer means.
func outcomeOf(status int, head []byte) policy.Outcome {
	switch {
	case status == 200:
		return policy.Honoured
	case (status == 503 || status == 504) && string(field(head, "X-Not-Processed")) == "1":
		return policy.TurnedAway
	case status/100 == 4 && status != 408 && status != 429:
		return policy.Declined
	}
	return policy.Errored
}

// AppendHonour writes the head of an answer that passes a server's on; the body follows.
func AppendHonour(to []byte, status int, head []byte, size int, last bool) []byte {
	to = appendThrough(appendStatus(to, status), head)
	return appendEnd(to, size, last)
}

func appendEnd(to []byte, size int, last bool) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(size), 10)
	if last {
		to = append(to, "\r\nConnection: close"...)
	}
	return append(to, "\r\n\r\n"...)
}

// AppendOwn writes an answer of the sidecar's own.
func AppendOwn(to []byte, status int, body string, retryIn policy.Time, last bool) []byte {
	to = append(appendStatus(to, status), "Content-Type: text/plain\r\n"...)
	if retryIn > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, float64(retryIn)/float64(policy.Second), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	return append(appendEnd(to, len(body), last), body...)
}

func appendStatus(to []byte, status int) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	return append(append(append(to, ' '), reasons[status]...), "\r\n"...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}
