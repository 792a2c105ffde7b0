package ruleset

import "github.com/fxamacker/cbor/v2"

// What sidecars and keepers say to each other about versions: a letter for the kind, then an array in CBOR (RFC 8949).
const (
	asks   = 'a'
	grants = 'g'
	pages  = 'p'
)

// Ears take in what was said. One that is nil hears nothing.
type Ears struct {
	Asked   func(from string, ask uint64, knows []Number) // by whom: where to answer
	Granted func(from string, g Grant)
	Told    func(from string, p Page)
}

func say(kind byte, of ...any) []byte {
	b, _ := cbor.Marshal(of) // numbers, texts and bytes alone: nothing that could not be said
	return append([]byte{kind}, b...)
}

// SayAsk asks for a grant.
func SayAsk(from string, ask uint64, knows []Number) []byte { return say(asks, from, ask, knows) }

// SayGrant answers.
func SayGrant(from string, g Grant) []byte {
	return say(grants, from, uint64(g.Term), g.Ask, g.Of, int64(g.For))
}

// SayPage tells a version.
func SayPage(from string, p Page) []byte { return say(pages, from, p) }

// Hear hands over what was said. False: it cannot be read, and nothing was handed over.
func (e Ears) Hear(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	var parts []cbor.RawMessage
	var from string
	if cbor.Unmarshal(b[1:], &parts) != nil || len(parts) < 2 || cbor.Unmarshal(parts[0], &from) != nil {
		return false
	}
	read := func(into ...any) bool {
		if len(parts) < 1+len(into) {
			return false
		}
		for i := range into {
			if cbor.Unmarshal(parts[1+i], into[i]) != nil {
				return false
			}
		}
		return true
	}
	switch b[0] {
	case asks:
		var ask uint64
		var knows []Number
		if !read(&ask, &knows) {
			return false
		}
		if e.Asked != nil {
			e.Asked(from, ask, knows)
		}
	case grants:
		var g Grant
		if !read(&g.Term, &g.Ask, &g.Of, &g.For) || len(g.Of) == 0 || g.For < 0 {
			return false
		}
		if e.Granted != nil {
			e.Granted(from, g)
		}
	case pages:
		var p Page
		if !read(&p) {
			return false
		}
		if e.Told != nil {
			e.Told(from, p)
		}
	default:
		return false
	}
	return true
}
