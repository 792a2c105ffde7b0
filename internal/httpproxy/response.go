package httpproxy

import (
	"bytes"
	"net/http"
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// maxStatusLine is the maximum length of an incomplete status line, in bytes.
const maxStatusLine = 256

// responseHead is the parsed head of a response.
type responseHead struct {
	bodyStart int // offset of the body; 0: the head is incomplete
	status    int
	headers   []byte
	bodySize  int // -1: unknown
	chunked   bool
	reusable  bool // the connection can carry another request after the response
}

// parseResponseHead parses the head of a response and skips interim responses (1xx) before it. ended means that the
// endpoint sends nothing more, noBody that the request was HEAD, whose response has no body. ok is false as soon as the
// input proves malformed, without waiting for more of it: the endpoint may leave the connection open.
func parseResponseHead(b []byte, ended, noBody bool) (response responseHead, ok bool) {
	bodyStart := 0
	for {
		rest := b[bodyStart:]
		raw := splitHead(rest)
		if raw.length == 0 {
			return responseHead{}, !ended && len(rest) <= maxHead && mayBeResponse(rest)
		}
		status, ok := parseStatusLine(raw.firstLine)
		if !ok {
			return responseHead{}, false
		}
		body, ok := parseFraming(raw.headers, false)
		bodyStart += raw.length
		if !ok || bodyStart > maxHead || status.code == http.StatusSwitchingProtocols {
			return responseHead{}, false
		}
		if status.code/100 == 1 {
			continue
		}
		if noBody || status.code == http.StatusNoContent || status.code == http.StatusNotModified {
			body.size = 0
			body.chunked = false
		}
		response = responseHead{
			bodyStart: bodyStart,
			status:    status.code,
			headers:   raw.headers,
			bodySize:  body.size,
			chunked:   body.chunked,
			reusable:  !status.http10 && !body.closing,
		}
		// A body without a length ends when the connection closes, and the response must announce that. Otherwise a
		// truncated body could not be distinguished from a complete one.
		return response, body.size >= 0 || body.chunked || !response.reusable
	}
}

// parsedResponse is a parsed response with its body.
type parsedResponse struct {
	length   int // length of the whole message; 0 if the message is incomplete
	status   int
	headers  []byte
	body     []byte
	reusable bool // the connection can carry another request after the response
}

// parseResponse parses the response at the start of b, whose body may have up to maxSize bytes. whole is that of
// measureChunks, the other parameters are those of parseResponseHead.
func parseResponse(
	b []byte, ended, noBody bool, maxSize int, whole *connstate.WholeChunks,
) (response parsedResponse, ok bool) {
	head, ok := parseResponseHead(b, ended, noBody)
	switch {
	case !ok || head.bodyStart == 0 || head.bodySize > maxSize:
		return parsedResponse{}, ok && head.bodySize <= maxSize
	case head.chunked:
		extent, ok := measureChunks(b[head.bodyStart:], maxSize, whole)
		if !ok || extent.length == 0 {
			return parsedResponse{}, ok && !ended
		}
		end := head.bodyStart + extent.length
		return head.withBody(end, joinChunks(b[head.bodyStart:end])), true
	case head.bodySize < 0:
		fits := len(b)-head.bodyStart <= maxSize
		if !ended || !fits {
			return parsedResponse{}, fits
		}
		return head.withBody(len(b), b[head.bodyStart:]), true
	case len(b) < head.bodyStart+head.bodySize:
		return parsedResponse{}, !ended
	}
	end := head.bodyStart + head.bodySize
	return head.withBody(end, b[head.bodyStart:end]), true
}

func (h responseHead) withBody(length int, body []byte) parsedResponse {
	return parsedResponse{length: length, status: h.status, headers: h.headers, body: body, reusable: h.reusable}
}

// mayBeResponse reports whether an incomplete head can be the beginning of a valid response head.
func mayBeResponse(b []byte) bool {
	firstLine, headers, complete := bytes.Cut(b, lineEnd)
	if !complete {
		const version = "HTTP/1."
		want := version[:min(len(b), len(version))]
		return string(b[:len(want)]) == want && len(b) <= maxStatusLine
	}
	_, ok := parseStatusLine(firstLine)
	for ok && bytes.Contains(headers, lineEnd) {
		_, headers, ok = nextHeader(headers)
	}
	return ok
}

// statusLine is the first line of a response.
type statusLine struct {
	code   int
	http10 bool // HTTP/1.0: the connection closes after the response
}

func parseStatusLine(line []byte) (status statusLine, ok bool) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	digits, _, _ := bytes.Cut(rest, []byte{' '})
	http10 := string(version) == "HTTP/1.0"
	if !http10 && string(version) != "HTTP/1.1" || len(digits) != 3 {
		return statusLine{}, false
	}
	code, ok := parseDigits(digits)
	return statusLine{code, http10}, ok && code >= 100
}

// outcomeOf returns the outcome of an attempt that ended with a response of this status and these headers.
func outcomeOf(status int, headers []byte) policy.Outcome {
	switch {
	case status == http.StatusOK:
		return policy.Succeeded
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		string(headerValue(headers, headerNotProcessed)) == "1":
		return policy.Rejected
	case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return policy.Declined
	}
	return policy.Errored
}

// appendResponseHead appends the head of an endpoint's response in the form sent to the client.
func appendResponseHead(to []byte, status int, headers []byte, bodySize int, closing bool) []byte {
	to = appendStatusLine(to, status)
	to = appendEndToEnd(to, headers)
	return appendLength(to, bodySize, closing)
}

// appendLength appends the framing headers and the end of the head.
func appendLength(to []byte, bodySize int, closing bool) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(bodySize), 10)
	if closing {
		to = append(to, "\r\nConnection: close"...)
	}
	return append(to, emptyLine...)
}

// appendLocalResponse appends a response that the instance makes itself.
func appendLocalResponse(to []byte, status int, body string, retryAfter policy.Time, closing bool) []byte {
	to = appendStatusLine(to, status)
	to = append(to, "Content-Type: text/plain\r\n"...)
	if retryAfter > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, float64(retryAfter)/float64(policy.Second), 'f', 3, 64)
		to = append(to, lineEnd...)
	}
	to = appendLength(to, len(body), closing)
	return append(to, body...)
}

func appendStatusLine(to []byte, status int) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, reasonPhrases[status]...)
	return append(to, lineEnd...)
}

// reasonPhrases holds the reason phrases of the statuses that the instance sends itself; other statuses have none.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
}
