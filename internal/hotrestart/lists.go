package hotrestart

import (
	"cmp"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"pepperlead/internal/snapshot"
)

// The file of the endpoint list that the processes of the group were told last.
const (
	listFile    = "endpoint-list"
	listKind    = "endpoint-list"
	listVersion = 1
	// listLockFile is the lock on the file, which is held while it is replaced.
	listLockFile = "endpoint-list-lock"
)

// ShareLists sets the functions that hand over endpoint lists. exportList returns the encoded list of this process on a
// single line, or nil if it has none. importList takes over the list of another process. Both may block. ShareLists
// must be called before Serve.
func (g *ProcessGroup) ShareLists(exportList func() []byte, importList func(list []byte)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exportList = exportList
	g.importList = importList
}

func (g *ProcessGroup) listFunctions() (exportList func() []byte, importList func(list []byte)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exportList, g.importList
}

// RequestLists asks the other processes for their endpoint lists. It doesn't wait for the answers. Processes of earlier
// versions don't answer.
func (g *ProcessGroup) RequestLists() {
	for _, peer := range g.otherProcesses() {
		peer.send(message{kind: messageListRequest})
	}
}

// SendList sends the endpoint list of this process to the other processes, and reports whether it was sent to all.
func (g *ProcessGroup) SendList(list []byte) bool {
	sent := true
	for _, peer := range g.otherProcesses() {
		sent = peer.sendList(list) && sent
	}
	return sent
}

// sendList sends an endpoint list. One that is too long for a message is not sent; it is in the file.
func (p *peerProcess) sendList(list []byte) bool {
	m := newList(list)
	return len(m.String()) >= maxLineSize || p.send(m)
}

// otherProcesses returns the other processes of the group, in the order in which they have started.
func (g *ProcessGroup) otherProcesses() []*peerProcess {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.SortedFunc(maps.Keys(g.peers), compareStarts)
}

// compareStarts orders processes by their starts. Those that have joined later than this one have no name and are the
// last ones. The names of the others end with the time of their starts, all with the same number of digits.
func compareStarts(a, b *peerProcess) int {
	if a.name == "" || b.name == "" {
		return cmp.Or(-cmp.Compare(a.name, b.name), cmp.Compare(a.joined, b.joined))
	}
	_, startA, _ := strings.Cut(a.name, "-")
	_, startB, _ := strings.Cut(b.name, "-")
	return cmp.Or(cmp.Compare(startA, startB), cmp.Compare(a.joined, b.joined))
}

// Name returns the name of this process in the group. It is "" if there is no directory.
func (g *ProcessGroup) Name() string { return g.socketName }

// IsServing reports whether the process of that name is another one of the group. It returns false for a process that
// has joined later than this one, whose name is not known.
func (g *ProcessGroup) IsServing(name string) bool {
	named := func(peer *peerProcess) bool { return peer.name == name }
	return name != "" && slices.ContainsFunc(g.otherProcesses(), named)
}

// SaveList saves the endpoint list for processes that start later. If that fails, it removes the list that was saved
// before, so that no process takes it for the latest one.
func (g *ProcessGroup) SaveList(list []byte) error {
	if g.unavailable != nil {
		return g.unavailable
	}
	unlock, err := g.lock(listLockFile)
	if err != nil {
		return err
	}
	defer unlock()
	// After a power failure no process is left to which the list matters.
	store := snapshot.Store{Dir: g.dir, Unsynced: true}
	err = store.Put(listFile, listKind, listVersion, list)
	if err == nil {
		return nil
	}
	removeErr := os.Remove(filepath.Join(g.dir, listFile))
	if errors.Is(removeErr, os.ErrNotExist) {
		removeErr = nil
	}
	return errors.Join(err, removeErr)
}

// SavedList returns the endpoint list that was saved last, or nil if there is none. An error reports a file that is
// damaged, is of another version or can't be read.
func (g *ProcessGroup) SavedList() ([]byte, error) {
	if g.unavailable != nil {
		return nil, g.unavailable
	}
	list, err := g.store.Get(listFile, listKind, listVersion)
	if errors.Is(err, snapshot.ErrNotFound) {
		return nil, nil
	}
	return list, err
}
