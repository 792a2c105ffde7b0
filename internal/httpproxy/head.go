// Package proto is what the instance speaks: HTTP/1.1 to clients and to endpoints, and the list of endpoints. The parsers
// and writers work on slices alone; sockets are served by sockets.go, and the loop in sidecar.go holds all together.
package httpproxy

import (
	"bytes"
	"unsafe"
)

const (
	mostHead = 16 << 10
	mostBody = 64 << 10
	mostSpun = 8 // times its body that a message may take with its chunk sizes
)

var headEnd = []byte("\r\n\r\n")

// text reads bytes as a string for the length of a call that does not keep it.
func text(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// cutHead takes the first line and the header lines off the front of b, the latter each with its line end. n is where
// the body begins; 0: not whole yet.
func cutHead(b []byte) (first, head []byte, n int) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return nil, nil, 0
	}
	head = b[:end+2]
	at := bytes.Index(head, headEnd[:2])
	return head[:at], head[at+2:], end + 4
}

// cutHeader takes one header line off the front of the head.
func cutHeader(head []byte) (name, value, rest []byte, ok bool) {
	line, rest, ok := bytes.Cut(head, headEnd[:2])
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

// clean tells whether there is no control byte in it that could pass for the end of a line.
func clean(value []byte) bool {
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

// field is the value of a header, nil where the head lacks it.
func field(head []byte, name string) []byte {
	for len(head) > 0 {
		n, value, rest, ok := cutHeader(head)
		if !ok {
			return nil
		}
		if named(n, name) {
			return value
		}
		head = rest
	}
	return nil
}

// named compares a header's name, in whatever letters.
func named(b []byte, name string) bool {
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

// listed tells whether a comma-separated value has the word.
func listed(value []byte, word string) bool {
	for len(value) > 0 {
		var part []byte
		part, value, _ = bytes.Cut(value, []byte{','})
		if named(bytes.Trim(part, " \t"), word) {
			return true
		}
	}
	return false
}

// framing reads how long the body is: size bytes, or chunked, or (-1) not told. strict: no value may hold control bytes.
func framing(head []byte, strict bool) (size int, chunked, closing, ok bool) {
	size = -1
	for len(head) > 0 {
		name, value, rest, fine := cutHeader(head)
		if !fine || strict && !clean(value) {
			return 0, false, false, false
		}
		head = rest
		switch {
		case named(name, "Content-Length"):
			n, fine := whole(value)
			if !fine || size >= 0 && n != size {
				return 0, false, false, false
			}
			size = n
		case named(name, "Transfer-Encoding"):
			if chunked || !named(value, "chunked") {
				return 0, false, false, false
			}
			chunked = true
		case named(name, "Connection"):
			closing = closing || listed(value, "close")
		}
	}
	// Both at once is how a request is smuggled past one of two readers.
	return size, chunked, closing, !chunked || size < 0
}

// whole reads a number that is written in digits alone.
func whole(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}

// chunks measures a chunked body: n bytes in all, size of them the body. n is 0 while it is not whole.
func chunks(b []byte, most int) (n, size int, ok bool) {
	for {
		if n > mostSpun*most {
			return 0, most + 1, false
		}
		part, at, ok := chunkSize(b[n:])
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
		end := bytes.Index(b[n:], headEnd[:2])
		switch {
		case end < 0:
			return 0, size, len(b)-n <= mostHead
		case end == 0:
			return n + 2, size, true
		}
		n += end + 2
	}
}

// chunkSize reads the line before a chunk; n is its length, 0 while it is not whole.
func chunkSize(b []byte) (size, n int, ok bool) {
	end := bytes.Index(b, headEnd[:2])
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

// unchunk moves the parts of a whole chunked body together, at its front.
func unchunk(b []byte) []byte {
	to, at := 0, 0
	for {
		part, n, _ := chunkSize(b[at:])
		if part == 0 {
			return b[:to]
		}
		at += n
		to += copy(b[to:], b[at:at+part])
		at += part + 2
	}
}
