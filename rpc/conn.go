// Package rpc has a client-side plug-in for gRPC: a grpc.ClientConnInterface that generated stubs take as they take a
// *grpc.ClientConn, with the sidecar's decisions within. It reads the daemon's own configuration, follows the same lists of
// servers, and keeps the same rules. docs/rpc.md tells how to use it.
package rpc

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"pepperlead/internal/daemon"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Conn is a connection to all servers of a list. It is safe for concurrent use.
type Conn struct {
	front      *front
	engine     *engine.Engine
	stop       chan os.Signal
	close      sync.Once
	exact      map[string]policy.ClassID
	services   map[string]policy.ClassID
	any        policy.ClassID
	cutOffs    []policy.Time
	franchises map[string]policy.TenantID
	metadata   string
	field      protoreflect.Name
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// New reads the configuration in the file and begins to follow its servers. The options hold for the connections to servers: TLS,
// interceptors, stats handlers. Without transport credentials among them connections are not encrypted.
func New(configFile string, opts ...grpc.DialOption) (*Conn, error) {
	text, err := os.ReadFile(configFile)
	if err != nil {
		return nil, err
	}
	return FromText(configFile, text, opts...)
}

// FromText is New with the configuration as a value. name stands for it in errors, and its folder for that of paths in it.
func FromText(name string, text []byte, opts ...grpc.DialOption) (*Conn, error) {
	o, err := daemon.ParseClient(name, text)
	if err != nil {
		return nil, err
	}
	log, err := daemon.NewLogger(o.LogLevel, o.LogFormat)
	if err != nil {
		return nil, err
	}
	return start(o, log, opts), nil
}

func start(o daemon.ClientConfig, log *logrus.Logger, opts []grpc.DialOption) *Conn {
	c := &Conn{stop: make(chan os.Signal, 1), exact: map[string]policy.ClassID{}, services: map[string]policy.ClassID{},
		any: policy.NoClass, cutOffs: o.Deadlines, franchises: map[string]policy.TenantID{}, metadata: o.KeyMetadata,
		field: protoreflect.Name(o.KeyField)}
	for i, methods := range o.Methods {
		for _, m := range methods {
			service, wild := strings.CutSuffix(m, "/*")
			switch {
			case m == "*":
				c.any = policy.ClassID(i)
			case wild:
				c.services[service] = policy.ClassID(i)
			default:
				c.exact[m] = policy.ClassID(i)
			}
		}
	}
	for i, f := range o.Settings.Tenants {
		c.franchises[f.Name] = policy.TenantID(i)
	}
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.engine = engine.New(engine.Config{Seed: seed, Settings: o.Settings, Source: o.Source, ShutdownTime: policy.Second, StallAfter: daemon.StallAfter}, log)
	c.front = &front{engine: c.engine, dial: opts}
	c.front.calls.New = newCall
	c.front.no = c.engine.Add(c.front)
	go c.engine.Run(c.stop)
	return c
}

// Close turns new calls back, lets those under way end for a second at most, and closes all connections.
func (c *Conn) Close() error {
	c.close.Do(func() { c.stop <- os.Interrupt })
	<-c.engine.Stopped()
	return nil
}

// Counters are what the plug-in has taken in, sent and answered, by the names that the daemon has for them.
func (c *Conn) Counters() map[string]int64 {
	all := map[string]int64{}
	c.inside(func() { c.engine.Counters.Each(func(name string, n int64) { all[name] = n }) })
	return all
}

// Server is a server that the plug-in knows.
type Server struct {
	ID, Address, Zone string
	Leaving           bool
}

// Servers are those of the list in force, in no order.
func (c *Conn) Servers() (all []Server) {
	c.inside(func() {
		for _, s := range c.engine.Endpoints {
			all = append(all, Server{s.UID, s.Addr, string(s.Zone), s.Draining})
		}
	})
	return all
}

// inside runs on the loop, or where that has ended in its place.
func (c *Conn) inside(do func()) {
	if !c.engine.RunOnLoop(do) {
		do()
	}
}

type keyOf struct{}
type franchiseOf struct{}

// WithKey says what a call is about: calls with one key go to one server.
func WithKey(ctx context.Context, key string) context.Context {
	return context.WithValue(ctx, keyOf{}, key)
}

// WithFranchise says on whose behalf a call is made.
func WithFranchise(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, franchiseOf{}, name)
}

// offering finds the one that a method is bound to: by its whole name, else by its service, else by *.
func (c *Conn) offering(method string) (policy.ClassID, bool) {
	if o, known := c.exact[method]; known {
		return o, true
	}
	if i := strings.LastIndexByte(method, '/'); i > 0 {
		if o, known := c.services[method[:i]]; known {
			return o, true
		}
	}
	return c.any, c.any != policy.NoClass
}

// key finds what a call is about: as the context says, else its metadata, else a field of the request.
func (c *Conn) key(ctx context.Context, request any) string {
	if key, is := ctx.Value(keyOf{}).(string); is {
		return key
	}
	if c.metadata != "" {
		if md, there := metadata.FromOutgoingContext(ctx); there {
			if v := md.Get(c.metadata); len(v) > 0 {
				return v[0]
			}
		}
	}
	if m, is := request.(proto.Message); is && c.field != "" {
		r := m.ProtoReflect()
		if f := r.Descriptor().Fields().ByName(c.field); f != nil && !f.IsList() && !f.IsMap() && r.Has(f) {
			return r.Get(f).String()
		}
	}
	return ""
}

// stale tells whether an order was decided so long ago that its process must have stood still since: lists may say otherwise by now.
func (c *Conn) stale(o order) bool { return c.engine.Clock.Now()-o.at > daemon.StallAfter }

// begin makes a ticket of a call.
func (c *Conn) begin(ctx context.Context, method string, request any) (*call, time.Time, error) {
	o, bound := c.offering(method)
	if !bound {
		return nil, time.Time{}, status.Errorf(codes.Unimplemented, "pepperlead: %s is bound to no offering", method)
	}
	if err := ctx.Err(); err != nil {
		return nil, time.Time{}, status.FromContextError(err).Err()
	}
	now := time.Now()
	end := now.Add(time.Duration(c.cutOffs[o]))
	if d, is := ctx.Deadline(); is && d.Before(end) {
		end = d
	}
	k := c.front.calls.Get().(*call)
	k.offering, k.key, k.left, k.franchise = o, c.key(ctx, request), policy.Time(end.Sub(now)), policy.NoTenant
	if name, is := ctx.Value(franchiseOf{}).(string); is {
		if f, known := c.franchises[name]; known {
			k.franchise = f
		}
	}
	return k, end, nil
}

// errClosed is told of calls on a connection that is closed.
var errClosed = status.Error(codes.Canceled, "pepperlead: the connection is closed")

// next waits for what the loop has the call do. gone: its caller waits no longer, and so does the loop.
func (c *Conn) next(ctx context.Context, k *call) (o order, err error) {
	select {
	case o = <-k.orders:
		return o, nil
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	case <-c.engine.Stopped():
		err = errClosed
	}
	c.front.post(posting{do: (*front).leaves, call: k, last: true})
	return o, err
}

// finish says what a final order comes to for the caller; last is the status of the last push, if there was one.
func (c *Conn) finish(k *call, o order, end time.Time, last error) error {
	c.front.post(posting{do: (*front).leaves, call: k, last: true})
	said := "no server had room"
	if last != nil {
		said = status.Convert(last).Message()
	}
	if o.final == turnedBack {
		st := status.Newf(codes.Unavailable, "pepperlead: turned back: %s", said)
		if o.retryIn > 0 {
			if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(o.retryIn))}); err == nil {
				st = with
			}
		}
		return st.Err()
	}
	if !time.Now().Before(end.Add(-50 * time.Millisecond)) {
		return status.Errorf(codes.DeadlineExceeded, "pepperlead: given up, it may have run: %s", said)
	}
	return status.Errorf(codes.Unknown, "pepperlead: given up, it may have run: %s", said)
}

// once lets gRPC begin one stream and no more for a push: it asks for credentials before each.
type once struct{ k *call }

var errOnce = status.Error(codes.Unavailable, "pepperlead: nothing is sent a second time here")

func (o once) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	if o.k.on.begun.clock.Now()-o.k.decided > daemon.StallAfter {
		return nil, errOnce // the process stood still since, or connecting took so long that the list may say otherwise by now
	}
	if o.k.attempts.Add(1) > 1 {
		return nil, errOnce
	}
	o.k.mark.Store(o.k.on.begun.add(o.k.decided))
	if o.k.creds != nil {
		return o.k.creds.GetRequestMetadata(ctx, uri...)
	}
	return nil, nil
}

func (o once) RequireTransportSecurity() bool {
	return o.k.creds != nil && o.k.creds.RequireTransportSecurity()
}

// options are the caller's and those that watch a push. The caller's own credentials go on being asked, and its own trailer is
// filled from ours.
func (k *call) options(opts []grpc.CallOption) []grpc.CallOption {
	k.creds, k.theirs = nil, nil
	if len(opts) == 0 {
		return k.watch
	}
	for _, opt := range opts {
		switch own := opt.(type) {
		case grpc.PerRPCCredsCallOption:
			k.creds = own.Creds
		case grpc.TrailerCallOption:
			k.theirs = own.TrailerAddr
		}
	}
	return append(append(make([]grpc.CallOption, 0, len(opts)+len(k.watch)), opts...), k.watch...)
}

// newCall is a place for calls, with what each of them needs again.
func newCall() any {
	k := &call{orders: make(chan order, 4)}
	k.watch = []grpc.CallOption{grpc.PerRPCCredentials(once{k}), grpc.WaitForReady(false), grpc.Trailer(&k.trailer)}
	return k
}

// pushing lets the loop call a push off from now on, or at once if it has already. end: no later than that, if it says so.
func (k *call) pushing(ctx context.Context, seq uint32, end time.Time) (context.Context, context.CancelFunc) {
	var cancel context.CancelFunc
	if end.IsZero() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, end)
	}
	k.attempts.Store(0)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancel = cancel; k.stopped == seq {
		cancel()
	}
	return ctx, cancel
}

// ended says how a push ended for its caller.
func (k *call) ended(err error) policy.Outcome {
	v := k.trailer.Get(NotProcessed)
	if k.theirs != nil {
		*k.theirs = k.trailer
	}
	k.trailer = nil
	return outcome(int(k.attempts.Load()), status.Code(err), len(v) > 0 && v[0] == "1")
}

// Invoke makes a unary call.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	k, end, err := c.begin(ctx, method, args)
	if err != nil {
		return err
	}
	all := k.options(opts)
	c.front.post(posting{do: (*front).begins, call: k})
	var last error
	for {
		o, err := c.next(ctx, k)
		switch {
		case err != nil:
			return err
		case o.to == nil:
			return c.finish(k, o, end, last)
		}
		if c.stale(o) {
			c.front.post(posting{do: (*front).ended, call: k, seq: o.seq, to: o.to, outcome: policy.NotSent})
			continue
		}
		k.on, k.decided = o.to, o.at
		push, cancel := k.pushing(ctx, o.seq, end)
		err = o.to.conn.Invoke(push, method, args, reply, all...)
		cancel()
		o.to.begun.drop(k.mark.Load())
		how := k.ended(err)
		p := posting{do: (*front).ended, call: k, seq: o.seq, to: o.to, outcome: how, last: how == policy.Succeeded || how == policy.Declined}
		if !p.last && ctx.Err() != nil {
			p.last, err = true, status.FromContextError(ctx.Err()).Err()
			if how != policy.NotConnected {
				p.outcome = policy.Cancelled
			}
		}
		c.front.post(p) // from here on the call is the loop's if this was its last
		if p.last {
			return err
		}
		last = err
	}
}

// Open is how many calls the loop has in hand.
func (c *Conn) Open() (n int) {
	c.inside(func() { n = c.engine.InFlight })
	return n
}
