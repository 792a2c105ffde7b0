package rpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"pepperlead/policy"
)

// NotProcessed is the key of trailing metadata with which an endpoint marks a call that it rejected unprocessed. The
// value is 1. The platform's endpoints use a header of the same name for this.
const NotProcessed = "x-not-processed"

// isNotProcessed reports whether the trailer says that the call was rejected unprocessed.
func isNotProcessed(trailer metadata.MD) bool {
	values := trailer.Get(NotProcessed)
	return len(values) > 0 && values[0] == "1"
}

// outcome returns the outcome of an attempt that has ended, from the number of streams that gRPC began for it, the
// status code that gRPC returned, and whether the trailer says that the endpoint rejected the call unprocessed.
// docs/rpc.md has the mapping as a table.
//
// gRPC begins a second stream only if it knows that the first was not processed: it had no connection left, or the
// endpoint refused the stream, or excluded it by GOAWAY (RFC 9113, 6.8 and 8.7; gRFC A6, transparent retries).
// singleStream refuses the second stream. That gRPC asked for it shows that the call has not run. A call that ends
// after one stream without a status from the endpoint may have run. gRPC then returns UNAVAILABLE or INTERNAL, which
// endpoints may also send.
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

// isClientError reports whether the code means that the call itself is at fault, so that no endpoint could process it.
func isClientError(code codes.Code) bool {
	switch code {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated:
		return true
	}
	return false
}
