package httpproxy

import (
	"bytes"
	"unsafe"
)

// Limits of a message.
const (
	maxHead          = 16 << 10 // maximum length of a head, in bytes
	maxBody          = 64 << 10 // bytes; a longer body is not handled as one message, but part by part as it arrives
	maxChunkOverhead = 8        // maximum ratio of a chunked body's encoded length to the maximum body size

	// maxConnectionOptions is how many options the Connection header may list; each is compared with each header.
	maxConnectionOptions = 100
)

var (
	lineEnd   = []byte("\r\n")
	emptyLine = []byte("\r\n\r\n")
)

// asString returns the bytes as a string without copying. The string must not be used once the bytes may change.
func asString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// messageHead is the first line and the header lines of a message.
type messageHead struct {
	firstLine []byte
	headers   []byte // the header lines, including their line ends
	length    int    // length of the head including the empty line after it; 0 if the head is incomplete
}

// splitHead returns the head at the start of b.
func splitHead(b []byte) messageHead {
	end := bytes.Index(b, emptyLine)
	if end < 0 {
		return messageHead{}
	}
	lines := b[:end+len(lineEnd)]
	firstEnd := bytes.Index(lines, lineEnd)
	return messageHead{
		firstLine: lines[:firstEnd],
		headers:   lines[firstEnd+len(lineEnd):],
		length:    end + len(emptyLine),
	}
}

// header is one header line.
type header struct{ name, value []byte }

// nextHeader splits off the first header line. ok is false if there is none or it is malformed.
func nextHeader(headers []byte) (first header, rest []byte, ok bool) {
	line, rest, ok := bytes.Cut(headers, lineEnd)
	if !ok {
		return header{}, nil, false
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || !isToken(name) {
		return header{}, nil, false
	}
	value = bytes.Trim(value, " \t")
	return header{name, value}, rest, !bytes.ContainsAny(value, "\x00\r\n")
}

// isToken reports whether all of the bytes are allowed in methods and header names.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenByte[c] {
			return false
		}
	}
	return true
}

// noControlBytes reports whether the value contains no control bytes except tabs. A parser could take such a byte for
// the end of a line.
func noControlBytes(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenByte marks the bytes of methods and header names (RFC 9110, section 5.6.2).
var tokenByte = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

// headerValue returns the value of the first header with the given name, nil if there is none.
func headerValue(headers []byte, name string) []byte {
	for len(headers) > 0 {
		first, rest, ok := nextHeader(headers)
		if !ok {
			return nil
		}
		if equalFold(first.name, name) {
			return first.value
		}
		headers = rest
	}
	return nil
}

// equalFold reports whether b and s are equal as ASCII text, ignoring case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		if d := s[i]; c != d && lowerASCII(c) != lowerASCII(d) {
			return false
		}
	}
	return true
}

func lowerASCII(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// hasToken reports whether a comma-separated value contains the token.
func hasToken(value []byte, token string) bool {
	for len(value) > 0 {
		var part []byte
		part, value, _ = bytes.Cut(value, []byte{','})
		if equalFold(bytes.Trim(part, " \t"), token) {
			return true
		}
	}
	return false
}

// framing holds what the headers specify about the length of the body and the end of the connection.
type framing struct {
	size    int // value of Content-Length; -1 if there is no such header
	chunked bool
	closing bool // the connection is to be closed after the message
}

// parseFraming reads the framing headers. In strict mode no header value may contain control bytes.
func parseFraming(headers []byte, strict bool) (f framing, ok bool) {
	f.size = -1
	for len(headers) > 0 {
		first, rest, ok := nextHeader(headers)
		if !ok || strict && !noControlBytes(first.value) {
			return framing{}, false
		}
		headers = rest
		switch {
		case equalFold(first.name, "Content-Length"):
			size, ok := parseDigits(first.value)
			if !ok || f.size >= 0 && size != f.size {
				return framing{}, false
			}
			f.size = size
		case equalFold(first.name, "Transfer-Encoding"):
			if f.chunked || !equalFold(first.value, "chunked") {
				return framing{}, false
			}
			f.chunked = true
		case equalFold(first.name, "Connection"):
			if bytes.Count(first.value, []byte{','}) >= maxConnectionOptions {
				return framing{}, false
			}
			f.closing = f.closing || hasToken(first.value, "close")
		}
	}
	// A message with both Content-Length and Transfer-Encoding allows request smuggling: two parsers may disagree on
	// where it ends.
	return f, !f.chunked || f.size < 0
}

// maxParsed is the value above which parseDigits accepts no further digit, to prevent an overflow.
const maxParsed = 1 << 40

// parseDigits parses a number that consists of decimal digits only.
func parseDigits(b []byte) (n int, ok bool) {
	for _, c := range b {
		if c < '0' || c > '9' || n > maxParsed {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}
