package hotrestart

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"pepperlead/internal/snapshot"
)

// The file of drained endpoints: a uid a line. Other builds read it too.
const (
	drainedFile    = "out-by-hand"
	drainedKind    = "out-by-hand"
	drainedVersion = 1
	// unreadableSuffix is appended to the name of a file that can't be read when it is moved out of the way.
	unreadableSuffix = ".unread"
)

// The lock on the file of drained endpoints.
const (
	lockFile          = "lock"
	lockMode          = 0o600
	lockTimeout       = 200 * time.Millisecond
	lockRetryInterval = 5 * time.Millisecond
)

// confirmTimeout is how long the other processes may take to confirm a change.
const confirmTimeout = 350 * time.Millisecond

// ErrNotConfirmed reports that a process of the group has not applied a saved change in time. It does so once its event
// loop gets to it.
var ErrNotConfirmed = errors.New("kept, but not every process of this sidecar has said in time that it is in force")

// Drained returns the uids of the drained endpoints. A file that can't be read is moved out of the way, and drains
// none.
func (g *ProcessGroup) Drained() ([]string, error) {
	uids, err := g.readDrained()
	if err == nil {
		return uids, nil
	}
	// Read again under the lock: by now another process may have replaced the file by one that must stay.
	unlock, err := g.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	return g.readOrQuarantine(nil)
}

// SetDrained drains an endpoint, or ends that, in all processes of the group: the change is saved, then applied here
// and by the others. An error tells how far the change came.
func (g *ProcessGroup) SetDrained(uid string, drained bool) error {
	g.changing.Lock()
	defer g.changing.Unlock()
	if err := g.saveDrained(uid, drained); err != nil {
		return g.applyUnsaved(uid, drained, err)
	}
	sequence, confirmations := g.beginChange(uid)
	for peer := range confirmations {
		peer.send(newApply(sequence))
	}
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

// applyUnsaved applies a change in this process alone, as it could not be saved. It always returns an error.
func (g *ProcessGroup) applyUnsaved(uid string, drained bool, reason error) error {
	g.mu.Lock()
	g.unsaved[uid] = drained
	g.mu.Unlock()
	effect := "in force in this process alone, until it ends, as it cannot be kept"
	if errors.Is(g.applyDrained(), ErrNotConfirmed) {
		effect = "neither kept nor in force yet: it will be in this process once its loop comes to it"
	}
	return fmt.Errorf("%s: %w", effect, reason)
}

// beginChange starts the change of an endpoint that was saved. It returns the sequence number of the change, and for
// each other process a channel that is closed once that process has applied it.
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

// applyDrained has this process drain the saved endpoints, changed by what could not be saved. If the file can't be
// read, what is in force stays.
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

// saveDrained changes the file under the lock. If the file can't be read, the endpoints in force here are saved
// instead.
func (g *ProcessGroup) saveDrained(uid string, drained bool) error {
	if g.unavailable != nil {
		return g.unavailable
	}
	unlock, err := g.lock()
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

// readDrained reads the file. Without one, no endpoint is drained.
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

// readOrQuarantine reads the file under the lock. A file that is damaged or of another version is renamed, out of the
// way of the next change, where an operator can look at it, and the fallback is returned.
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

// lock keeps other processes from changing the file until unlock is called.
func (g *ProcessGroup) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(g.dir, lockFile), os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(lockTimeout)
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = file.Close() }, nil // closing releases the lock, even where it reports an error
		}
		if time.Now().After(deadline) {
			err = fmt.Errorf("another process holds the list of servers out by hand: %w", err)
			return nil, errors.Join(err, file.Close())
		}
		time.Sleep(lockRetryInterval)
	}
}

// withEndpoint returns a copy of the list with an endpoint at its end, or without that endpoint.
func withEndpoint(uids []string, uid string, drained bool) []string {
	changed := slices.DeleteFunc(slices.Clone(uids), func(other string) bool { return other == uid })
	if drained {
		changed = append(changed, uid)
	}
	return changed
}
