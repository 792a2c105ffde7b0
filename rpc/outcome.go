package rpc

import (
	"google.golang.org/grpc/codes"

	"pepperlead/policy"
)

// NotProcessed is the key of trailing metadata by which a server says, with the value 1, that it turned a call away without
// looking at it. The platform's servers say the same by a header of this name.
const NotProcessed = "x-not-processed"

// outcome says what the end of a push means: by how many streams gRPC began for it, the status that it gave, and whether the
// server said in its trailers that it had not looked at the call. docs/rpc.md has it as a table.
//
// A second stream is only ever begun by gRPC where it knows that the first was not processed: it had no connection left, or the
// server refused the stream, or said by GOAWAY that it would not look at it (RFC 9113, 6.8 and 8.7; gRFC A6, transparent
// retries). The plug-in refuses it, and that it was asked for shows that nothing has run. What ends with no status of the server
// after one stream may have run; gRPC gives such ends UNAVAILABLE or INTERNAL, as servers may give them too.
func outcome(streams int, code codes.Code, notProcessed bool) policy.Outcome {
	if streams != 1 {
		return policy.NotConnected
	}
	switch code {
	case codes.OK:
		return policy.Succeeded
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied, codes.FailedPrecondition,
		codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated:
		if notProcessed {
			return policy.Rejected
		}
		// The server cannot use this call, and no other could.
		return policy.Declined
	}
	switch {
	case notProcessed:
		return policy.Rejected
	case code == codes.Unavailable:
		return policy.ConnectionLost
	}
	return policy.Errored
}
