package rpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"pepperlead/policy"
)

// NotProcessed is the key of the trailing metadata that an endpoint sets to 1 on a call that it rejected unprocessed,
// so that the call may safely be sent again even if it is not idempotent. Over HTTP, endpoints use a header of the
// same name.
const NotProcessed = "x-not-processed"

// isNotProcessed reports whether the trailer says that the call was rejected unprocessed.
func isNotProcessed(trailer metadata.MD) bool {
	values := trailer.Get(NotProcessed)
	return len(values) > 0 && values[0] == "1"
}

// outcome returns the outcome of an attempt that has ended, from the number of streams that gRPC tried to begin for
// it, the status code that gRPC returned, and whether the trailer says that the endpoint rejected the call unprocessed.
// docs/rpc.md has the mapping as a table.
//
// gRPC tries to begin a second stream only if it knows that the first was not processed: there was no connection left
// to send it on, or the endpoint refused it or excluded it by GOAWAY (RFC 9113, 6.8 and 8.7; gRFC A6, transparent
// retries). singleStream refuses the second stream, but the attempt to begin it shows that the call has not run. A call
// that ends after one stream without a status from the endpoint may have run. gRPC then returns UNAVAILABLE or
// INTERNAL. As endpoints may also send these codes, neither of them shows that the call has not run.
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
