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

const (
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16 // bytes
)

// errUnauthenticated is returned if a handshake fails.
var errUnauthenticated = errors.New("authentication with the shared key failed")

// streamLayer is the raft.StreamLayer of a coordinator: TCP connections with a handshake. The accepting side sends a
// random nonce, and the dialing side answers with the HMAC-SHA-256 (RFC 2104) of the nonce and the cluster's name under
// the shared key. The handshake authenticates the dialing side; the connection isn't encrypted.
type streamLayer struct {
	net.Listener
	key           []byte
	cluster       string
	localIP       net.IP // source address of outgoing connections; nil: any
	authenticated chan net.Conn
	acceptErr     chan error
	closed        chan struct{}
	closeOnce     sync.Once
	rejected      atomic.Uint64 // connections that failed the handshake
}

// listen starts accepting connections at the configured address.
func listen(config *Config) (*streamLayer, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	s := &streamLayer{
		Listener:      listener,
		key:           config.Key,
		cluster:       config.Cluster,
		authenticated: make(chan net.Conn),
		acceptErr:     make(chan error, 1),
		closed:        make(chan struct{}),
	}
	if ip := listener.Addr().(*net.TCPAddr).IP; !ip.IsUnspecified() {
		s.localIP = ip
	}
	go s.acceptLoop()
	return s, nil
}

// acceptLoop runs the handshake of each connection in a goroutine, so that a silent peer doesn't delay others.
func (s *streamLayer) acceptLoop() {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			s.acceptErr <- err
			return
		}
		go s.authenticate(conn)
	}
}

// mac returns the HMAC that proves knowledge of the key.
func (s *streamLayer) mac(nonce []byte) []byte {
	hash := hmac.New(sha256.New, s.key)
	hash.Write(nonce)
	hash.Write([]byte(s.cluster))
	return hash.Sum(nil)
}

// authenticate passes a connection to Accept after a successful handshake, and closes it otherwise.
func (s *streamLayer) authenticate(conn net.Conn) {
	if err := s.challenge(conn); err != nil {
		if errors.Is(err, errUnauthenticated) {
			s.rejected.Add(1)
		}
		_ = conn.Close() // the error of the handshake is the relevant one
		return
	}
	select {
	case s.authenticated <- conn:
	case <-s.closed:
		_ = conn.Close() // Accept is not called any more
	}
}

// challenge is the accepting side of the handshake.
func (s *streamLayer) challenge(conn net.Conn) error {
	var nonce [nonceSize]byte
	_, _ = rand.Read(nonce[:]) // never fails
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(nonce[:]); err != nil {
		return err
	}
	var answer [sha256.Size]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return errors.Join(errUnauthenticated, err)
	}
	if !hmac.Equal(answer[:], s.mac(nonce[:])) {
		return errUnauthenticated
	}
	return conn.SetDeadline(time.Time{})
}

// Accept returns the next authenticated connection.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.authenticated:
		return conn, nil
	case err := <-s.acceptErr:
		return nil, err
	}
}

// Dial opens a connection to another coordinator.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if s.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: s.localIP}
	}
	conn, err := dialer.Dial("tcp", string(address))
	if err != nil {
		return nil, err
	}
	if err := s.respond(conn, min(timeout, handshakeTimeout)); err != nil {
		_ = conn.Close() // the error of the handshake is the relevant one
		return nil, errors.Join(errUnauthenticated, err)
	}
	return conn, nil
}

// respond is the dialing side of the handshake.
func (s *streamLayer) respond(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var nonce [nonceSize]byte
	if _, err := io.ReadFull(conn, nonce[:]); err != nil {
		return err
	}
	if _, err := conn.Write(s.mac(nonce[:])); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// Close stops accepting connections.
func (s *streamLayer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Listener.Close()
}
