// Package hotrestart coordinates the processes of one sidecar during a hot restart: an old version and the one that
// replaces it. The processes share a directory, which holds the endpoints that an operator has drained and a socket for
// each process. Over the sockets they count the processes that share the sidecar's limits, confirm changes of the
// drained endpoints, and hand over their endpoint lists and learned state. The directory also holds the endpoint list
// for a process whose predecessor can't hand it over any more.
package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/snapshot"
)

// Descriptors is the number of file descriptors that a process group takes: the directory, the socket, a file that is
// being replaced and its lock, and connections to two other processes.
const Descriptors = 6

// Permissions of the shared directory.
const (
	directoryMode    = 0o700
	writableByOthers = 0o022 // permission bits that the directory must not have
)

// ProcessGroup is the group of processes of one sidecar, from the point of view of one of them.
type ProcessGroup struct {
	dir        string
	root       *os.File // the open directory
	socketName string
	listener   net.Listener
	store      snapshot.Store
	log        *logrus.Logger

	// unavailable is the reason why there is no directory, or nil if there is one. Without a directory the process is
	// alone in its group and can't save changes.
	unavailable error

	replacing sync.Mutex // held while a file is replaced, so that only one is open at a time

	changing sync.Mutex // held while SetDrained makes an operator's change, so that there is only one at a time

	// applying is held while drained endpoints are read and applied, so that the latest file is applied last.
	applying sync.Mutex
	applied  []string // the drained endpoints last applied; guarded by applying

	mu           sync.Mutex
	setDrained   func(uids []string) bool
	exportState  func() []byte
	setProcesses func(processes int)
	exportList   func() []byte
	importList   func(list []byte)
	unsaved      map[string]bool // changes that are not saved, in force in this process only; by uid: whether drained
	retrying     bool            // a goroutine tries to save the unsaved changes
	savedBy      *peerProcess    // the process that saves the unsaved changes, as long as it runs; nil: this one
	peers        map[*peerProcess]struct{}
	sequence     uint64 // number of the last change that the peers were asked to apply
	joins        uint64 // number of processes that were added to peers
	closed       bool
}

// Directory returns the directory that the processes of a sidecar share. It differs between sidecars that differ in
// name or listen address.
func Directory(name, listen string) string {
	hash := xxhash.Sum64String(name + "\x00" + listen)
	return filepath.Join(os.TempDir(), fmt.Sprintf("pepperlead-%016x", hash))
}

// Join opens the directory and connects to the other running processes of the sidecar.
func Join(dir string, log *logrus.Logger) (*ProcessGroup, error) {
	root, err := openDirectory(dir)
	if err != nil {
		return nil, err
	}
	g := &ProcessGroup{
		dir:          dir,
		root:         root,
		socketName:   fmt.Sprintf("%d-%x%s", os.Getpid(), time.Now().UnixNano(), socketSuffix),
		store:        snapshot.Store{Dir: dir},
		log:          log,
		setDrained:   func([]string) bool { return true },
		exportState:  func() []byte { return nil },
		setProcesses: func(int) {},
		exportList:   func() []byte { return nil },
		importList:   func([]byte) {},
		unsaved:      map[string]bool{},
		peers:        map[*peerProcess]struct{}{},
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: g.socketPath(g.socketName), Net: "unix"})
	if err != nil {
		return nil, errors.Join(err, root.Close())
	}
	listener.SetUnlinkOnClose(false) // the path is valid in this process only; Close removes the file
	g.listener = listener
	g.joinPeers()
	return g, nil
}

// openDirectory opens the directory, and creates it if it doesn't exist. It rejects a directory that other users may
// write to, because they could drain endpoints.
func openDirectory(dir string) (*os.File, error) {
	if err := os.Mkdir(dir, directoryMode); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, err
	}
	info, err := os.Lstat(dir)
	if err != nil {
		return nil, err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok || !info.IsDir() || info.Mode().Perm()&writableByOthers != 0 || stat.Uid != uint32(os.Geteuid()) {
		return nil, fmt.Errorf("%s: not a directory that only this user owns and can write to", dir)
	}
	return os.Open(dir)
}

// Standalone returns a group of this process only, for use after Join has failed for the given reason. Drained
// endpoints are in force in this process, but can't be saved.
func Standalone(reason error, log *logrus.Logger) *ProcessGroup {
	return &ProcessGroup{unavailable: reason, log: log, unsaved: map[string]bool{}}
}

// Serve starts applying changes and answering other processes. setDrained makes the process drain exactly the given
// endpoints and reports whether the change is in force. exportState returns the learned state on a single line, or nil
// if there is none now. setProcesses makes the process limit itself to its share of the limits among the given number
// of processes. setProcesses must not block, while setDrained and exportState may.
func (g *ProcessGroup) Serve(
	setDrained func(uids []string) bool, exportState func() []byte, setProcesses func(processes int),
) {
	g.mu.Lock()
	g.setDrained = setDrained
	g.exportState = exportState
	g.setProcesses = setProcesses
	g.mu.Unlock()
	g.updateShare()
	if g.unavailable != nil {
		return
	}
	go func() {
		_ = g.applyDrained() // applies changes made since the caller called Drained; logs its own failures
		g.acceptPeers()
	}()
}

// Processes returns the number of processes in the group, this one included.
func (g *ProcessGroup) Processes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.peers)
}

// LearnedStates returns the learned states of those other processes that answer within peerTimeout, in the order in
// which the processes have started. complete says whether all of them have answered.
func (g *ProcessGroup) LearnedStates() (states [][]byte, complete bool) {
	peers := g.otherProcesses()
	for _, peer := range peers {
		peer.send(message{kind: messageStateRequest})
	}
	timeout := make(chan struct{})
	timer := time.AfterFunc(peerTimeout, func() { close(timeout) })
	defer timer.Stop()
	complete = true
	for _, peer := range peers {
		state, answered := peer.state(timeout)
		complete = complete && answered
		if len(state) > 0 {
			states = append(states, state)
		}
	}
	return states, complete
}

// state returns the learned state that the process sends before the timeout. A process that has ended owes none.
func (p *peerProcess) state(timeout <-chan struct{}) (state []byte, answered bool) {
	select {
	case state = <-p.states:
		return state, len(state) > 0
	case <-p.closed:
	case <-timeout:
	}
	select {
	case state = <-p.states: // sent right before the end of the process or of the time
		return state, len(state) > 0
	default:
		return nil, false
	}
}

// Close leaves the group. It ignores failures, because the process ends and the next one removes a stale socket.
func (g *ProcessGroup) Close() {
	if g.unavailable != nil {
		return
	}
	g.mu.Lock()
	g.closed = true
	for peer := range g.peers {
		_ = peer.conn.Close()
	}
	g.mu.Unlock()
	_ = os.Remove(filepath.Join(g.dir, g.socketName))
	_ = g.listener.Close()
	_ = g.root.Close()
}

// updateShare calls setProcesses with the number of processes that share the limits.
func (g *ProcessGroup) updateShare() {
	g.mu.Lock()
	setProcesses := g.setProcesses
	processes := 1 + len(g.peers)
	closed := g.closed
	g.mu.Unlock()
	if !closed {
		setProcesses(processes)
	}
}
