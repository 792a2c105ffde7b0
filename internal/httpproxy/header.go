// Package proto is what the instance speaks: HTTP/1.1 to clients and to endpoints, and the list of endpoints. The parsers
// and writers work on slices alone; sockets are served by sockets.go, and the loop in sidecar.go holds all together.
package httpproxy

import (
	"bytes"
	"unsafe"
)

const (
	maxHead          = 16 << 10
	maxBody          = 64 << 10
	maxChunkOverhead = 8 // times its body that a message may take with its chunk sizes
)

var emptyLine = []byte("\r\n\r\n")

// asString reads bytes as a string for the length of a call that does not keep it.
func asString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// splitHead takes the first line and the header lines off the front of b, the latter each with its line end. n is where
// the body begins; 0: not whole yet.
func splitHead(b []byte) (first, head []byte, n int) {
	end := bytes.Index(b, emptyLine)
	if end < 0 {
		return nil, nil, 0
	}
	head = b[:end+2]
	at := bytes.Index(head, emptyLine[:2])
	return head[:at], head[at+2:], end + 4
}

// nextHeader takes one header line off the front of the head.
func nextHeader(head []byte) (name, value, rest []byte, ok bool) {
	line, rest, ok := bytes.Cut(head, emptyLine[:2])
	if !ok {
		return nil, nil, nil, false
	}
	name, value, ok = bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 {
		return nil, nil, nil, false
	}
	for _, c := range name {
		if !tokenByte[c] {
			return nil, nil, nil, false
		}
	}
	value = bytes.Trim(value, " \t")
	return name, value, rest, !bytes.ContainsAny(value, "\x00\r\n")
}

// noControlBytes tells whether there is no control byte in it that could pass for the end of a line.
func noControlBytes(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

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

// headerValue is the value of a header, nil where the head lacks it.
func headerValue(head []byte, name string) []byte {
	for len(head) > 0 {
		n, value, rest, ok := nextHeader(head)
		if !ok {
			return nil
		}
		if equalFold(n, name) {
			return value
		}
		head = rest
	}
	return nil
}

// equalFold compares a header's name, in whatever letters.
func equalFold(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i, c := range b {
		d := name[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if 'A' <= d && d <= 'Z' {
			d += 'a' - 'A'
		}
		if c != d {
			return false
		}
	}
	return true
}

// hasToken tells whether a comma-separated value has the word.
func hasToken(value []byte, word string) bool {
	for len(value) > 0 {
		var part []byte
		part, value, _ = bytes.Cut(value, []byte{','})
		if equalFold(bytes.Trim(part, " \t"), word) {
			return true
		}
	}
	return false
}

// parseFraming reads how long the body is: size bytes, or chunked, or (-1) not told. strict: no value may hold control bytes.
func parseFraming(head []byte, strict bool) (size int, chunked, closing, ok bool) {
	size = -1
	for len(head) > 0 {
		name, value, rest, fine := nextHeader(head)
		if !fine || strict && !noControlBytes(value) {
			return 0, false, false, false
		}
		head = rest
		switch {
		case equalFold(name, "Content-Length"):
			n, fine := parseDigits(value)
			if !fine || size >= 0 && n != size {
				return 0, false, false, false
			}
			size = n
		case equalFold(name, "Transfer-Encoding"):
			if chunked || !equalFold(value, "chunked") {
				return 0, false, false, false
			}
			chunked = true
		case equalFold(name, "Connection"):
			closing = closing || hasToken(value, "close")
		}
	}
	// Both at once is how a request is smuggled past one of two readers.
	return size, chunked, closing, !chunked || size < 0
}

// parseDigits reads a number that is written in digits alone.
func parseDigits(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}

// measureChunks measures a chunked body: n bytes in all, size of them the body. n is 0 while it is not whole.
func measureChunks(b []byte, most int) (n, size int, ok bool) {
	for {
		if n > maxChunkOverhead*most {
			return 0, most + 1, false
		}
		part, at, ok := parseChunkSize(b[n:])
		if !ok || size+part > most {
			return 0, size + part, false
		}
		if at == 0 {
			return 0, size, true
		}
		n += at
		if part == 0 {
			break
		}
		if len(b) < n+part+2 {
			return 0, size + part, true
		}
		if b[n+part] != '\r' || b[n+part+1] != '\n' {
			return 0, size, false
		}
		n, size = n+part+2, size+part
	}
	for { // trailers, which nothing here reads
		end := bytes.Index(b[n:], emptyLine[:2])
		switch {
		case end < 0:
			return 0, size, len(b)-n <= maxHead
		case end == 0:
			return n + 2, size, true
		}
		n += end + 2
	}
}

// parseChunkSize reads the line before a chunk; n is its length, 0 while it is not whole.
func parseChunkSize(b []byte) (size, n int, ok bool) {
	end := bytes.Index(b, emptyLine[:2])
	if end < 0 {
		return 0, 0, len(b) <= 256
	}
	digits, extension, _ := bytes.Cut(b[:end], []byte{';'})
	digits = bytes.Trim(digits, " \t")
	if len(digits) == 0 || len(digits) > 8 || end > 256 || bytes.ContainsAny(extension, "\r\n") {
		return 0, 0, false
	}
	for _, c := range digits {
		switch {
		case '0' <= c && c <= '9':
			c -= '0'
		case 'a' <= c && c <= 'f':
			c -= 'a' - 10
		case 'A' <= c && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, 0, false
		}
		size = size<<4 + int(c)
	}
	return size, end + 2, true
}

// joinChunks moves the parts of a whole chunked body together, at its front.
func joinChunks(b []byte) []byte {
	to, at := 0, 0
	for {
		part, n, _ := parseChunkSize(b[at:])
		if part == 0 {
			return b[:to]
		}
		at += n
		to += copy(b[to:], b[at:at+part])
		at += part + 2
	}
}
