package connstate

// Frame is how far a body has come that is handed on as it comes. What it means is the protocol's.
type Frame struct {
	Kind  uint8
	Phase uint8
	Line  int   // bytes of the line that is being read
	Size  int   // read off it so far
	Left  int64 // bytes of the body, or of this part of it, that are still to come
	Got   int64 // bytes of the body so far
	Raw   int64 // and as they were framed
}
