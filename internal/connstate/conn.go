package connstate

import (
	"errors"
	"sync/atomic"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// ErrNoInput is returned by Socket.Read when there is nothing to read now.
var ErrNoInput = errors.New("no input")

// ErrShortOfMemory is returned by the methods of Socket when the kernel lacks memory: the call can be repeated later.
var ErrShortOfMemory = errors.New("the kernel is short of memory")

// Socket is the socket of a connection. Only the event loop uses it.
type Socket interface {
	// Read reads into b and returns at least one byte, or why there is none: ErrNoInput, ErrShortOfMemory, io.EOF after
	// an orderly end, or another error if the connection has ended otherwise.
	Read(b []byte) (int, error)
	// ReadAhead reads at most len(scratch) bytes, which it overwrites, and keeps them for Read. The errors are
	// those of Read.
	ReadAhead(scratch []byte) error
	// Ahead returns how many bytes were read ahead. While there are any, Read returns them only.
	Ahead() int
	// Unread returns how many bytes the kernel has received and holds; 0 if it is not known.
	Unread() int
	// Write sends bytes. Bytes that the kernel does not accept at once are queued. After an error the connection has
	// ended for its writer, but there may still be input.
	Write(b []byte) error
	// Flush writes queued bytes as far as the kernel accepts them. The error is ErrShortOfMemory, or that of Write.
	Flush() error
	// Close closes the connection. The peer sees an orderly end unless bytes are unread or unsent.
	Close()
	// Reset closes the connection by a reset, so that the peer does not see an orderly end.
	Reset()
	// Idle reports whether the connection is open, nothing is queued for it and no input has arrived.
	Idle() bool
	// DiscardInput makes Read discard further input, up to a maximum number of bytes, and return ErrNoInput after it.
	DiscardInput()
	// Unacknowledged returns how many bytes the kernel has accepted and the peer's kernel has not acknowledged; 0 if it
	// is not known.
	Unacknowledged() int
	// PeerWindow returns the receive window that the peer has advertised last, in bytes; 0 if it is not known.
	PeerWindow() int
	// InputAge returns how long ago the kernel received the latest input; 0 if it is not known.
	InputAge() policy.Time
}

// Side tells whether the peer of a connection is a client or an endpoint.
type Side uint8

// The sides.
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

// Conn is a connection to a client or an endpoint. Only the event loop uses it.
type Conn struct {
	Socket     Socket
	Side       Side
	Number     uint64 // sequence number of the connection
	Timer      engine.Timer
	Request    *Request  // the request that the connection carries now
	Endpoint   *Endpoint // on EndpointSide only: the endpoint that is the peer
	Generation int       // on EndpointSide only: generation of the endpoint when the connection was dialled

	Connected bool        // the connection is established
	Closing   bool        // the connection is closed, or about to be: nothing more is read or sent
	Idle      bool        // on ClientSide only: no request has arrived since the last response
	Used      bool        // the connection has carried a request
	ClosedFor CloseReason // why the connection was closed, once Closing is set
	CloseAt   policy.Time // with Output.CloseWhenFlushed: the earliest time of the close
	InReady   bool        // the loop is going to look at the connection in its next round
	IdleSince policy.Time // when the last request ended; before the first one, when the connection was opened

	Input    Input
	Output   Output
	Progress Progress
	Upload   Upload
	Frame    Frame // progress of a body that is streamed
}

// Input is the state of reading from a connection.
type Input struct {
	Buffer    *Buffer     // bytes read and not yet consumed
	Needed    int         // total size of the message in Buffer; 0: unknown
	HeadAt    policy.Time // when the head of the message in Buffer was complete; 0: not yet
	ArrivedAt policy.Time // when the latest input arrived
	Chunks    WholeChunks // those at the start of a chunked body in Buffer that need not be measured again
	Readable  bool        // the socket may have input that is not read yet
	Paused    bool        // reading is paused until earlier bytes have been forwarded
	Delayed   bool        // the latest input may have arrived long before the poller reported it
	HungUp    bool        // the peer has closed or reset the connection; bytes that it sent before may be unread
	EOF       bool        // the peer's orderly end was read; otherwise the connection was reset
}

// WholeChunks describes the complete chunks at the start of an incomplete chunked body.
type WholeChunks struct {
	Length int // encoded, in bytes
	Size   int // decoded, in bytes
}

// Output is the state of writing to a connection.
type Output struct {
	Queued           int64         // total bytes to send, including those that the kernel has not accepted yet
	Written          int64         // total bytes that the kernel has accepted
	NotifyAt         int64         // value of Written at which the paused sender may go on; 0: no sender is paused
	CompleteAt       int64         // value of Written at which a request is completely written; 0: no request
	RequestsWritten  *atomic.Int64 // counts the requests that are completely written
	CloseWhenFlushed bool          // the connection closes once everything is written; further input is discarded
	AwaitingFlush    bool          // the next request waits until the last response is written
}

// Progress records when the number of transferred bytes last changed.
type Progress struct {
	Bytes int64       // total at the latest check
	At    policy.Time // when Bytes last changed; 0: unknown
}

// UploadState is the state of a long request body: one over 64 KiB, which the front does not receive as one message.
type UploadState uint8

// The states of an upload.
const (
	// NoUpload means that no long body is being received.
	NoUpload UploadState = iota
	// CollectingUpload means that the body is buffered until it is complete, as long as it fits into the buffer.
	CollectingUpload
	// StreamingUpload means that the body is forwarded to an endpoint as it arrives, or discarded if its request has
	// ended.
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
	Size         int  // size of the body in bytes; -1: unknown
	Start        int  // offset of the body in Input.Buffer while it is collected
	ContinueSent bool // 100 Continue was sent to the client, which waits for it before it sends the body
	CloseAfter   bool // the connection closes after the body

	// ReadAt is when a part of the body was last read, or reading was last found to be paused.
	ReadAt policy.Time
	// UnsentAt is the latest time at which the client certainly had not sent the whole body.
	UnsentAt policy.Time
	// ArrivedAt is when the oldest input arrived that was not read yet when it was last looked at.
	ArrivedAt policy.Time
	// ReadSoonSince is the time since which all input was read soon after it had arrived.
	ReadSoonSince policy.Time
	// DrainedAt is when everything was read that had arrived; 0 if there may be unread input.
	DrainedAt policy.Time
	// MarkAt and MarkBytes are a time and the bytes of the body that had been received by then. Once more bytes have
	// followed than buffers hold, the client had not sent the whole body at that time.
	MarkAt    policy.Time
	MarkBytes int64
}

// Vacant reports whether the connection carries neither a request nor a part of one.
func (c *Conn) Vacant() bool {
	return c.Request == nil && c.Input.Buffer == nil && c.Upload.State == NoUpload
}

// RecordWritten adds n to the bytes that the kernel has accepted. If the last byte of a request is among them, it
// counts the request as written.
func (c *Conn) RecordWritten(n int) {
	c.Output.Written += int64(n)
	if at := c.Output.CompleteAt; at > 0 && c.Output.Written >= at {
		c.Output.CompleteAt = 0
		c.Output.RequestsWritten.Add(1)
	}
}

// Unwritten returns the number of queued bytes that the kernel has not accepted yet.
func (c *Conn) Unwritten() int64 { return c.Output.Queued - c.Output.Written }

// Flushed reports whether the kernel has accepted everything that was queued.
func (c *Conn) Flushed() bool { return c.Output.Written >= c.Output.Queued }

// Progressed reports whether the total number of transferred bytes has changed within the given time. It compares the
// total with that of the previous call, which Progress holds.
func (c *Conn) Progressed(now policy.Time, total int64, within policy.Time) bool {
	if total != c.Progress.Bytes || c.Progress.At == 0 {
		c.Progress = Progress{Bytes: total, At: now}
	}
	return now-c.Progress.At <= within
}
