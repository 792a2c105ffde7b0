package epoll

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// watched is a pair of connected sockets, the first of which a poller watches.
type watched struct {
	poller *Poller
	local  int
	peer   int
	mu     sync.Mutex
	seen   []Event
	ended  chan error
}

func watch(t *testing.T, generation int32) *watched {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	p, err := New()
	if err != nil {
		t.Fatal(err)
	}
	w := &watched{poller: p, local: pair[0], peer: pair[1], ended: make(chan error, 1)}
	go func() {
		w.ended <- p.Run(func(events []Event) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.seen = append(w.seen, events...)
		})
	}()
	if err := p.Add(Token{int32(w.local), generation}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		if err := <-w.ended; err != nil {
			t.Error("Run:", err)
		}
		unix.Close(w.local)
		unix.Close(w.peer)
	})
	return w
}

// await waits until the conditions have been reported and returns their token.
func (w *watched) await(t *testing.T, events Events) Token {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		for i, e := range w.seen {
			if e.Events&events == events {
				w.seen = w.seen[i+1:]
				w.mu.Unlock()
				return e.Token
			}
		}
		w.mu.Unlock()
	}
	t.Fatalf("the conditions %b were not reported", events)
	return Token{}
}

// Each condition is reported with the token of its registration, also the end of a connection with bytes unread.
func TestConditionsAreReportedWithTheirToken(t *testing.T) {
	w := watch(t, 7)
	want := Token{int32(w.local), 7}
	if got := w.await(t, Writable); got != want {
		t.Errorf("writable: got token %v, want %v", got, want)
	}
	unix.Write(w.peer, []byte("x"))
	if got := w.await(t, Readable); got != want {
		t.Errorf("readable: got token %v, want %v", got, want)
	}
	unix.Shutdown(w.peer, unix.SHUT_WR)
	if got := w.await(t, HungUp|Readable); got != want {
		t.Errorf("hung up: got token %v, want %v", got, want)
	}
	var one [1]byte
	if n, err := unix.Read(w.local, one[:]); n != 1 || err != nil {
		t.Errorf("the poller has touched the socket: read %d bytes, error %v", n, err)
	}
}
