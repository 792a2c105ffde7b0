package rpc

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// arrivals records when messages have arrived completely at any of several servers.
type arrivals struct {
	mu      sync.Mutex
	calls   int
	arrived []time.Time
	pause   time.Duration // time after which the second call reads its message
}

// serve lets the first call fail once its message has arrived. Later calls read their messages late and are answered.
func (a *arrivals) serve(_ any, stream grpc.ServerStream) error {
	a.mu.Lock()
	a.calls++
	first := a.calls == 1
	a.mu.Unlock()
	if !first {
		time.Sleep(a.pause)
	}
	var m wrapperspb.StringValue
	if err := stream.RecvMsg(&m); err != nil {
		return err
	}
	a.mu.Lock()
	a.arrived = append(a.arrived, time.Now())
	a.mu.Unlock()
	if first {
		return status.Error(codes.Internal, "failed after it ran")
	}
	return stream.SendMsg(wrapperspb.String("ok"))
}

// Guards against a second effect: a retry of a keyed call whose long message the endpoint reads slowly must not arrive after the
// deduplication window.
func TestRetryArrivesWithinItsWindow(t *testing.T) {
	for name, k := range map[string]struct {
		size     int
		pause    time.Duration
		wantCode codes.Code
	}{
		"long message, slow endpoint":  {size: 1 << 20, pause: 1500 * time.Millisecond, wantCode: codes.Unknown},
		"long message, fast endpoint":  {size: 1 << 20, wantCode: codes.OK},
		"short message, long handling": {size: 100, pause: 1500 * time.Millisecond, wantCode: codes.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const window = time.Second
			requests := &arrivals{pause: k.pause}
			var members []member
			for i := range 2 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				server := grpc.NewServer(grpc.UnknownServiceHandler(requests.serve))
				go server.Serve(l)
				t.Cleanup(server.Stop)
				members = append(members, member{id: fmt.Sprint("s-", i), addr: l.Addr().String()})
			}
			dir := t.TempDir()
			writeList(t, dir, listText(1, members...))
			c := openConfigured(t, dir, strings.ReplaceAll(configuration, `quoted_time = "500ms"`, `quoted_time = "2s"`))
			_, err := invoke(c, withID(name), "Note", strings.Repeat("x", k.size))
			if code := status.Code(err); code != k.wantCode {
				t.Errorf("got %v, want %v", err, k.wantCode)
			}
			time.Sleep(2 * k.pause) // a late message would arrive meanwhile
			requests.mu.Lock()
			defer requests.mu.Unlock()
			if len(requests.arrived) == 0 {
				t.Fatal("the first attempt never arrived")
			}
			for _, at := range requests.arrived[1:] {
				if late := at.Sub(requests.arrived[0]) - window; late > 0 && k.size > initialFlowWindow {
					t.Errorf("the retry arrived %v after the end of the window", late)
				}
			}
		})
	}
}
