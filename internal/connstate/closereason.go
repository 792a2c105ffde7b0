package connstate

// CloseReason is why a connection was closed.
type CloseReason uint8

// Reasons to close a connection of a client.
const (
	// PeerClosed means that the other end closed or reset the connection, or that it was never established.
	PeerClosed CloseReason = iota
	// AfterResponse means that the last response announced the close.
	AfterResponse
	// IdleConnection means that many connections were idle, or too many open.
	IdleConnection
	// SilentClient means that a client sent nothing.
	SilentClient
	// UnreadResponse means that the client took no bytes of its response.
	UnreadResponse
	// TooMuchInput means that the client sent too much behind a request in flight.
	TooMuchInput
	// StreamBroken means that a response that had begun could not be completed.
	StreamBroken
	// ShuttingDown means that the process ends.
	ShuttingDown
	// AttemptOver means that the attempt on a connection to an endpoint ended without a complete response, or that
	// the connection cannot be reused after the response.
	AttemptOver
	// UnexpectedInput means that an endpoint sent bytes that no request asked for, or closed an idle connection.
	UnexpectedInput
	// EndpointOutdated means that the endpoint drains, has left, or was replaced by another process.
	EndpointOutdated
	// IdleTimeout means that a connection to an endpoint was idle for too long.
	IdleTimeout
	// Unwatched means that the kernel refused to report the events of a connection.
	Unwatched
	// NumCloseReasons is the number of reasons.
	NumCloseReasons
)

// String returns the reason as it stands in names of counters and in the log.
func (r CloseReason) String() string {
	return [NumCloseReasons]string{
		"peer_closed", "after_response", "idle", "silent", "unread_response", "too_much_input", "stream_broken",
		"shutdown", "attempt_over", "unexpected_input", "endpoint_outdated", "idle_timeout",
		"unwatched",
	}[r]
}
