package httpproxy

import (
	"bytes"
	"strconv"

	"pepperlead/policy"
)

// answerHead reads the head of an answer, and of those before it that are none yet (1xx). at is where its body begins, 0 while the
// head is not whole; size -1: not told. over says that nothing more will come, bodiless that the request was one whose answer has no
// body. stays: the connection can carry more. An answer that cannot be read is not ok, and that is told as soon as it shows: its
// endpoint may leave the connection open.
func answerHead(b []byte, over, bodiless bool) (at, status int, head []byte, size int, chunked, stays, ok bool) {
	for {
		first, head, n := cutHead(b[at:])
		if n == 0 {
			return 0, 0, nil, 0, false, false, !over && len(b)-at <= mostHead && readable(b[at:])
		}
		status, old, ok := statusLine(first)
		size, chunked, closing, ok2 := framing(head, false)
		if at += n; !ok || !ok2 || at > mostHead || status == 101 {
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

// CutAnswer takes one answer off the front of b. n is its length, 0 while it is not whole, and most what its body may hold.
func CutAnswer(b []byte, over, bodiless bool, most int) (n, status int, head, body []byte, stays, ok bool) {
	at, status, head, size, chunked, stays, ok := answerHead(b, over, bodiless)
	switch {
	case !ok || at == 0 || size > most:
		return 0, 0, nil, nil, false, ok && size <= most
	case chunked:
		used, _, ok := chunks(b[at:], most)
		if !ok || used == 0 {
			return 0, 0, nil, nil, false, ok && !over
		}
		return at + used, status, head, unchunk(b[at : at+used]), stays, true
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
		return policy.Succeeded
	case (status == 503 || status == 504) && string(field(head, "X-Not-Processed")) == "1":
		return policy.Rejected
	case status/100 == 4 && status != 408 && status != 429:
		return policy.Declined
	}
	return policy.Errored
}

// AppendSuccess writes the head of an answer that passes an endpoint's on; the body follows.
func AppendSuccess(to []byte, status int, head []byte, size int, last bool) []byte {
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

// AppendOwn writes an answer of the instance's own.
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
