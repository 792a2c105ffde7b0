package connstate

import (
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Request is the HTTP front's state of a request: the client's connection, the parts of the message, and the connection
// of the attempt in flight.
type Request struct {
	*engine.Request
	idHash uint64 // hash of the request id that the client sent; set while the request is in RequestIndex

	ClaimedID  uint64 // hash of the id that was claimed in the table of request ids; set if Claimed
	Claimed    bool
	MayHaveRun bool // an endpoint may have run the request, or may yet
	Rejected   bool // the client was told that it may send the request again

	Client         *Conn       // nil once the request is answered or the client has left
	CloseAfter     bool        // the client's connection is closed after the response
	HTTP10         bool        // the client uses HTTP/1.0
	ClientTimeLeft policy.Time // how long the client waits after the last byte of its request

	Received *Buffer // holds Method, Target, Head and Body
	Method   []byte
	Target   []byte
	Head     []byte
	Body     []byte
	Upload   RequestUpload

	AttemptConn     *Conn            // connection of the attempt in flight
	AttemptEndpoint *engine.Endpoint // endpoint of an attempt that waits until an idle connection may be reused
	ReuseTimer      engine.Timer     // active while the attempt waits
	ReuseAwaited    bool             // this attempt has waited already, and must not wait again

	ClientCheck ClientCheck
	Delivery    Delivery
	Response    Response
}

// ClientCheck is the state of an attempt that waits, with a connection to its endpoint and before anything is written,
// until it is known whether the client is still there.
type ClientCheck struct {
	Active    bool         // the attempt waits
	Since     policy.Time  // when the check began
	Read      int          // bytes that were read ahead since
	HasRoom   bool         // memory is reserved for what the client may have sent
	Reserved  int          // bytes of that memory that are not used yet
	InputAt   policy.Time  // when the check began, or input was last read since
	DrainedAt policy.Time  // when all that had arrived was read, if input has gone on arriving since; 0: not yet
	Timer     engine.Timer // continues the check
}

// Delivery is the progress of a request on its way to the endpoint of its attempt. Only long requests and retries have
// one. The end of a long request is withheld until the endpoint has received all that comes before it; until the last
// byte is written, the endpoint cannot process the request.
type Delivery struct {
	Withheld  int64        // bytes at the end of the request that are not written yet
	Length    int64        // length of the request in bytes
	Read      int64        // bytes at the start of the request that the endpoint's process has read
	ReadRate  int64        // rate in bytes per second at which the process reads at least; 0: unknown
	Since     policy.Time  // when writing of the request began
	WrittenAt policy.Time  // when its latest part was written
	Probe     WindowProbe  // shows whether the endpoint's process reads
	Timer     engine.Timer // continues the delivery
}

// WindowProbe is what the receive window that an endpoint advertises has shown while the end of a request was written
// to it in small parts.
type WindowProbe struct {
	Widest      int64       // widest window of the delivery, in bytes; 0: unknown
	Pending     bool        // the latest part is not acknowledged, or its window was not looked at
	Steady      int         // latest parts in succession after which the window was the widest
	SteadySince policy.Time // when the first of them was written
	Confirmed   bool        // the window is the widest only if the endpoint's process has read what it received
	Delay       policy.Time // how long the next part was put off because of the latest one
	NextAt      policy.Time // the earliest time of the next part
}

// RequestUpload is the state of a request body that is forwarded as it arrives.
type RequestUpload struct {
	Active    bool    // the body is not complete yet
	Size      int     // size of the complete body; -1: unknown
	Forwarded bool    // a part of the body was forwarded to an endpoint and is not kept
	Buffer    *Buffer // the part of the body that follows Request.Body
}

// Response is an endpoint's response.
type Response struct {
	Buffer     *Buffer // holds Head and Body
	Status     int
	Head       []byte
	Body       []byte
	NoBody     bool // the response has no body, whatever its head says
	Streaming  bool // the response is forwarded to the client as it arrives; no other response can follow
	Chunked    bool // the response is sent to the client with chunked encoding
	UntilClose bool // the end of the response is signalled to the client by closing the connection
	Reusable   bool // the endpoint's connection can carry another request after the response
}

// RequestIndex finds requests by the hashes of the ids that clients gave them.
type RequestIndex struct{ byIDHash map[uint64]*Request }

// Add adds the request by the hash of its id. If another request has the same hash, the earlier one stays in the
// index.
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

// Remove removes a request that is answered or whose client has left.
func (x *RequestIndex) Remove(r *Request) {
	if x.byIDHash[r.idHash] == r {
		delete(x.byIDHash, r.idHash)
	}
}

// AsRequest returns the front's state of a request. It is allocated when the engine.Request is used for the first time.
func AsRequest(r *engine.Request) *Request {
	if r.FrontData == nil {
		r.FrontData = &Request{Request: r}
	}
	return r.FrontData.(*Request)
}

// ReleaseBuffers returns the request's buffers to the pool and clears the request for reuse.
func (r *Request) ReleaseBuffers(p *Buffers) {
	p.Put(r.Received)
	p.Put(r.Response.Buffer)
	p.Put(r.Upload.Buffer)
	*r = Request{
		Request:     r.Request,
		ReuseTimer:  engine.Timer{Run: r.ReuseTimer.Run},
		ClientCheck: ClientCheck{Timer: engine.Timer{Run: r.ClientCheck.Timer.Run}},
		Delivery:    Delivery{Timer: engine.Timer{Run: r.Delivery.Timer.Run}},
	}
}
