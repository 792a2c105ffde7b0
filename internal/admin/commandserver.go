package admin

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// maxCommandConnections is how many connections may be open at once. To accept one more, the server closes the
	// connection that has waited longest for its command.
	maxCommandConnections = 24
	maxCommandLength      = 8 << 10
	commandBufferSize     = 512
	commandReadTimeout    = 5 * time.Second
	commandWriteTimeout   = 2 * time.Second
	acceptRetryDelay      = 10 * time.Millisecond

	// Up to maxLingerSize bytes that follow a command are read and discarded, for at most lingerTimeout: if the
	// connection were closed with bytes unread, the kernel would reset it, and the client could lose the answer.
	lingerTimeout = 200 * time.Millisecond
	maxLingerSize = 256 << 10

	// CommandDescriptors is how many descriptors the command server may hold.
	CommandDescriptors = maxCommandConnections + 4
)

// Operations carries out commands. It is safe for concurrent use, and each call returns within a second.
type Operations interface {
	Ready() bool
	AppendFigures(to []byte) []byte
	SetDrained(uid string, drained bool) error
}

// CommandServer answers one command per connection. Only commands that change something wait for the engine's loop.
type CommandServer struct {
	listener   net.Listener
	operations Operations

	mu         sync.Mutex
	waiting    list.List // connections whose command is still being read, the oldest first
	open       int
	connClosed *sync.Cond // signals that a connection was closed
	closed     bool
}

// commandConn is a connection of the command server.
type commandConn struct {
	net.Conn
	waiting *list.Element // in CommandServer.waiting; nil once reading has ended or closeOldest closed the connection
}

// ListenCommands starts a command server, which answers commands at the address until Close is called.
func ListenCommands(address string, operations Operations) (*CommandServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &CommandServer{listener: listener, operations: operations}
	s.connClosed = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *CommandServer) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and the connections that have no command yet.
func (s *CommandServer) Close() error {
	s.mu.Lock()
	s.closed = true
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*commandConn).Close() // its read fails then, and its goroutine ends
	}
	s.connClosed.Broadcast()
	s.mu.Unlock()
	return s.listener.Close()
}

func (s *CommandServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the process has probably run out of descriptors
			s.mu.Lock()
			s.closeOldest()
			s.mu.Unlock()
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(s.add(conn))
	}
}

// add waits until one more connection may be open, and registers the connection as waiting for its command.
func (s *CommandServer) add(conn net.Conn) *commandConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= maxCommandConnections && !s.closed && !s.closeOldest() {
		s.connClosed.Wait() // all open connections are being answered
	}
	s.open++
	c := &commandConn{Conn: conn}
	c.waiting = s.waiting.PushBack(c)
	return c
}

// closeOldest closes the connection that has waited longest for its command. It returns false if none waits.
func (s *CommandServer) closeOldest() bool {
	oldest := s.waiting.Front()
	if oldest == nil {
		return false
	}
	c := s.waiting.Remove(oldest).(*commandConn)
	c.waiting = nil
	_ = c.Close() // an error loses no data: nothing was written
	s.open--
	return true
}

func (s *CommandServer) serve(c *commandConn) {
	defer func() {
		_ = c.Close() // all was sent, or the client has gone
	}()
	_ = c.SetReadDeadline(time.Now().Add(commandReadTimeout)) // on a closed connection the read fails too
	command, complete := readCommand(c)
	if !s.stopWaiting(c) {
		return
	}
	if complete {
		s.respond(c, s.execute(command))
	}
	_ = c.Close() // before another connection may take its place
	s.mu.Lock()
	s.open--
	s.connClosed.Signal()
	s.mu.Unlock()
}

// stopWaiting removes a connection from the waiting ones after its command was read or the read failed. It returns
// false if closeOldest has closed the connection meanwhile.
func (s *CommandServer) stopWaiting(c *commandConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.waiting == nil {
		return false
	}
	s.waiting.Remove(c.waiting)
	c.waiting = nil
	return true
}

// respond writes an answer and gives the client time to read it. Errors are ignored: they mean that the client has
// gone.
func (s *CommandServer) respond(c *commandConn, answer []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(commandWriteTimeout))
	_, _ = c.Write(answer)
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c, maxLingerSize)
}

// readCommand reads a line that ends in LF or CRLF. A line that is too long for any command counts as complete, so that
// it gets an answer.
func readCommand(from io.Reader) (command string, complete bool) {
	limited := io.LimitReader(from, maxCommandLength)
	line, err := bufio.NewReaderSize(limited, commandBufferSize).ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err == nil || len(line) == maxCommandLength
}

// execute carries out a command and returns its answer.
func (s *CommandServer) execute(command string) []byte {
	verb, argument, _ := strings.Cut(strings.TrimSpace(command), " ")
	argument = strings.TrimSpace(argument)
	switch verb {
	case "ready":
		if argument == "" && s.operations.Ready() {
			return []byte("OK ready\n")
		}
		return []byte("ERR not ready to serve\n")
	case "show-stat":
		return append(s.operations.AppendFigures(nil), "END\n"...)
	case "disable-server":
		return s.setDrained(verb, argument, true)
	case "enable-server":
		return s.setDrained(verb, argument, false)
	}
	return []byte("ERR no such call; allowed: ready, show-stat, disable-server ID, enable-server ID\n")
}

func (s *CommandServer) setDrained(verb, uid string, drained bool) []byte {
	if uid == "" || strings.ContainsAny(uid, " \t") {
		return []byte("ERR " + verb + ": found no id of a server, allowed one\n")
	}
	if err := s.operations.SetDrained(uid, drained); err != nil {
		return []byte("ERR " + verb + ": " + strings.ReplaceAll(err.Error(), "\n", "; ") + "\n")
	}
	return []byte("OK " + uid + "\n")
}
