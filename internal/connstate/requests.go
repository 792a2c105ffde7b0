package connstate

import (
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Request is the HTTP front's side of a request: where it came from, what it said, and the connection of the attempt that is out.
type Request struct {
	*engine.Request
	mark       uint64  // hash of the client's id for it, while others may not use that
	Client     *Conn   // nil once answered, or the client has left
	Received   *Buffer // holds the five below
	Method     []byte
	Target     []byte
	Head       []byte
	Body       []byte
	CloseAfter bool // the client wants its connection closed after the answer

	Attempt         *Conn
	RestTimer       engine.Timer // on while its attempt waits for a connection to have rested
	AttemptEndpoint *engine.Endpoint
	RestAwaited     bool    // it has, for this attempt
	Answer          *Buffer // holds the two below
	Status          int     // of the endpoint's answer
	AnswerHead      []byte
	AnswerBody      []byte
	Uploading       bool        // more of its body is to come
	Size            int         // of the whole body then; -1: not told
	BodyForwarded   bool        // a part of it has gone to an endpoint and is not here any more
	UploadBuffer    *Buffer     // of the body, behind Body
	ClientTimeLeft  policy.Time // the client waits for so long from the last byte on
	Streaming       bool        // its answer goes to the client as it comes; no other can follow
	Chunked         bool        // to the client
	Unframed        bool        // to the client: only the end of its connection ends the answer
	HTTP10          bool        // the client speaks HTTP/1.0
	Bodiless        bool        // its answer has no body, whatever its head says
	Reusable        bool        // the endpoint's connection can carry more after the answer
}

// Requests knows requests by the ids that clients gave them.
type Requests struct{ byMark map[uint64]*Request }

// Mark notes the id under which the client speaks of the request. Should two ids have one hash, the second goes without.
func (k *Requests) Mark(t *Request, mark uint64) {
	if k.byMark == nil {
		k.byMark = map[uint64]*Request{}
	}
	if k.byMark[mark] == nil {
		k.byMark[mark], t.mark = t, mark
	}
}

// Marked is the request that has the hash, nil if there is none.
func (k *Requests) Marked(mark uint64) *Request { return k.byMark[mark] }

// Unmark sets the id free, as the client has its answer or is gone.
func (k *Requests) Unmark(t *Request) {
	if k.byMark[t.mark] == t {
		delete(k.byMark, t.mark)
	}
}

// AsRequest gives the front's side of a request, made the first time that its place is used.
func AsRequest(t *engine.Request) *Request {
	if t.FrontData == nil {
		t.FrontData = &Request{Request: t}
	}
	return t.FrontData.(*Request)
}

// ReleaseBuffers empties it and gives its buffers back.
func (t *Request) ReleaseBuffers(p *Buffers) {
	p.Put(t.Received)
	p.Put(t.Answer)
	p.Put(t.UploadBuffer)
	*t = Request{Request: t.Request, RestTimer: engine.Timer{Run: t.RestTimer.Run}}
}
