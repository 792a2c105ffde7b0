package httpproxy

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// parseResponseHead reads the head of an answer, and of those before it that are none yet (1xx). at is where its body begins, 0 while the
// head is not whole; size -1: not told. over says that nothing more will come, bodiless that the request was one whose answer has no
// body. stays: the connection can carry more. An answer that cannot be read is not ok, and that is told as soon as it shows: its
// endpoint may leave the connection open.
func parseResponseHead(b []byte, over, bodiless bool) (at, status int, head []byte, size int, chunked, stays, ok bool) {
	for {
		first, head, n := splitHead(b[at:])
		if n == 0 {
			return 0, 0, nil, 0, false, false, !over && len(b)-at <= maxHead && mayBeResponse(b[at:])
		}
		status, old, ok := parseStatusLine(first)
		size, chunked, closing, ok2 := parseFraming(head, false)
		if at += n; !ok || !ok2 || at > maxHead || status == 101 {
			return 0, 0, nil, 0, false, false, false
		}
		if status/100 == 1 {
			continue
		}
		stays = !old && !closing
		if bodiless || status == 204 || status == 304 {
			size, chunked = 0, false
		}
		// One without a length would end with the connection, which must be said to end: else a part could not be told from it.
		return at, status, head, size, chunked, stays, size >= 0 || chunked || !stays
	}
}

// parseResponse takes one answer off the front of b. n is its length, 0 while it is not whole, and most what its body may hold.
func parseResponse(b []byte, over, bodiless bool, most int) (n, status int, head, body []byte, stays, ok bool) {
	at, status, head, size, chunked, stays, ok := parseResponseHead(b, over, bodiless)
	switch {
	case !ok || at == 0 || size > most:
		return 0, 0, nil, nil, false, ok && size <= most
	case chunked:
		used, _, ok := measureChunks(b[at:], most)
		if !ok || used == 0 {
			return 0, 0, nil, nil, false, ok && !over
		}
		return at + used, status, head, joinChunks(b[at : at+used]), stays, true
	case size < 0:
		if !over || len(b)-at > most {
			return 0, 0, nil, nil, false, len(b)-at <= most
		}
		return len(b), status, head, b[at:], false, true
	case len(b) < at+size:
		return 0, 0, nil, nil, false, !over
	}
	return at + size, status, head, b[at : at+size], stays, true
}

// mayBeResponse tells whether the beginning of a head may still become one.
func mayBeResponse(b []byte) bool {
	first, head, whole := bytes.Cut(b, emptyLine[:2])
	if !whole {
		want := "HTTP/1."[:min(len(b), 7)]
		return string(b[:len(want)]) == want && len(b) <= 256
	}
	_, _, ok := parseStatusLine(first)
	for ok {
		at := bytes.Index(head, emptyLine[:2])
		if at < 0 {
			break
		}
		_, _, head, ok = nextHeader(head)
	}
	return ok
}

// parseStatusLine reads the first line of an answer; old: of a version that keeps no connections.
func parseStatusLine(first []byte) (status int, old, ok bool) {
	version, rest, _ := bytes.Cut(first, []byte{' '})
	digits, _, _ := bytes.Cut(rest, []byte{' '})
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" || len(digits) != 3 {
		return 0, false, false
	}
	status, ok = parseDigits(digits)
	return status, string(version) == "HTTP/1.0", ok && status >= 100
}

// outcomeOf is what a whole answer means.
func outcomeOf(status int, head []byte) policy.Outcome {
	switch {
	case status == 200:
		return policy.Succeeded
	case (status == 503 || status == 504) && string(headerValue(head, "X-Not-Processed")) == "1":
		return policy.Rejected
	case status/100 == 4 && status != 408 && status != 429:
		return policy.Declined
	}
	return policy.Errored
}

// appendResponseHead writes the head of an answer that passes an endpoint's on; the body follows.
func appendResponseHead(to []byte, status int, head []byte, size int, last bool) []byte {
	to = appendEndToEnd(appendStatusLine(to, status), head)
	return appendLength(to, size, last)
}

func appendLength(to []byte, size int, last bool) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(size), 10)
	if last {
		to = append(to, "\r\nConnection: close"...)
	}
	return append(to, "\r\n\r\n"...)
}

// appendLocalResponse writes an answer of the instance's own.
func appendLocalResponse(to []byte, status int, body string, retryIn policy.Time, last bool) []byte {
	to = append(appendStatusLine(to, status), "Content-Type: text/plain\r\n"...)
	if retryIn > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, float64(retryIn)/float64(policy.Second), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	return append(appendLength(to, len(body), last), body...)
}

func appendStatusLine(to []byte, status int) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	return append(append(append(to, ' '), reasonPhrases[status]...), "\r\n"...)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}
