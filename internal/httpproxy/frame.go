package httpproxy

import "pepperlead/internal/connstate"

// How a body is framed.
const (
	sizedBody = iota
	chunkedBody
	bodyUntilClose // of its connection
)

// Where in a chunked body the next byte stands.
const (
	atSize = iota
	afterDigits
	inExtension
	atSizeEnd
	inData
	atDataCR
	atDataLF
	atTrailer // the first byte of a line
	inTrailer
	atTrailerEnd
	atLastLF
)

// maxStreamedBody is what a body may hold that is handed on as it comes.
const maxStreamedBody = 64 << 20

func newFrame(size int, chunked bool) connstate.Frame {
	switch {
	case chunked:
		return connstate.Frame{Kind: chunkedBody}
	case size >= 0:
		return connstate.Frame{Kind: sizedBody, Remaining: int64(size)}
	}
	return connstate.Frame{Kind: bodyUntilClose}
}

// decodeBody takes what b has of a body: b[:n] is the body's own from then on, used is how much of b belonged to it. All of b is used
// unless the body is done. What chunks and measures by the whole in CutRequest is read here byte by byte, by the same rules.
func decodeBody(f *connstate.Frame, b []byte) (n, used int, done, ok bool) {
	switch f.Kind {
	case sizedBody:
		n = int(min(f.Remaining, int64(len(b))))
		f.Remaining -= int64(n)
		f.Received += int64(n)
		return n, n, f.Remaining == 0, true
	case bodyUntilClose:
		f.Received += int64(len(b))
		return len(b), len(b), false, f.Received <= maxStreamedBody
	}
	for used < len(b) {
		if f.Phase == inData {
			part := int(min(f.Remaining, int64(len(b)-used)))
			copy(b[n:], b[used:used+part])
			n, used = n+part, used+part
			f.Remaining -= int64(part)
			f.Received += int64(part)
			if f.Remaining == 0 {
				f.Phase = atDataCR
			}
			continue
		}
		c := b[used]
		used++
		if !decodeFraming(f, c) {
			return n, used, false, false
		}
		if f.Phase == atLastLF && c == '\n' {
			return n, used, true, true
		}
	}
	f.RawReceived += int64(used)
	return n, used, false, f.Received <= maxStreamedBody && f.RawReceived <= maxChunkOverhead*maxStreamedBody
}

// decodeFraming goes on by one byte that is not the body's own.
func decodeFraming(f *connstate.Frame, c byte) bool {
	next := func(phase uint8, want byte) bool {
		f.Phase, f.LineLength = phase, 0
		return c == want
	}
	f.LineLength++
	switch f.Phase {
	case atSize, afterDigits, inExtension:
		blank := c == ' ' || c == '\t'
		digit, hex := hexDigit(c)
		switch {
		case f.LineLength > 257 || f.LineLength == 257 && c != '\r':
			return false
		case c == '\r':
			f.Phase = atSizeEnd
			return f.Digits > 0
		case f.Phase == inExtension:
		case c == ';':
			f.Phase = inExtension
			return f.Digits > 0
		case blank && f.Digits > 0:
			f.Phase = afterDigits
		case blank:
		case f.Phase == afterDigits || !hex || f.Digits >= 8:
			return false
		default:
			f.ChunkSize, f.Digits = f.ChunkSize<<4+digit, f.Digits+1
		}
		return c != '\n'
	case atSizeEnd:
		f.Remaining = int64(f.ChunkSize)
		f.ChunkSize, f.Digits, f.LineLength = 0, 0, 0
		if f.Phase = inData; f.Remaining == 0 {
			f.Phase = atTrailer
		}
		return c == '\n' && f.Remaining <= maxStreamedBody
	case atDataCR:
		return next(atDataLF, '\r')
	case atDataLF:
		return next(atSize, '\n')
	case atTrailer, inTrailer, atTrailerEnd, atLastLF:
		// Nothing here reads trailers; a line ends with CRLF, and an empty one is the last. Line counts all of them.
		switch {
		case c == '\n' && f.Phase == atTrailerEnd:
			f.Phase = atTrailer
		case c == '\n' && f.Phase == atLastLF:
		case c == '\r' && f.Phase == atTrailer:
			f.Phase = atLastLF
		case c == '\r':
			f.Phase = atTrailerEnd
		default:
			f.Phase = inTrailer
		}
		return f.LineLength <= maxHead
	}
	return false
}

func hexDigit(c byte) (int, bool) {
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
