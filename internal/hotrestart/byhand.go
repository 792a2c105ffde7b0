package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pepperlead/internal/snapshot"
)

// Drained are the servers that are out by hand. What cannot be read is left beside, and none is out by it.
func (k *ProcessGroup) Drained() ([]string, error) {
	uids, err := k.read()
	if err == nil {
		return uids, nil
	}
	// Only whoever holds the lock may set it beside: what another has just written in its place would go with it.
	lock, err := k.lock()
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	return k.readOrLeave(nil)
}

// read gives what is kept.
func (k *ProcessGroup) read() ([]string, error) {
	if k.why != nil {
		return nil, nil
	}
	body, err := k.store.Get(kept, keptKind, keptVersion)
	if errors.Is(err, snapshot.ErrNotFound) {
		return nil, nil
	}
	return strings.Fields(string(body)), err
}

// readOrLeave is read by whoever holds the lock: damaged, or of another version, the file is put beside for whoever wants to
// look, so that it is not in the way of the next change, and what is told counts in its place.
func (k *ProcessGroup) readOrLeave(stand []string) ([]string, error) {
	uids, err := k.read()
	if err == nil {
		return uids, nil
	}
	k.log.WithError(err).WithField("in_its_place", len(stand)).Error("servers out by hand: what was kept cannot be read and is left beside")
	return stand, os.Rename(filepath.Join(k.dir, kept), filepath.Join(k.dir, kept+".unread"))
}

// SetDrained takes a server out or back, for all processes: it is kept, then obeyed here, then by the others. An error says how far
// that came.
func (k *ProcessGroup) SetDrained(uid string, out bool) error {
	k.change.Lock()
	defer k.change.Unlock()
	err := k.keep(uid, out)
	k.mu.Lock()
	if err != nil {
		// The disk is full, say: a server that must not be used is still taken out, here.
		k.alone[uid] = out
		k.mu.Unlock()
		if errors.Is(k.look(), ErrNotConfirmed) {
			return fmt.Errorf("neither kept nor in force yet: it will be in this process once its loop comes to it: %w", err)
		}
		return fmt.Errorf("in force in this process alone, until it ends, as it cannot be kept: %w", err)
	}
	delete(k.alone, uid)
	k.asked++
	no, waits := k.asked, map[*other]chan struct{}{}
	for o := range k.others {
		waits[o] = make(chan struct{})
		o.done[no] = waits[o]
	}
	k.mu.Unlock()
	for o := range waits {
		k.say(o, "look "+strconv.FormatUint(no, 10))
	}
	late := time.After(obeyIn)
	if k.look() != nil {
		return ErrNotConfirmed
	}
	for o, done := range waits {
		select {
		case <-done:
		case <-o.gone:
		case <-late:
			return ErrNotConfirmed
		}
	}
	return nil
}

// lock keeps other processes from the file, until it is closed.
func (k *ProcessGroup) lock() (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(k.dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockIn); ; time.Sleep(5 * time.Millisecond) {
		if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return lock, nil
		} else if time.Now().After(end) {
			lock.Close()
			return nil, fmt.Errorf("another process holds the list of servers out by hand: %w", err)
		}
	}
}

// keep changes the file, with no other process at it. A file that has come to harm loses no ban that is in force here.
func (k *ProcessGroup) keep(uid string, out bool) error {
	if k.why != nil {
		return k.why
	}
	lock, err := k.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	k.obeying.Lock()
	stand := k.inForce
	k.obeying.Unlock()
	uids, err := k.readOrLeave(stand)
	if err != nil {
		return err
	}
	return k.store.Put(kept, keptKind, keptVersion, []byte(strings.Join(with(uids, uid, out), "\n")))
}

// with is the list with that server on it, or without.
func with(uids []string, uid string, out bool) []string {
	uids = slices.DeleteFunc(slices.Clone(uids), func(one string) bool { return one == uid })
	if out {
		uids = append(uids, uid)
	}
	return uids
}
