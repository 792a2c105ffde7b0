// Package hotrestart lets the processes of one sidecar, an old version and the one that replaces it, act as one. The
// processes share a directory: it holds the endpoints that an operator has drained, and a socket of each process, over
// which they agree on how many they are, confirm changes of drained endpoints and pass learned state on.
package hotrestart

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/snapshot"
)

// Descriptors is how many file descriptors a process group takes: the directory, the socket, the file of drained
// endpoints and its lock, and connections to two other processes.
const Descriptors = 6

// Permissions of the shared directory.
const (
	directoryMode    = 0o700
	writableByOthers = 0o022 // permission bits that the directory must not have
)

// ProcessGroup is the group of processes of one sidecar, seen by one of them.
type ProcessGroup struct {
	dir        string
	root       *os.File // the open directory
	socketName string
	listener   net.Listener
	store      snapshot.Store
	log        *logrus.Logger

	// unavailable is why there is no directory. The process is alone then, and can save nothing. nil: there is one.
	unavailable error

	changing sync.Mutex // held while an operator's change is under way, so that there is one at a time

	// applying is held while drained endpoints are read and applied, so that the latest file is applied last.
	applying sync.Mutex
	applied  []string // the drained endpoints last applied; guarded by applying

	mu           sync.Mutex
	setDrained   func(uids []string) bool
	exportState  func() []byte
	setProcesses func(processes int)
	unsaved      map[string]bool // changes in force in this process alone, by uid, as they could not be saved
	peers        map[*peerProcess]struct{}
	sequence     uint64 // of the last change that the peers were asked to apply
	closed       bool
}

// Directory returns the directory in which the processes of a sidecar meet. Sidecars differ in name or address.
func Directory(name, listen string) string {
	hash := xxhash.Sum64String(name + "\x00" + listen)
	return filepath.Join(os.TempDir(), fmt.Sprintf("pepperlead-%016x", hash))
}

// Join opens the directory and connects to the processes that are running.
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
		unsaved:      map[string]bool{},
		peers:        map[*peerProcess]struct{}{},
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: g.socketPath(g.socketName), Net: "unix"})
	if err != nil {
		return nil, errors.Join(err, root.Close())
	}
	listener.SetUnlinkOnClose(false) // its path is of this process alone; Close removes the file
	g.listener = listener
	g.joinPeers()
	return g, nil
}

// openDirectory opens the directory, and creates it if need be. A directory that other users may write to is rejected:
// they could drain endpoints.
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
		return nil, fmt.Errorf("%s: found a folder that others may write to, allowed one of this user alone", dir)
	}
	return os.Open(dir)
}

// Standalone returns a group of this process alone, for when Join has failed with a reason. Drained endpoints are in
// force in it, but can't be saved.
func Standalone(reason error, log *logrus.Logger) *ProcessGroup {
	return &ProcessGroup{unavailable: reason, log: log, unsaved: map[string]bool{}}
}

// Serve starts to apply changes and to answer other processes. setDrained has the process drain these endpoints and no
// others, and reports whether they are in force. exportState returns the learned state on a single line, or nil if
// there is none now. setProcesses has the process keep to its share of the limits. Only setProcesses must not block.
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
		_ = g.applyDrained() // catches up with changes since Drained; logs its failures
		g.acceptPeers()
	}()
}

// Processes returns how many processes the group has, this one included.
func (g *ProcessGroup) Processes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.peers)
}

// LearnedStates returns the learned states of the other processes that answer in time.
func (g *ProcessGroup) LearnedStates() [][]byte {
	g.mu.Lock()
	peers := slices.Collect(maps.Keys(g.peers))
	g.mu.Unlock()
	var states [][]byte
	timeout := time.After(peerTimeout)
	for _, peer := range peers {
		peer.send(message{kind: messageStateRequest})
		select {
		case state := <-peer.states:
			if len(state) > 0 {
				states = append(states, state)
			}
		case <-peer.closed:
		case <-timeout:
			return states
		}
	}
	return states
}

// Close leaves the group. Failures are ignored: the process ends, and the next one removes a socket that is left.
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

// updateShare tells the process how many share the limits.
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
