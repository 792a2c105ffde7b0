package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pepperlead/internal/snapshot"
)

// A change of the drained endpoints that can't be saved is in force in the process that was told it, and in those that
// join it, until one of them can save it.

// saveRetryInterval is the time between attempts to save changes that could not be saved.
const saveRetryInterval = time.Second

// applyUnsaved applies a change that could not be saved, in this process only. It always returns an error. If there is
// a directory, saving is tried again.
func (g *ProcessGroup) applyUnsaved(uid string, drained bool, reason error) error {
	g.addUnsaved(map[string]bool{uid: drained})
	for _, peer := range g.otherProcesses() {
		if peer.sharesLists.Load() {
			peer.sendUnsaved(map[string]bool{uid: drained})
		}
	}
	effect := "in force in this process alone, until it ends, as it cannot be kept"
	if g.unavailable == nil {
		effect = "in force in this process alone, until it can be kept, which is tried again"
	}
	if errors.Is(g.applyDrained(), ErrNotConfirmed) {
		effect = "neither kept nor in force yet: it will be in this process once its loop comes to it"
	}
	return fmt.Errorf("%s: %w", effect, reason)
}

// retryUnsaved saves the changes that could not be saved, once that is possible, and has the other processes apply
// them.
func (g *ProcessGroup) retryUnsaved() {
	for {
		time.Sleep(saveRetryInterval)
		if g.saveUnsaved() {
			return
		}
	}
}

// saveUnsaved tries to save the unsaved changes. It reports whether there is nothing left to do.
func (g *ProcessGroup) saveUnsaved() bool {
	g.changing.Lock()
	defer g.changing.Unlock()
	g.mu.Lock()
	unsaved := maps.Clone(g.unsaved)
	if g.closed || len(unsaved) == 0 {
		g.retrying = false
		g.mu.Unlock()
		return true
	}
	_, savedElsewhere := g.peers[g.savedBy]
	g.mu.Unlock()
	if savedElsewhere {
		return false
	}
	for _, uid := range slices.Sorted(maps.Keys(unsaved)) {
		if err := g.saveDrained(uid, unsaved[uid]); err != nil {
			return false
		}
		g.log.WithField("endpoint", uid).Info("a change that could not be kept is kept now")
		g.announce(uid)
	}
	_ = g.applyDrained() // logs its own failures
	return false
}

// addUnsaved adds changes that could not be saved, by uid whether the endpoint is drained. If there is a directory,
// saving is tried again.
func (g *ProcessGroup) addUnsaved(changes map[string]bool) {
	g.mu.Lock()
	maps.Copy(g.unsaved, changes)
	retry := g.unavailable == nil && !g.retrying && len(g.unsaved) > 0
	g.retrying = g.retrying || retry
	g.mu.Unlock()
	if retry {
		go g.retryUnsaved()
	}
}

// dropUnsaved forgets an unsaved change of an endpoint, because another process has saved a later one.
func (g *ProcessGroup) dropUnsaved(uid string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unsaved, uid)
}

// handOverUnsaved sends a process that has joined later the changes that are not saved, as it has read the file only.
// That process saves them from now on. If both did, one could save a change again that has been undone meanwhile.
func (g *ProcessGroup) handOverUnsaved(peer *peerProcess) {
	g.addUnsaved(g.lostDrains())
	g.mu.Lock()
	unsaved := maps.Clone(g.unsaved)
	g.savedBy = peer
	g.mu.Unlock()
	if len(unsaved) > 0 {
		peer.sendUnsaved(unsaved)
	}
}

// sendUnsaved sends changes that are not saved, by uid whether the endpoint is drained.
func (p *peerProcess) sendUnsaved(changes map[string]bool) {
	encoded, _ := json.Marshal(changes) // can't fail for these types
	p.send(message{messageUnsaved, string(encoded)})
}

// lostDrains returns the drained endpoints in force if the file that had them has gone or is damaged.
func (g *ProcessGroup) lostDrains() map[string]bool {
	g.applying.Lock()
	defer g.applying.Unlock()
	_, err := g.store.Get(drainedFile, drainedKind, drainedVersion)
	if err == nil || len(g.applied) == 0 {
		return nil
	}
	if !errors.Is(err, snapshot.ErrNotFound) {
		g.log.WithError(err).Error("drained endpoints cannot be read, keeping those in force")
	}
	lost := map[string]bool{}
	for _, uid := range g.applied {
		lost[uid] = true
	}
	return lost
}

// adoptUnsaved puts the changes in force that another process could not save. Changes that this process has been told
// itself are later ones.
func (g *ProcessGroup) adoptUnsaved(encoded string) {
	var changes map[string]bool
	if err := json.Unmarshal([]byte(encoded), &changes); err != nil {
		g.log.WithError(err).Error("hot restart: unsaved changes of the other process cannot be decoded, ignored")
		return
	}
	g.mu.Lock()
	for uid := range g.unsaved {
		delete(changes, uid)
	}
	g.mu.Unlock()
	g.addUnsaved(changes)
	_ = g.applyDrained() // logs its own failures
}
