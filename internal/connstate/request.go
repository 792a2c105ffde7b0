package connstate

import (
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Request is the HTTP front's side of a request: where it came from, what it said, and the connection of the attempt
// that is in flight.
type Request struct {
	*engine.Request
	idHash uint64 // hash of the client's id of the request, while RequestIndex has it

	Client         *Conn       // nil once answered, or once the client has left
	CloseAfter     bool        // the client's connection is closed after the response
	HTTP10         bool        // the client speaks HTTP/1.0
	ClientTimeLeft policy.Time // how long the client waits from the last byte of its request on

	Received *Buffer // holds the four below
	Method   []byte
	Target   []byte
	Head     []byte
	Body     []byte
	Upload   RequestUpload

	AttemptConn     *Conn
	AttemptEndpoint *engine.Endpoint // of an attempt that waits for a connection to have rested
	RestTimer       engine.Timer     // active while it waits
	RestAwaited     bool             // it has waited, for this attempt

	Response Response
}

// RequestUpload is the state of a body that is forwarded as it comes.
type RequestUpload struct {
	Active    bool    // more of the body is to come
	Size      int     // of the complete body; -1: unknown
	Forwarded bool    // a part of it has gone to an endpoint and is not kept
	Buffer    *Buffer // the part of the body behind Request.Body
}

// Response is an endpoint's response.
type Response struct {
	Buffer     *Buffer // holds Head and Body
	Status     int
	Head       []byte
	Body       []byte
	NoBody     bool // the response has no body, whatever its head says
	Streaming  bool // it goes to the client as it comes; no other response can follow
	Chunked    bool // it goes to the client in chunks
	UntilClose bool // to the client it ends with the end of the connection
	Reusable   bool // the endpoint's connection can carry more after it
}

// RequestIndex finds requests by the hashes of the ids that clients gave them.
type RequestIndex struct{ byIDHash map[uint64]*Request }

// Add notes the hash of the request's id. Where another request has the same hash the earlier one stays.
func (x *RequestIndex) Add(r *Request, idHash uint64) {
	if x.byIDHash == nil {
		x.byIDHash = map[uint64]*Request{}
	}
	if x.byIDHash[idHash] == nil {
		x.byIDHash[idHash] = r
		r.idHash = idHash
	}
}

// Find returns the request whose id has the hash, nil if there is none.
func (x *RequestIndex) Find(idHash uint64) *Request { return x.byIDHash[idHash] }

// Remove frees the id of a request that is answered or whose client is gone.
func (x *RequestIndex) Remove(r *Request) {
	if x.byIDHash[r.idHash] == r {
		delete(x.byIDHash, r.idHash)
	}
}

// AsRequest returns the front's side of a request. It is made when the request's slot is used for the first time.
func AsRequest(r *engine.Request) *Request {
	if r.FrontData == nil {
		r.FrontData = &Request{Request: r}
	}
	return r.FrontData.(*Request)
}

// ReleaseBuffers gives the buffers back and empties the request.
func (r *Request) ReleaseBuffers(p *Buffers) {
	p.Put(r.Received)
	p.Put(r.Response.Buffer)
	p.Put(r.Upload.Buffer)
	*r = Request{Request: r.Request, RestTimer: engine.Timer{Run: r.RestTimer.Run}}
}
