package rpc

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"pepperlead/internal/clock"
)

// connectParams keep the backoff between connection attempts short. Calls that fail in the meantime are sent to other
// endpoints.
var connectParams = grpc.ConnectParams{
	MinConnectTimeout: 2 * time.Second,
	Backoff: backoff.Config{
		BaseDelay:  100 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   2 * time.Second,
	},
}

// backend is the connection to an endpoint. Once retired, it is closed as soon as no call or stream uses it.
type backend struct {
	conn    *grpc.ClientConn
	pending *pendingStreams
	uses    int // number of calls and streams that use the connection
	retired bool
}

// newBackend creates a connection to a single address. Retries and the resolver's service configuration are disabled,
// as only the policy decides whether a call is sent again.
func newBackend(address string, clock clock.Clock, callerOptions []grpc.DialOption) (*backend, error) {
	pending := &pendingStreams{clock: clock}
	options := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	options = append(options, callerOptions...)
	options = append(options,
		grpc.WithContextDialer(pending.dial),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(connectParams),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	return &backend{conn: conn, pending: pending}, nil
}

// release ends one use of the connection.
func (b *backend) release() {
	b.uses--
	b.closeIfUnused()
}

// retire closes the connection once nothing uses it. Open calls and streams continue.
func (b *backend) retire() {
	b.retired = true
	b.closeIfUnused()
}

func (b *backend) closeIfUnused() {
	if b.retired && b.uses == 0 {
		_ = b.conn.Close() // fails only if it is already closed
	}
}
