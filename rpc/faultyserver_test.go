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

// faultyServer is an HTTP/2 server without gRPC that ends streams in every possible way, chosen at random: it refuses
// or resets the stream, sends GOAWAY with or without having run the call, omits the trailers, closes the connection, or
// answers.
type faultyServer struct {
	net.Listener
	mu   sync.Mutex
	rnd  *rand.Rand
	ran  map[string]int // how often each call has run, by call id
	ends map[string]int // how many streams have ended in each way, by the name of that way
}

func newFaultyServer(t *testing.T, seed uint64) *faultyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultyServer{Listener: l, rnd: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}, ends: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() { l.Close() })
	return s
}

func (s *faultyServer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	framer.WriteSettings()
	ids := map[uint32]string{}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !frame.IsAck() {
				framer.WritePing(true, frame.Data)
			}
		case *http2.MetaHeadersFrame:
			for _, h := range frame.Fields {
				if h.Name == "id" {
					ids[frame.StreamID] = h.Value
				}
			}
		case *http2.DataFrame:
			if frame.StreamEnded() && !s.end(framer, frame.StreamID, ids[frame.StreamID]) {
				return
			}
		}
	}
}

// end ends a stream in a way chosen at random, with or without running its call. It returns false if the connection
// must be closed.
func (s *faultyServer) end(framer *http2.Framer, stream uint32, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := func(kind string, run bool) {
		s.ends[kind]++
		if run {
			s.ran[id]++
		}
	}
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	headers := func(endStream bool, fields ...string) {
		block.Reset()
		for i := 0; i < len(fields); i += 2 {
			encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
		}
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: endStream})
	}
	body, _ := proto.Marshal(wrapperspb.String("ok"))
	message := append([]byte{0, 0, 0, 0, byte(len(body))}, body...)
	switch s.rnd.IntN(9) {
	case 0:
		record("refused", false)
		framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	case 1:
		record("reset, run", true)
		framer.WriteRSTStream(stream, http2.ErrCodeInternal)
	case 2:
		record("reset, not run", false)
		framer.WriteRSTStream(stream, http2.ErrCodeCancel)
	case 3:
		record("GOAWAY, not run", false)
		framer.WriteGoAway(stream-2+stream%2-1, http2.ErrCodeNo, nil)
		return false
	case 4:
		record("GOAWAY, run", true)
		framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
		return false
	case 5:
		record("connection lost, run", true)
		return false
	case 6:
		record("no trailers, run", true)
		headers(false, ":status", "200", "content-type", "application/grpc")
		framer.WriteData(stream, true, message)
	case 7:
		record("headers only, run", true)
		headers(true, ":status", "200", "content-type", "application/grpc")
	default:
		record("answered", true)
		headers(false, ":status", "200", "content-type", "application/grpc")
		framer.WriteData(stream, false, message)
		headers(true, "grpc-status", "0")
	}
	return true
}

// Each of 1000 non-idempotent calls to faulty servers runs at most once: it must not be sent again if it may have
// run. A call that succeeded has run once, and a call that was rejected has not run.
func TestNonIdempotentCallsToFaultyServers(t *testing.T) {
	var members []member
	var servers []*faultyServer
	for i := range 4 {
		s := newFaultyServer(t, uint64(i))
		servers = append(servers, s)
		members = append(members, member{id: fmt.Sprint("r", i), addr: s.Addr().String()})
	}
	c, _ := dial(t, 1, members...)
	ran := func(id string) (n int) {
		for _, s := range servers {
			s.mu.Lock()
			n += s.ran[id]
			s.mu.Unlock()
		}
		return n
	}
	results := map[string]int{}
	for n := range 1000 {
		id := fmt.Sprint("call-", n)
		got, err := invoke(c, withID(id), "Once", id)
		runs := ran(id)
		result := "failed"
		switch {
		case err == nil:
			result = "succeeded"
			if runs != 1 || got != "ok" {
				t.Errorf("%s: succeeded with %q, ran %d times", id, got, runs)
			}
		case bytes.Contains([]byte(err.Error()), []byte("rejected, may be retried")):
			result = "rejected"
			if runs != 0 {
				t.Errorf("%s: rejected, ran %d times: %v", id, runs, err)
			}
		}
		results[result]++
		if runs > 1 {
			t.Errorf("%s: ran %d times: %v", id, runs, err)
		}
	}
	ends := map[string]int{}
	for _, s := range servers {
		for kind, n := range s.ends {
			ends[kind] += n
		}
	}
	if len(ends) != 9 || results["succeeded"] < 50 || results["failed"] < 100 {
		t.Errorf("too few kinds of ends of streams, or too few results of a kind: ends %v, results %v", ends, results)
	}
	waitUntilNoneOpen(t, c)
	t.Logf("ends %v, results %v", ends, results)
}
