package proto

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// CutAnswer takes one answer off the front of b; over says that nothing more will come. n is its length, 0 while it is
// not whole, and most what its body may hold. stays: the connection can carry more. An answer that cannot be read is not ok.
func CutAnswer(b []byte, over bool, most int) (n, status int, head, body []byte, stays, ok bool) {
	skipped := 0
	for {
		first, head, at := cutHead(b)
		if at == 0 {
			return 0, 0, nil, nil, false, !over && len(b) <= mostHead
		}
		status, old, ok := statusLine(first)
		size, chunked, closing, ok2 := framing(head)
		if !ok || !ok2 || at > mostHead || size > most && status == 200 {
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
		case size < 0:
			// It ends with the connection.
			if !over || len(b)-at > most {
				return 0, 0, nil, nil, false, len(b)-at <= most
			}
			return skipped + len(b), status, head, b[at:], false, true
		}
		if len(b) < at+size {
			return 0, 0, nil, nil, false, !over && size <= 1<<24
		}
		return skipped + at + size, status, head, b[at : at+size], stays, true
	}
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
	}
	return policy.Errored
}

// AppendHonour writes the head of an answer that passes a server's on; the body follows.
func AppendHonour(to, head []byte, size int, last bool) []byte {
	to = appendThrough(append(to, "HTTP/1.1 200 OK\r\n"...), head)
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
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(append(append(to, ' '), reasons[status]...), "\r\nContent-Type: text/plain\r\n"...)
	if retryIn > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, float64(retryIn)/float64(policy.Second), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	return append(appendEnd(to, len(body), last), body...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}
