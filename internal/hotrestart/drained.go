package hotrestart

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pepperlead/internal/snapshot"
)

// The file of drained endpoints has one uid per line. Processes of other versions read it too.
const (
	drainedFile    = "out-by-hand"
	drainedKind    = "out-by-hand"
	drainedVersion = 1
	// unreadableSuffix is appended to the name of a file that can't be read, when it is moved aside.
	unreadableSuffix = ".unread"
)

// lockFile is the lock on the file of drained endpoints.
const lockFile = "lock"

// confirmTimeout is how long the other processes may take to confirm a change.
const confirmTimeout = 350 * time.Millisecond

// ErrNotConfirmed reports that a process of the group has not applied a saved change in time. The process applies it
// once its event loop is free.
var ErrNotConfirmed = errors.New("kept, but not every process of this sidecar has said in time that it is in force")

// Drained returns the uids of the drained endpoints. A file that can't be read is moved aside, and then no endpoint is
// drained.
func (g *ProcessGroup) Drained() ([]string, error) {
	uids, err := g.readDrained()
	if err == nil {
		return uids, nil
	}
	// Read again under the lock: another process may have replaced the file meanwhile, and the new one must stay.
	unlock, err := g.lock(lockFile)
	if err != nil {
		return nil, err
	}
	defer unlock()
	return g.readOrQuarantine(nil)
}

// SetDrained drains an endpoint, or stops draining it, in all processes of the group. The change is saved, then applied
// by this process and by the others. An error says how far the change got.
func (g *ProcessGroup) SetDrained(uid string, drained bool) error {
	g.changing.Lock()
	defer g.changing.Unlock()
	if err := g.saveDrained(uid, drained); err != nil {
		return g.applyUnsaved(uid, drained, err)
	}
	confirmations := g.announce(uid)
	timeout := time.After(confirmTimeout)
	if g.applyDrained() != nil {
		return ErrNotConfirmed
	}
	for peer, confirmed := range confirmations {
		select {
		case <-confirmed:
		case <-peer.closed:
		case <-timeout:
			return ErrNotConfirmed
		}
	}
	return nil
}

// announce asks the other processes to apply a saved change of an endpoint. It returns, for each of them, a channel
// that is closed once that process has applied the change.
func (g *ProcessGroup) announce(uid string) map[*peerProcess]chan struct{} {
	sequence, confirmations := g.beginChange(uid)
	for peer := range confirmations {
		if peer.sharesLists.Load() {
			peer.send(message{messageSaved, uid})
		}
		peer.send(newApply(sequence))
	}
	return confirmations
}

// beginChange registers a saved change of an endpoint. It returns the sequence number of the change and, for each other
// process, a channel that is closed once that process has applied the change.
func (g *ProcessGroup) beginChange(uid string) (uint64, map[*peerProcess]chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unsaved, uid)
	g.sequence++
	confirmations := map[*peerProcess]chan struct{}{}
	for peer := range g.peers {
		confirmations[peer] = make(chan struct{})
		peer.pending[g.sequence] = confirmations[peer]
	}
	return g.sequence, confirmations
}

// applyDrained makes this process drain the saved endpoints, modified by the unsaved changes. If the file can't be
// read, it uses the endpoints that were applied last instead of the saved ones.
func (g *ProcessGroup) applyDrained() error {
	g.applying.Lock()
	defer g.applying.Unlock()
	uids, err := g.readDrained()
	if err != nil {
		g.log.WithError(err).Error("drained endpoints cannot be read, keeping those in force")
		uids = g.applied
	}
	g.mu.Lock()
	for _, uid := range slices.Sorted(maps.Keys(g.unsaved)) {
		uids = withEndpoint(uids, uid, g.unsaved[uid])
	}
	setDrained := g.setDrained
	g.mu.Unlock()
	g.applied = uids
	if !setDrained(uids) {
		return ErrNotConfirmed
	}
	return err
}

// saveDrained saves a change to the file, under the lock. If the file can't be read, it saves the change on top of the
// endpoints that this process last applied.
func (g *ProcessGroup) saveDrained(uid string, drained bool) error {
	if g.unavailable != nil {
		return g.unavailable
	}
	unlock, err := g.lock(lockFile)
	if err != nil {
		return err
	}
	defer unlock()
	g.applying.Lock()
	applied := g.applied
	g.applying.Unlock()
	uids, err := g.readOrQuarantine(applied)
	if err != nil {
		return err
	}
	body := strings.Join(withEndpoint(uids, uid, drained), "\n")
	return g.store.Put(drainedFile, drainedKind, drainedVersion, []byte(body))
}

// readDrained reads the file. If there is none, no endpoint is drained.
func (g *ProcessGroup) readDrained() ([]string, error) {
	if g.unavailable != nil {
		return nil, nil
	}
	body, err := g.store.Get(drainedFile, drainedKind, drainedVersion)
	if errors.Is(err, snapshot.ErrNotFound) {
		return nil, nil
	}
	return strings.Fields(string(body)), err
}

// readOrQuarantine reads the file; the caller holds the lock. If the file is damaged or of another version, it is
// renamed so that the next change can be saved and an operator can inspect the file, and the fallback is returned.
func (g *ProcessGroup) readOrQuarantine(fallback []string) ([]string, error) {
	uids, err := g.readDrained()
	if err == nil {
		return uids, nil
	}
	g.log.WithError(err).WithField("in_its_place", len(fallback)).
		Error("drained endpoints cannot be read, the file is renamed")
	path := filepath.Join(g.dir, drainedFile)
	return fallback, os.Rename(path, path+unreadableSuffix)
}

// withEndpoint returns a copy of the list that ends with the endpoint if it is drained, and lacks it otherwise.
func withEndpoint(uids []string, uid string, drained bool) []string {
	changed := slices.DeleteFunc(slices.Clone(uids), func(other string) bool { return other == uid })
	if drained {
		changed = append(changed, uid)
	}
	return changed
}
