package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// socketSuffix is the suffix of the file names of the processes' sockets.
	socketSuffix = ".sock"
	// peerTimeout is how long another process may take to accept a connection or a message, or to answer a message.
	peerTimeout = 300 * time.Millisecond
	// maxLineSize is the maximum length of a message, in bytes.
	maxLineSize = 8 << 20
)

// peerProcess is a connection to another process of the sidecar.
type peerProcess struct {
	conn      net.Conn
	name      string     // of its socket; "" if it has joined later than this process
	joined    uint64     // its place in the order in which the processes were added
	writing   sync.Mutex // held while a message is written
	truncated bool       // the last message was written in part; guarded by writing

	sharesLists atomic.Bool // the process has sent a message of a kind that earlier versions don't know

	welcomeOnce sync.Once
	welcomed    chan struct{} // closed on the first welcome
	states      chan []byte   // learned states received from the process
	closed      chan struct{} // closed when the connection has ended

	// pending holds, by sequence number, a channel for each change that the process has not confirmed. ProcessGroup.mu
	// guards it.
	pending map[uint64]chan struct{}
}

// newPeerProcess returns the peer process at the other end of a connection.
func newPeerProcess(conn net.Conn) *peerProcess {
	return &peerProcess{
		conn:     conn,
		welcomed: make(chan struct{}),
		states:   make(chan []byte, 1),
		closed:   make(chan struct{}),
		pending:  map[uint64]chan struct{}{},
	}
}

// send sends a message and reports whether it was written whole. Most callers need not handle failures: readMessages
// notices the end of the connection, and every wait for a response has a timeout.
func (p *peerProcess) send(m message) bool {
	p.writing.Lock()
	defer p.writing.Unlock()
	line := m.String() + "\n"
	if p.truncated {
		line = "\n" + line // the truncated message must not swallow this one
	}
	_ = p.conn.SetWriteDeadline(time.Now().Add(peerTimeout)) // fails only on a closed connection
	written, err := io.WriteString(p.conn, line)
	if written > 0 {
		p.truncated = err != nil
	}
	return err == nil
}

// socketPath returns a path to a socket in the directory. It is short enough for a socket address even if the path of
// the directory is long.
func (g *ProcessGroup) socketPath(name string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", g.root.Fd(), name)
}

// peerSockets returns the names of the sockets of other processes.
func (g *ProcessGroup) peerSockets() []string {
	entries, _ := os.ReadDir(g.dir) // after an error this process goes on as if it were the first of its group
	var names []string
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasSuffix(name, socketSuffix) && name != g.socketName {
			names = append(names, name)
		}
	}
	return names
}

// joinPeers connects to the other running processes, and waits until each has reduced its share of the limits.
func (g *ProcessGroup) joinPeers() {
	for _, name := range g.peerSockets() {
		conn, err := net.DialTimeout("unix", g.socketPath(name), peerTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			_ = os.Remove(filepath.Join(g.dir, name)) // socket of a killed process; the next process retries
		}
		if err != nil {
			continue
		}
		peer := g.addPeer(conn, name)
		peer.send(message{kind: messageHello})
		select {
		case <-peer.welcomed:
		case <-peer.closed:
		case <-time.After(peerTimeout):
			g.log.Warn("hot restart: another process of this sidecar did not answer in time")
		}
	}
}

// acceptPeers accepts connections from processes that join later, until the listener is closed.
func (g *ProcessGroup) acceptPeers() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.addPeer(conn, "")
	}
}

// addPeer adds a process to the group until its connection ends. name is that of its socket, "" if it is not known.
func (g *ProcessGroup) addPeer(conn net.Conn, name string) *peerProcess {
	peer := newPeerProcess(conn)
	peer.name = name
	g.mu.Lock()
	g.joins++
	peer.joined = g.joins
	g.peers[peer] = struct{}{}
	g.mu.Unlock()
	g.updateShare()
	go g.readMessages(peer)
	return peer
}

// readMessages handles the messages of a process until its connection ends, and then removes it from the group.
func (g *ProcessGroup) readMessages(peer *peerProcess) {
	lines := bufio.NewScanner(peer.conn)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		g.handle(peer, parseMessage(lines.Text()))
	}
	_ = peer.conn.Close() // it has ended already
	g.mu.Lock()
	delete(g.peers, peer)
	g.mu.Unlock()
	close(peer.closed)
	g.updateShare()
}

// handle processes a message. It ignores messages of unknown kinds, which newer versions may send.
func (g *ProcessGroup) handle(peer *peerProcess, m message) {
	if m.kind.isRecent() {
		peer.sharesLists.Store(true)
	}
	switch m.kind {
	case messageHello:
		peer.send(message{kind: messageWelcome}) // the share was reduced when the peer was added
	case messageWelcome:
		peer.welcomeOnce.Do(func() { close(peer.welcomed) })
	case messageApply:
		if g.applyDrained() == nil {
			peer.send(message{messageApplied, m.payload})
		}
	case messageApplied:
		g.confirm(peer, m.sequence())
	case messageStateRequest:
		g.mu.Lock()
		exportState := g.exportState
		g.mu.Unlock()
		peer.send(newState(exportState()))
	case messageState:
		select {
		case peer.states <- []byte(m.payload):
		default: // dropped, because an earlier state has not been read
		}
	case messageListRequest:
		g.handOverUnsaved(peer)
		exportList, _ := g.listFunctions()
		peer.sendList(exportList())
	case messageSaved:
		g.dropUnsaved(m.payload)
	case messageUnsaved:
		g.adoptUnsaved(m.payload)
	case messageList:
		_, importList := g.listFunctions()
		importList([]byte(m.payload))
	}
}

// confirm records that a process has applied a change.
func (g *ProcessGroup) confirm(peer *peerProcess, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if confirmed := peer.pending[sequence]; confirmed != nil {
		close(confirmed)
		delete(peer.pending, sequence)
	}
}
