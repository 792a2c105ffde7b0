package rpc

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"pepperlead/internal/clock"
)

// connectParams let a connection be tried again soon: what fails in between is sent elsewhere.
var connectParams = grpc.ConnectParams{
	MinConnectTimeout: 2 * time.Second,
	Backoff: backoff.Config{
		BaseDelay:  100 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   2 * time.Second,
	},
}

// backend is the connection to an endpoint. It is closed when the endpoint has left and nothing uses it any more.
type backend struct {
	conn    *grpc.ClientConn
	pending *pendingStreams
	uses    int
	retired bool
}

// newBackend makes a connection with one address, no retries and no configuration from a resolver: nothing may be
// sent again without the policy's decision.
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

// release ends one use.
func (b *backend) release() {
	b.uses--
	b.closeIfUnused()
}

// retire closes the connection once nothing uses it. Calls and streams that are open go on.
func (b *backend) retire() {
	b.retired = true
	b.closeIfUnused()
}

func (b *backend) closeIfUnused() {
	if b.retired && b.uses == 0 {
		_ = b.conn.Close() // fails only where it is closed already
	}
}
