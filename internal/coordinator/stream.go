package coordinator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const greetIn = 2 * time.Second

var errStranger = errors.New("keep: the other side does not know the key")

// stream is how keepers reach each other: TCP from the keeper's own address. Each connection begins with 16 bytes of chance from the side that
// was called, and the caller's HMAC-SHA-256 (RFC 2104) of these and the cluster's name under the peers' key, so that no stranger's word gets
// into the group. What follows is not secret.
type stream struct {
	net.Listener
	key      []byte
	cluster  string
	ready    chan net.Conn
	ended    chan struct{}
	once     sync.Once
	refused  atomic.Uint64 // callers without the key
	ownIP    net.IP
	accepted chan error
}

func listen(p Config) (*stream, error) {
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return nil, err
	}
	s := &stream{Listener: l, key: p.Key, cluster: p.Cluster, ready: make(chan net.Conn), ended: make(chan struct{}), accepted: make(chan error, 1)}
	if ip := l.Addr().(*net.TCPAddr).IP; !ip.IsUnspecified() {
		s.ownIP = ip
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				s.accepted <- err
				return
			}
			go s.greet(c) // one that says nothing must not keep others waiting
		}
	}()
	return s, nil
}

func (s *stream) seal(chance []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(chance)
	h.Write([]byte(s.cluster))
	return h.Sum(nil)
}

func (s *stream) greet(c net.Conn) {
	var chance [16]byte
	var told [sha256.Size]byte
	rand.Read(chance[:])
	c.SetDeadline(time.Now().Add(greetIn))
	if _, err := c.Write(chance[:]); err != nil {
		c.Close()
		return
	}
	if _, err := io.ReadFull(c, told[:]); err != nil || !hmac.Equal(told[:], s.seal(chance[:])) {
		s.refused.Add(1)
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	select {
	case s.ready <- c:
	case <-s.ended:
		c.Close()
	}
}

// Accept gives the next connection whose caller knows the key.
func (s *stream) Accept() (net.Conn, error) {
	select {
	case c := <-s.ready:
		return c, nil
	case err := <-s.accepted:
		return nil, err
	}
}

// Dial opens a connection to another keeper.
func (s *stream) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	if s.ownIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: s.ownIP}
	}
	c, err := d.Dial("tcp", string(to))
	if err != nil {
		return nil, err
	}
	var chance [16]byte
	c.SetDeadline(time.Now().Add(min(within, greetIn)))
	if _, err = io.ReadFull(c, chance[:]); err == nil {
		_, err = c.Write(s.seal(chance[:]))
	}
	if err != nil {
		c.Close()
		return nil, errors.Join(errStranger, err)
	}
	c.SetDeadline(time.Time{})
	return c, nil
}

// Close ends it.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.ended) })
	return s.Listener.Close()
}
