package rpc

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// faultyServer is a server that speaks HTTP/2 by itself and ends streams in all ways there are: refused, reset before
// and after it has run, by GOAWAY with and without having looked, with lost trailers, by a lost connection.
type faultyServer struct {
	net.Listener
	mu    sync.Mutex
	rnd   *rand.Rand
	ran   map[string]int
	kinds map[string]int
}

func newFaultyServer(t *testing.T, seed uint64) *faultyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &faultyServer{Listener: l, rnd: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}, kinds: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	t.Cleanup(func() { l.Close() })
	return r
}

func (r *faultyServer) serve(c net.Conn) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	f.WriteSettings()
	ids := map[uint32]string{}
	for {
		in, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch in := in.(type) {
		case *http2.SettingsFrame:
			if !in.IsAck() {
				f.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !in.IsAck() {
				f.WritePing(true, in.Data)
			}
		case *http2.MetaHeadersFrame:
			for _, h := range in.Fields {
				if h.Name == "id" {
					ids[in.StreamID] = h.Value
				}
			}
		case *http2.DataFrame:
			if in.StreamEnded() && !r.end(f, in.StreamID, ids[in.StreamID]) {
				return
			}
		}
	}
}

// end runs a call or not, and ends its stream in some way; false: the connection goes with it.
func (r *faultyServer) end(f *http2.Framer, stream uint32, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	did := func(kind string, runs bool) {
		r.kinds[kind]++
		if runs {
			r.ran[id]++
		}
	}
	var head bytes.Buffer
	enc := hpack.NewEncoder(&head)
	headers := func(end bool, fields ...string) {
		head.Reset()
		for i := 0; i < len(fields); i += 2 {
			enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
		}
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head.Bytes(), EndHeaders: true, EndStream: end})
	}
	body, _ := proto.Marshal(wrapperspb.String("ok"))
	message := append([]byte{0, 0, 0, 0, byte(len(body))}, body...)
	switch r.rnd.IntN(9) {
	case 0:
		did("refused", false)
		f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	case 1:
		did("reset, run", true)
		f.WriteRSTStream(stream, http2.ErrCodeInternal)
	case 2:
		did("reset, not run", false)
		f.WriteRSTStream(stream, http2.ErrCodeCancel)
	case 3:
		did("GOAWAY, not looked at", false)
		f.WriteGoAway(stream-2+stream%2-1, http2.ErrCodeNo, nil)
		return false
	case 4:
		did("GOAWAY, run", true)
		f.WriteGoAway(stream, http2.ErrCodeNo, nil)
		return false
	case 5:
		did("lost, run", true)
		return false
	case 6:
		did("no trailers, run", true)
		headers(false, ":status", "200", "content-type", "application/grpc")
		f.WriteData(stream, true, message)
	case 7:
		did("no answer, run", true)
		headers(true, ":status", "200", "content-type", "application/grpc")
	default:
		did("answered", true)
		headers(false, ":status", "200", "content-type", "application/grpc")
		f.WriteData(stream, false, message)
		headers(true, "grpc-status", "0")
	}
	return true
}

// A thousand at-most-once calls to such servers run at most once each; what succeeded has run, and what was rejected
// has not.
func TestAtMostOnceAgainstRoughServers(t *testing.T) {
	var all []member
	var servers []*faultyServer
	for i := range 4 {
		r := newFaultyServer(t, uint64(i))
		servers = append(servers, r)
		all = append(all, member{id: fmt.Sprint("r", i), addr: r.Addr().String()})
	}
	c, _ := dial(t, 1, all...)
	ran := func(id string) (n int) {
		for _, r := range servers {
			r.mu.Lock()
			n += r.ran[id]
			r.mu.Unlock()
		}
		return n
	}
	ends := map[string]int{}
	for n := range 1000 {
		id := fmt.Sprint("call-", n)
		got, err := invoke(c, withID(id), "Once", id)
		times := ran(id)
		how := "failed"
		switch {
		case err == nil:
			how = "succeeded"
			if times != 1 || got != "ok" {
				t.Errorf("%s: succeeded with %q, ran %d times", id, got, times)
			}
		case bytes.Contains([]byte(err.Error()), []byte("turned back")):
			how = "rejected"
			if times != 0 {
				t.Errorf("%s: rejected, ran %d times: %v", id, times, err)
			}
		}
		ends[how]++
		if times > 1 {
			t.Errorf("%s: ran %d times: %v", id, times, err)
		}
	}
	kinds := map[string]int{}
	for _, r := range servers {
		for k, n := range r.kinds {
			kinds[k] += n
		}
	}
	if len(kinds) != 9 || ends["succeeded"] < 50 || ends["failed"] < 100 {
		t.Errorf("too little was provoked: %v, ends %v", kinds, ends)
	}
	waitUntilNoneOpen(t, c)
	t.Logf("%v, ends %v", kinds, ends)
}
