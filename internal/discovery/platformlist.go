package discovery

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"unicode/utf8"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

var errList = errors.New("the list cannot be read")

// DecodeList reads a list of servers as the platform's discovery gives it. full: it names all servers, else those that
// changed since some version. A list that breaks off anywhere is an error.
func DecodeList(b []byte) (version int64, full bool, entries []Entry, err error) {
	j := &jsonText{b: b}
	seen := 0
	err = j.object(func(name []byte) error {
		switch string(name) {
		case "rev":
			seen |= 1
			version, err = j.integer()
			return err
		case "all":
			seen |= 2
			full, err = j.yes()
			return err
		case "targets":
			seen |= 4
			return j.array(func() error {
				e, err := j.entry()
				entries = append(entries, e)
				return err
			})
		}
		return j.skip(0)
	})
	if err == nil && (seen != 7 || len(j.rest()) > 0) {
		err = errList
	}
	return version, full, entries, err
}

func (j *jsonText) entry() (Entry, error) {
	var uid, addr, zone, state []byte
	var cell, boot int64
	weight := 1.0
	err := j.object(func(name []byte) (err error) {
		switch string(name) {
		case "uid":
			uid, err = j.text()
		case "endpoint":
			addr, err = j.text()
		case "az":
			zone, err = j.text()
		case "state":
			state, err = j.text()
		case "pod_group":
			cell, err = j.integer()
		case "boot_ms":
			boot, err = j.integer()
		case "capacity_hint":
			weight, err = j.number()
		default:
			err = j.skip(0)
		}
		return err
	})
	if err != nil {
		return Entry{}, err
	}
	var standing policy.EndpointStatus
	switch string(state) {
	case "Ready":
		standing = policy.Ready
	case "Terminating":
		standing = policy.Draining
	case "Gone":
		standing = policy.Gone
	default:
		return Entry{}, errList
	}
	if len(uid) == 0 || len(addr) == 0 && standing != policy.Gone || cell < 0 || cell > math.MaxInt32 || boot < 0 ||
		boot > math.MaxInt64/int64(policy.Millisecond) || !(weight >= 0 && weight < 1e12) {
		return Entry{}, errList
	}
	e := Entry{UID: string(uid), Addr: string(addr)}
	e.Member = policy.Member{ID: endpointfiles.EndpointID(e.UID), Weight: weight, Cell: policy.Cell(cell), Zone: policy.Zone(zone),
		Status: standing, Started: policy.Time(boot) * policy.Millisecond}
	return e, nil
}

// jsonText is a place in a text of JSON, read from the front.
type jsonText struct {
	b  []byte
	at int
}

func (j *jsonText) rest() []byte {
	for j.at < len(j.b) && (j.b[j.at] == ' ' || j.b[j.at] == '\n' || j.b[j.at] == '\r' || j.b[j.at] == '\t') {
		j.at++
	}
	return j.b[j.at:]
}

// is passes over the byte if it is next.
func (j *jsonText) is(c byte) bool {
	if r := j.rest(); len(r) == 0 || r[0] != c {
		return false
	}
	j.at++
	return true
}

// object hands over each name; what stands under it must be read in the call.
func (j *jsonText) object(each func(name []byte) error) error {
	if !j.is('{') {
		return errList
	}
	if j.is('}') {
		return nil
	}
	for {
		name, err := j.text()
		if err != nil {
			return err
		}
		if !j.is(':') {
			return errList
		}
		if err := each(name); err != nil {
			return err
		}
		if j.is('}') {
			return nil
		}
		if !j.is(',') {
			return errList
		}
	}
}

func (j *jsonText) array(each func() error) error {
	if !j.is('[') {
		return errList
	}
	if j.is(']') {
		return nil
	}
	for {
		if err := each(); err != nil {
			return err
		}
		if j.is(']') {
			return nil
		}
		if !j.is(',') {
			return errList
		}
	}
}

// text reads a string: a slice of the text where it stands as it is, else a copy with its escapes resolved.
func (j *jsonText) text() ([]byte, error) {
	if !j.is('"') {
		return nil, errList
	}
	b := j.b[j.at:]
	for i, c := range b {
		switch {
		case c == '"':
			j.at += i + 1
			return b[:i], nil
		case c == '\\':
			return j.escaped()
		case c < ' ':
			return nil, errList
		}
	}
	return nil, errList
}

func (j *jsonText) escaped() ([]byte, error) {
	var out []byte
	for j.at < len(j.b) {
		c := j.b[j.at]
		j.at++
		switch {
		case c == '"':
			return out, nil
		case c < ' ':
			return nil, errList
		case c != '\\':
			out = append(out, c)
			continue
		}
		if j.at >= len(j.b) {
			return nil, errList
		}
		c = j.b[j.at]
		j.at++
		if i := bytes.IndexByte([]byte(`"\/bfnrt`), c); i >= 0 {
			out = append(out, "\"\\/\b\f\n\r\t"[i])
			continue
		}
		if c != 'u' || j.at+4 > len(j.b) {
			return nil, errList
		}
		r, err := strconv.ParseUint(string(j.b[j.at:j.at+4]), 16, 16)
		if err != nil {
			return nil, errList
		}
		j.at += 4
		out = utf8.AppendRune(out, rune(r)) // half a pair becomes the replacement character
	}
	return nil, errList
}

func (j *jsonText) number() (float64, error) {
	b := j.rest()
	n := 0
	for n < len(b) && (b[n] >= '0' && b[n] <= '9' || bytes.IndexByte([]byte("+-.eE"), b[n]) >= 0) {
		n++
	}
	v, err := strconv.ParseFloat(string(b[:n]), 64)
	if err != nil {
		return 0, errList
	}
	j.at += n
	return v, nil
}

func (j *jsonText) integer() (int64, error) {
	v, err := j.number()
	if err != nil || v != math.Trunc(v) || math.Abs(v) > 1<<53 {
		return 0, errList
	}
	return int64(v), nil
}

func (j *jsonText) yes() (bool, error) {
	for _, word := range []string{"true", "false"} {
		if bytes.HasPrefix(j.rest(), []byte(word)) {
			j.at += len(word)
			return word == "true", nil
		}
	}
	return false, errList
}

// skip passes over a value that nothing here reads.
func (j *jsonText) skip(depth int) error {
	r := j.rest()
	if len(r) == 0 || depth > 32 {
		return errList
	}
	var err error
	switch c := r[0]; {
	case c == '{':
		return j.object(func([]byte) error { return j.skip(depth + 1) })
	case c == '[':
		return j.array(func() error { return j.skip(depth + 1) })
	case c == '"':
		_, err = j.text()
	case c == 't' || c == 'f':
		_, err = j.yes()
	case c == 'n':
		if !bytes.HasPrefix(r, []byte("null")) {
			return errList
		}
		j.at += 4
	default:
		_, err = j.number()
	}
	return err
}
