package connstate

// Frame is the progress of a body that is forwarded as it arrives. The protocol defines Kind and Phase.
type Frame struct {
	Kind        uint8
	Phase       uint8
	Digits      uint8 // digits of the chunk size read so far
	LineLength  int   // bytes read of the current line
	ChunkSize   int   // chunk size read so far
	Remaining   int64 // bytes of the body or of the current chunk that have not arrived yet
	Received    int64 // bytes of the body received so far
	RawReceived int64 // bytes received so far, including chunk sizes and line ends
}
