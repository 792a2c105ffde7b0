package discovery

import (
	"bytes"
	"math"
	"strconv"
	"unicode/utf8"
)

const (
	// maxSkipDepth bounds the nesting of values that are skipped.
	maxSkipDepth = 32
	// maxExactInteger is the largest integer up to which a float64 represents all integers exactly.
	maxExactInteger = 1 << 53
	// unicodeEscapeLength is the number of hexadecimal digits after \u.
	unicodeEscapeLength = 4
)

// The characters that may follow a backslash, and the characters that these escapes represent, in the same order.
const (
	escapedCharacters  = `"\/bfnrt`
	unescapeCharacters = "\"\\/\b\f\n\r\t"
)

// jsonReader decodes JSON from the start of a text. Unlike encoding/json it copies no strings and uses no reflection,
// because a list has thousands of endpoints and is decoded while requests are being served.
type jsonReader struct {
	text   []byte
	offset int
}

// remaining skips white space and returns the text after it.
func (r *jsonReader) remaining() []byte {
	for r.offset < len(r.text) && isSpace(r.text[r.offset]) {
		r.offset++
	}
	return r.text[r.offset:]
}

// isSpace reports whether a character is white space in JSON.
func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\r' || c == '\t' }

// accept skips a character if it is next, and reports whether it was.
func (r *jsonReader) accept(c byte) bool {
	if next := r.remaining(); len(next) == 0 || next[0] != c {
		return false
	}
	r.offset++
	return true
}

// readObject reads an object. It calls readMember with the name of each member, which must read the member's value.
func (r *jsonReader) readObject(readMember func(name []byte) error) error {
	if !r.accept('{') {
		return errMalformedList
	}
	if r.accept('}') {
		return nil
	}
	for {
		name, err := r.readString()
		if err != nil {
			return err
		}
		if !r.accept(':') {
			return errMalformedList
		}
		if err := readMember(name); err != nil {
			return err
		}
		if r.accept('}') {
			return nil
		}
		if !r.accept(',') {
			return errMalformedList
		}
	}
}

// readArray reads an array. It calls readElement for each element, which must read the element.
func (r *jsonReader) readArray(readElement func() error) error {
	if !r.accept('[') {
		return errMalformedList
	}
	if r.accept(']') {
		return nil
	}
	for {
		if err := readElement(); err != nil {
			return err
		}
		if r.accept(']') {
			return nil
		}
		if !r.accept(',') {
			return errMalformedList
		}
	}
}

// readString reads a string. The result is a slice of the text if the string has no escapes, and a copy otherwise.
func (r *jsonReader) readString() ([]byte, error) {
	if !r.accept('"') {
		return nil, errMalformedList
	}
	rest := r.text[r.offset:]
	for i, c := range rest {
		switch {
		case c == '"':
			r.offset += i + 1
			return rest[:i], nil
		case c == '\\':
			return r.readEscapedString()
		case c < ' ':
			return nil, errMalformedList
		}
	}
	return nil, errMalformedList
}

// readEscapedString reads the string at the offset, which is behind the opening quote, and replaces its escapes.
func (r *jsonReader) readEscapedString() ([]byte, error) {
	var unescaped []byte
	for r.offset < len(r.text) {
		c := r.text[r.offset]
		r.offset++
		switch {
		case c == '"':
			return unescaped, nil
		case c < ' ':
			return nil, errMalformedList
		case c != '\\':
			unescaped = append(unescaped, c)
			continue
		}
		var err error
		if unescaped, err = r.appendEscape(unescaped); err != nil {
			return nil, err
		}
	}
	return nil, errMalformedList
}

// appendEscape reads the escape after a backslash and appends the character that it represents.
func (r *jsonReader) appendEscape(to []byte) ([]byte, error) {
	if r.offset >= len(r.text) {
		return nil, errMalformedList
	}
	c := r.text[r.offset]
	r.offset++
	if i := bytes.IndexByte([]byte(escapedCharacters), c); i >= 0 {
		return append(to, unescapeCharacters[i]), nil
	}
	end := r.offset + unicodeEscapeLength
	if c != 'u' || end > len(r.text) {
		return nil, errMalformedList
	}
	codeUnit, err := strconv.ParseUint(string(r.text[r.offset:end]), 16, 16)
	if err != nil {
		return nil, errMalformedList
	}
	r.offset = end
	return utf8.AppendRune(to, rune(codeUnit)), nil // half a surrogate pair becomes the replacement character
}

// readNumber reads a number and returns errMalformedList if there is none.
func (r *jsonReader) readNumber() (float64, error) {
	rest := r.remaining()
	length := 0
	for length < len(rest) && isNumeric(rest[length]) {
		length++
	}
	number, err := strconv.ParseFloat(string(rest[:length]), 64)
	if err != nil {
		return 0, errMalformedList
	}
	r.offset += length
	return number, nil
}

// isNumeric reports whether a character may be part of a number.
func isNumeric(c byte) bool {
	return c >= '0' && c <= '9' || bytes.IndexByte([]byte("+-.eE"), c) >= 0
}

// readInteger reads a number that must be an integer.
func (r *jsonReader) readInteger() (int64, error) {
	number, err := r.readNumber()
	if err != nil || number != math.Trunc(number) || math.Abs(number) > maxExactInteger {
		return 0, errMalformedList
	}
	return int64(number), nil
}

// readBool reads a JSON boolean and rejects any other value.
func (r *jsonReader) readBool() (bool, error) {
	switch {
	case r.acceptLiteral("true"):
		return true, nil
	case r.acceptLiteral("false"):
		return false, nil
	default:
		return false, errMalformedList
	}
}

// acceptLiteral skips a literal if it is next, and reports whether it was.
func (r *jsonReader) acceptLiteral(literal string) bool {
	if !bytes.HasPrefix(r.remaining(), []byte(literal)) {
		return false
	}
	r.offset += len(literal)
	return true
}

// skipValue skips a value of any type.
func (r *jsonReader) skipValue(depth int) error {
	rest := r.remaining()
	if len(rest) == 0 || depth > maxSkipDepth {
		return errMalformedList
	}
	var err error
	switch rest[0] {
	case '{':
		return r.readObject(func([]byte) error { return r.skipValue(depth + 1) })
	case '[':
		return r.readArray(func() error { return r.skipValue(depth + 1) })
	case '"':
		_, err = r.readString()
	case 't', 'f':
		_, err = r.readBool()
	case 'n':
		if !r.acceptLiteral("null") {
			err = errMalformedList
		}
	default:
		_, err = r.readNumber()
	}
	return err
}
