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
	doorMost             = 24 // connections open at once; for one more, the one that has been silent for longest goes
	doorLine             = 8 << 10
	doorStays            = 5 * time.Second                   // with no whole call
	doorTakes            = 2 * time.Second                   // to read an answer
	doorLinger, doorMore = 200 * time.Millisecond, 256 << 10 // for what follows a call, which is thrown away

	// CommandDescriptors are those that the door may hold.
	CommandDescriptors = doorMost + 4
)

// Operations is what the door works on. Calls may come from any goroutine; Out has an answer within a second.
type Operations interface {
	Ready() bool
	AppendFigures(to []byte) []byte
	SetDrained(uid string, out bool) error
}

// CommandServer answers operators: one line in, an answer out, and the connection closes. It never waits for the loop but to change
// something.
type CommandServer struct {
	at net.Listener
	of Operations

	mu     sync.Mutex
	silent list.List // callers with no whole call yet, the oldest first
	open   int
	room   *sync.Cond
	closed bool
}

// ListenCommands answers at the address until Close.
func ListenCommands(addr string, of Operations) (*CommandServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &CommandServer{at: l, of: of}
	d.room = sync.NewCond(&d.mu)
	go d.accept()
	return d, nil
}

// caller is one connection; its place among the silent ones, nil once it has said its line or had to go.
type caller struct {
	net.Conn
	place *list.Element
}

// Addr is where it listens.
func (d *CommandServer) Addr() string { return d.at.Addr().String() }

// Close ends it.
func (d *CommandServer) Close() error {
	d.mu.Lock()
	d.closed = true
	for e := d.silent.Front(); e != nil; e = e.Next() {
		e.Value.(*caller).Close()
	}
	d.room.Broadcast()
	d.mu.Unlock()
	return d.at.Close()
}

func (d *CommandServer) accept() {
	for {
		c, err := d.at.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of descriptors, say: the callers wait in the kernel, and those that hold theirs for nothing go first.
			d.mu.Lock()
			d.shed()
			d.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.mu.Lock()
		for d.open >= doorMost && !d.closed && !d.shed() {
			d.room.Wait() // all of them are being answered, which ends soon
		}
		d.open++
		one := &caller{Conn: c}
		one.place = d.silent.PushBack(one)
		d.mu.Unlock()
		go d.serve(one)
	}
}

// shed closes the connection that has been silent for longest. Callers that hold theirs must not keep others out.
func (d *CommandServer) shed() bool {
	first := d.silent.Front()
	if first == nil {
		return false
	}
	c := d.silent.Remove(first).(*caller)
	c.place = nil
	c.Close()
	d.open--
	return true
}

func (d *CommandServer) serve(c *caller) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(doorStays))
	line, whole := readLine(c)
	d.mu.Lock()
	held := c.place != nil // else it had to go, and was counted then
	if held {
		d.silent.Remove(c.place)
		c.place = nil
	}
	d.mu.Unlock()
	if !held {
		return
	}
	if whole {
		c.SetWriteDeadline(time.Now().Add(doorTakes))
		c.Write(d.answer(line))
		// Closed with bytes unread, the kernel would take the answer back.
		c.Conn.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(doorLinger))
		io.CopyN(io.Discard, c, doorMore)
	}
	c.Close()
	d.mu.Lock()
	d.open--
	d.room.Signal()
	d.mu.Unlock()
}

// readLine takes one line, ended by LF or CRLF.
func readLine(from io.Reader) (string, bool) {
	line, err := bufio.NewReaderSize(io.LimitReader(from, doorLine), 512).ReadString('\n')
	// No call is so long: what is more is not read, and gets an answer.
	return strings.TrimRight(line, "\r\n"), err == nil || len(line) == doorLine
}

// answer carries a call out.
func (d *CommandServer) answer(line string) []byte {
	call, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	id := strings.TrimSpace(rest)
	switch call {
	case "ready":
		if id == "" && d.of.Ready() {
			return []byte("OK ready\n")
		}
		return []byte("ERR not ready to serve\n")
	case "show-stat":
		return append(d.of.AppendFigures(make([]byte, 0, 2<<10)), "END\n"...)
	case "disable-server", "enable-server":
		if id == "" || strings.ContainsAny(id, " \t") {
			return []byte("ERR " + call + ": found no id of a server, allowed one\n")
		}
		if err := d.of.SetDrained(id, call == "disable-server"); err != nil {
			return []byte("ERR " + call + ": " + strings.ReplaceAll(err.Error(), "\n", "; ") + "\n")
		}
		return []byte("OK " + id + "\n")
	}
	return []byte("ERR no such call; allowed: ready, show-stat, disable-server ID, enable-server ID\n")
}
