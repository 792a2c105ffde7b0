package httpproxy

import "pepperlead/internal/connstate"

// Values of connstate.Frame.Kind: how the end of a body is determined.
const (
	sizedBody = iota
	chunkedBody
	bodyUntilClose // the body ends when its connection closes
)

// Values of connstate.Frame.Phase: the part of a chunked body to which the next byte belongs.
const (
	phaseSize = iota
	phaseAfterDigits
	phaseExtension
	phaseSizeLF
	phaseData
	phaseDataCR
	phaseDataLF
	phaseTrailerStart // the first byte of a trailer line
	phaseTrailer
	phaseTrailerLF
	phaseLastLF
)

// maxStreamedBody is the maximum size in bytes of a body that is forwarded while it arrives.
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

// decoded is the result of decoding some bytes of a body.
type decoded struct {
	size int  // decoded bytes, moved to the start of the input
	used int  // input bytes that belong to the message: all of them, or possibly fewer if done is set
	done bool // the body is complete
}

// decodeBody decodes the next bytes of a body in place. For chunked bodies it follows the same rules as measureChunks
// and joinChunks, which work on complete bodies.
func decodeBody(f *connstate.Frame, b []byte) (part decoded, ok bool) {
	switch f.Kind {
	case sizedBody:
		n := int(min(f.Remaining, int64(len(b))))
		f.Remaining -= int64(n)
		f.Received += int64(n)
		return decoded{size: n, used: n, done: f.Remaining == 0}, true
	case bodyUntilClose:
		f.Received += int64(len(b))
		return decoded{size: len(b), used: len(b)}, f.Received <= maxStreamedBody
	}
	return decodeChunked(f, b)
}

func decodeChunked(f *connstate.Frame, b []byte) (part decoded, ok bool) {
	for part.used < len(b) {
		if f.Phase == phaseData {
			n := int(min(f.Remaining, int64(len(b)-part.used)))
			copy(b[part.size:], b[part.used:part.used+n])
			part.size += n
			part.used += n
			f.Remaining -= int64(n)
			f.Received += int64(n)
			if f.Remaining == 0 {
				f.Phase = phaseDataCR
			}
			continue
		}
		c := b[part.used]
		part.used++
		if !decodeFramingByte(f, c) {
			return part, false
		}
		if f.Phase == phaseLastLF && c == '\n' {
			part.done = true
			return part, true
		}
	}
	f.RawReceived += int64(part.used)
	return part, f.Received <= maxStreamedBody && f.RawReceived <= maxChunkOverhead*maxStreamedBody
}

// decodeFramingByte decodes one byte of a chunked body that is not data, and reports whether it is valid.
func decodeFramingByte(f *connstate.Frame, c byte) bool {
	f.LineLength++
	switch f.Phase {
	case phaseSize, phaseAfterDigits, phaseExtension:
		return decodeSizeLineByte(f, c)
	case phaseSizeLF:
		return beginChunk(f) && c == '\n'
	case phaseDataCR:
		f.Phase = phaseDataLF
		f.LineLength = 0
		return c == '\r'
	case phaseDataLF:
		f.Phase = phaseSize
		f.LineLength = 0
		return c == '\n'
	}
	return decodeTrailerByte(f, c)
}

// decodeSizeLineByte decodes a byte of the line with the size of a chunk, and reports whether it is valid.
func decodeSizeLineByte(f *connstate.Frame, c byte) bool {
	if f.LineLength > maxChunkSizeLine+1 || f.LineLength == maxChunkSizeLine+1 && c != '\r' {
		return false
	}
	if c == '\r' {
		f.Phase = phaseSizeLF
		return f.Digits > 0
	}
	if f.Phase == phaseExtension {
		return c != '\n'
	}
	switch c {
	case ';':
		f.Phase = phaseExtension
		return f.Digits > 0
	case ' ', '\t':
		if f.Digits > 0 {
			f.Phase = phaseAfterDigits
		}
		return true
	}
	digit, ok := hexDigit(c)
	if !ok || f.Phase == phaseAfterDigits || f.Digits >= maxChunkSizeDigits {
		return false
	}
	f.ChunkSize = f.ChunkSize<<4 + digit
	f.Digits++
	return true
}

// beginChunk proceeds to the data of a chunk, or to the trailers after the last chunk. It reports whether the size of
// the chunk is acceptable.
func beginChunk(f *connstate.Frame) bool {
	f.Remaining = int64(f.ChunkSize)
	f.ChunkSize = 0
	f.Digits = 0
	f.LineLength = 0
	f.Phase = phaseData
	if f.Remaining == 0 {
		f.Phase = phaseTrailerStart
	}
	return f.Remaining <= maxStreamedBody
}

// decodeTrailerByte decodes a byte of the trailers, whose content is ignored. Lines end with CRLF, and an empty line is
// the last. LineLength counts the bytes of all lines together; the result is false once it exceeds maxHead.
func decodeTrailerByte(f *connstate.Frame, c byte) bool {
	switch {
	case c == '\n' && f.Phase == phaseTrailerLF:
		f.Phase = phaseTrailerStart
	case c == '\n' && f.Phase == phaseLastLF:
		// The body is complete.
	case c == '\r' && f.Phase == phaseTrailerStart:
		f.Phase = phaseLastLF
	case c == '\r':
		f.Phase = phaseTrailerLF
	default:
		f.Phase = phaseTrailer
	}
	return f.LineLength <= maxHead
}
