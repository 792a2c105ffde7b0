package ruleset

import "github.com/fxamacker/cbor/v2"

// What sidecars and keepers say to each other about versions: a letter for the kind, then an array in CBOR (RFC 8949).
const (
	asks   = 'a'
	grants = 'g'
	pages  = 'p'
)

// MessageHandler take in what was said. One that is nil hears nothing.
type MessageHandler struct {
	LeaseRequest func(from string, ask uint64, knows []RevisionNumber) // by whom: where to answer
	Lease        func(from string, g Lease)
	Revision     func(from string, p Revision)
}

func say(kind byte, of ...any) []byte {
	b, _ := cbor.Marshal(of) // numbers, texts and bytes alone: nothing that could not be said
	return append([]byte{kind}, b...)
}

// EncodeLeaseRequest asks for a grant.
func EncodeLeaseRequest(from string, ask uint64, knows []RevisionNumber) []byte {
	return say(asks, from, ask, knows)
}

// EncodeLease answers.
func EncodeLease(from string, g Lease) []byte {
	return say(grants, from, uint64(g.Term), g.RequestID, g.Revisions, int64(g.Duration))
}

// EncodeRevision tells a version.
func EncodeRevision(from string, p Revision) []byte { return say(pages, from, p) }

// Handle hands over what was said. False: it cannot be read, and nothing was handed over.
func (e MessageHandler) Handle(b []byte) bool {
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
		var knows []RevisionNumber
		if !read(&ask, &knows) {
			return false
		}
		if e.LeaseRequest != nil {
			e.LeaseRequest(from, ask, knows)
		}
	case grants:
		var g Lease
		if !read(&g.Term, &g.RequestID, &g.Revisions, &g.Duration) || len(g.Revisions) == 0 || g.Duration < 0 {
			return false
		}
		if e.Lease != nil {
			e.Lease(from, g)
		}
	case pages:
		var p Revision
		if !read(&p) {
			return false
		}
		if e.Revision != nil {
			e.Revision(from, p)
		}
	default:
		return false
	}
	return true
}
