package connstate

import (
	"sync/atomic"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Socket is the socket under a connection.
type Socket interface {
	// Write sends bytes; what the kernel does not take at once goes out later.
	Write(b []byte) (int, error)
	// Close ends the connection in order.
	Close() error
	// CloseIfIdle closes the connection unless bytes have come that the loop has not processed.
	CloseIfIdle(c *Conn) bool
	// Idle reports whether no unprocessed bytes have come and the peer has not closed.
	Idle(c *Conn) bool
	// DiscardInput throws away what still comes, up to a bound.
	DiscardInput()
	// Reset ends the connection so that the peer sees no orderly end.
	Reset()
}

// Side is the kind of peer of a connection.
type Side uint8

// The peers.
const (
	ClientSide Side = iota
	EndpointSide
)

// String returns the name of the side.
func (s Side) String() string {
	if s == ClientSide {
		return "client"
	}
	return "endpoint"
}

// Conn is one connection. The loop owns it, except for the atomic fields, which the goroutine that serves the socket
// sets as well.
type Conn struct {
	Socket     Socket
	Side       Side
	Number     uint64 // counts connections
	Timer      engine.Timer
	Request    *Request  // the request that the connection carries now
	Endpoint   *Endpoint // EndpointSide: the peer
	Generation int       // EndpointSide: generation of the endpoint when the connection was dialled

	Connected bool        // the connection is established
	Closing   bool        // closed, or about to be: nothing more is read or sent
	Resting   bool        // idle since its last response
	Used      bool        // has carried a request
	IdleSince policy.Time // when it was opened or last had work

	Input    Input
	Output   Output
	Progress Progress
	Upload   Upload
	Frame    Frame // of a body that is forwarded as it comes
}

// Input is the state of reading from a connection.
type Input struct {
	Buffer       *Buffer      // bytes read and not yet consumed
	Needed       int          // bytes that make the message in Buffer complete; 0: unknown
	HeadAt       policy.Time  // when the head of the message in Buffer was complete; 0: not yet
	Unread       atomic.Int64 // bytes read that the loop has not processed yet
	UnreadMemory atomic.Int64 // memory that these bytes take
	Paused       atomic.Bool  // reading waits until the receiver has taken what is pending
	PeerClosed   atomic.Bool  // the peer closed after its last bytes; its end is about to be reported
	EOF          atomic.Bool  // the peer ended its stream in order; without that the connection was reset
}

// Output is the state of writing to a connection.
type Output struct {
	Queued           int64        // bytes given to the socket
	Written          atomic.Int64 // of these, bytes that the kernel has taken
	NotifyAt         atomic.Int64 // total of written bytes at which the loop is notified; 0: never
	CompleteAt       atomic.Int64 // total of written bytes at which a request is complete; 0: none is being written
	RequestsWritten  *atomic.Int64
	CloseWhenFlushed bool // closes once everything is written; what still comes is discarded
	AwaitingFlush    bool // the next request waits until the last response is written
}

// Progress notes when bytes last moved.
type Progress struct {
	Bytes int64 // total at the latest check
	At    policy.Time
}

// UploadState tells what happens to the body of a request that is too long to be read at once.
type UploadState uint8

// The states of an upload.
const (
	// NoUpload: no such body is coming.
	NoUpload UploadState = iota
	// CollectingUpload: the body is collected until it is complete, as long as it fits.
	CollectingUpload
	// StreamingUpload: the body is forwarded to an endpoint as it comes, or discarded if its request has ended.
	StreamingUpload
)

// String returns the name of the state.
func (s UploadState) String() string {
	switch s {
	case CollectingUpload:
		return "collecting"
	case StreamingUpload:
		return "streaming"
	}
	return "none"
}

// Upload is the state of a long request body.
type Upload struct {
	State        UploadState
	Size         int  // of the body; -1: unknown
	Start        int  // offset of the body in Input.Buffer while it is collected
	ContinueSent bool // the client, which waits with the body, has been sent 100 Continue
	CloseAfter   bool // the connection closes after the body
}

// RecordWritten adds to the bytes that the kernel has taken and returns their total. It counts the request whose last
// byte was among them.
func (c *Conn) RecordWritten(n int) int64 {
	total := c.Output.Written.Add(int64(n))
	completeAt := c.Output.CompleteAt.Load()
	if completeAt > 0 && total >= completeAt && c.Output.CompleteAt.CompareAndSwap(completeAt, 0) {
		c.Output.RequestsWritten.Add(1)
	}
	return total
}

// Unwritten returns how many queued bytes the kernel has not taken.
func (c *Conn) Unwritten() int64 { return c.Output.Queued - c.Output.Written.Load() }

// Flushed reports whether the kernel has taken everything that was queued.
func (c *Conn) Flushed() bool { return c.Output.Written.Load() >= c.Output.Queued }

// Progressed reports whether the total of bytes has changed within that time.
func (c *Conn) Progressed(now policy.Time, total int64, within policy.Time) bool {
	if total != c.Progress.Bytes || c.Progress.At == 0 {
		c.Progress = Progress{Bytes: total, At: now}
	}
	return now-c.Progress.At <= within
}
