package httpproxy

import (
	"bytes"

	"pepperlead/internal/connstate"
)

// Limits of the line with the size of a chunk.
const (
	maxChunkSizeLine   = 256 // bytes
	maxChunkSizeDigits = 8   // hexadecimal
)

// chunkedExtent holds the encoded and decoded lengths of a chunked body.
type chunkedExtent struct {
	length int // encoded length, including chunk sizes and trailers; 0 if the body is incomplete
	size   int // decoded length: the sum of the chunk sizes read so far
}

// measureChunks measures the chunked body at the start of b. ok is false if the body is malformed or longer than limit;
// in the latter case size exceeds limit. It begins after the given chunks, and adds to them those that are complete
// now, so that no chunk is measured twice while a body arrives in many parts.
func measureChunks(b []byte, limit int, whole *connstate.WholeChunks) (extent chunkedExtent, ok bool) {
	length, size := whole.Length, whole.Size
	for {
		whole.Length, whole.Size = length, size
		if length > maxChunkOverhead*limit {
			return chunkedExtent{size: limit + 1}, false
		}
		chunk, lineLength, ok := parseChunkSize(b[length:])
		if !ok || size+chunk > limit {
			return chunkedExtent{size: size + chunk}, false
		}
		if lineLength == 0 {
			return chunkedExtent{size: size}, true
		}
		length += lineLength
		if chunk == 0 {
			return measureTrailers(b, chunkedExtent{length, size})
		}
		end := length + chunk
		if len(b) < end+len(lineEnd) {
			return chunkedExtent{size: size + chunk}, true
		}
		if !bytes.HasPrefix(b[end:], lineEnd) {
			return chunkedExtent{size: size}, false
		}
		length = end + len(lineEnd)
		size += chunk
	}
}

// measureTrailers adds the length of the trailers, whose content is ignored, to the extent of the body before them.
func measureTrailers(b []byte, body chunkedExtent) (extent chunkedExtent, ok bool) {
	length := body.length
	for {
		end := bytes.Index(b[length:], lineEnd)
		switch {
		case end < 0:
			return chunkedExtent{size: body.size}, len(b)-length <= maxHead
		case end == 0:
			return chunkedExtent{length + len(lineEnd), body.size}, true
		}
		length += end + len(lineEnd)
	}
}

// parseChunkSize parses the line with the size of a chunk. length is the length of the line including its line end, or
// 0 if the line is incomplete.
func parseChunkSize(b []byte) (size, length int, ok bool) {
	end := bytes.Index(b, lineEnd)
	if end < 0 {
		return 0, 0, len(b) <= maxChunkSizeLine
	}
	digits, extension, _ := bytes.Cut(b[:end], []byte{';'})
	digits = bytes.Trim(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits || end > maxChunkSizeLine ||
		bytes.ContainsAny(extension, "\r\n") {
		return 0, 0, false
	}
	for _, c := range digits {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, 0, false
		}
		size = size<<4 + digit
	}
	return size, end + len(lineEnd), true
}

// joinChunks decodes a complete chunked body in place: it moves the data of the chunks to the start of b.
func joinChunks(b []byte) []byte {
	joined, at := 0, 0
	for {
		size, length, _ := parseChunkSize(b[at:])
		if size == 0 {
			return b[:joined]
		}
		at += length
		joined += copy(b[joined:], b[at:at+size])
		at += size + len(lineEnd)
	}
}

func hexDigit(c byte) (digit int, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}
