package rpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"pepperlead/policy"
)

// NotProcessed is the key of trailing metadata by which an endpoint says, with the value 1, that it rejected a call
// unprocessed. The platform's endpoints say the same by a header of this name.
const NotProcessed = "x-not-processed"

// isNotProcessed reports whether the trailer says that the call was rejected unprocessed.
func isNotProcessed(trailer metadata.MD) bool {
	values := trailer.Get(NotProcessed)
	return len(values) > 0 && values[0] == "1"
}

// outcome maps the end of an attempt: by how many streams gRPC began for it, the status that it gave, and whether the
// endpoint said in its trailer that it rejected the call unprocessed. docs/rpc.md has it as a table.
//
// gRPC begins a second stream only where it knows that the first was not processed: it had no connection left, or the
// endpoint refused the stream, or said by GOAWAY that it would not process it (RFC 9113, 6.8 and 8.7; gRFC A6,
// transparent retries). The plug-in refuses it, and that it was asked for shows that nothing has run. What ends
// without a status of the endpoint after one stream may have run; gRPC gives such ends UNAVAILABLE or INTERNAL, as
// endpoints may give them too.
func outcome(streams int, code codes.Code, notProcessed bool) policy.Outcome {
	switch {
	case streams != 1:
		return policy.NotConnected
	case code == codes.OK:
		return policy.Succeeded
	case notProcessed:
		return policy.Rejected
	case isClientError(code):
		return policy.Declined
	case code == codes.Unavailable:
		return policy.ConnectionLost
	}
	return policy.Errored
}

// isClientError reports whether the code says that no endpoint could process the call.
func isClientError(code codes.Code) bool {
	switch code {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated:
		return true
	}
	return false
}
