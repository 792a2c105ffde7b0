package ruleset

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// maxRevisions is the maximum number of revisions that a log keeps.
const maxRevisions = 32

// Outcomes of a revision. A revision that is in force or may come into force has none.
const (
	outcomeFollowed  = "followed" // replaced by a later revision
	outcomeWithdrawn = "withdrawn"
)

// Errors of changes to a revision log.
var (
	ErrChangeInProgress = errors.New("a change is in progress: retry after it completes, or withdraw it")
	ErrNoChange         = errors.New("no change to that revision is in progress")
)

// Revision is one revision of the settings as its author submitted it.
type Revision struct {
	Number     RevisionNumber `cbor:"1,keyasint"`
	Digest     [32]byte       `cbor:"2,keyasint"` // SHA-256 of Text
	Author     string         `cbor:"3,keyasint"`
	ProposedAt int64          `cbor:"4,keyasint"` // Unix time in nanoseconds on the leader's clock; for display only
	Text       []byte         `cbor:"5,keyasint"`
	RollbackOf RevisionNumber `cbor:"6,keyasint"` // the revision whose text it reuses; 0: none
	Outcome    string         `cbor:"7,keyasint"` // outcomeFollowed, outcomeWithdrawn or empty
	Table      []byte         `cbor:"8,keyasint"` // slot assignment by policy.EncodeTable; empty without endpoints
}

// RevisionLog is the agreed order of revisions. It is a replicated state machine: every coordinator applies the same
// calls in the same order. The zero value has no revision, and each instance then uses the rules of its own settings
// file, number 0.
type RevisionLog struct {
	Revisions []Revision `cbor:"1,keyasint"` // the latest revisions in order, withdrawn ones included
	// Active is the revision in force, and Next the one coming into force. They are equal unless a change is in
	// progress.
	Active     RevisionNumber `cbor:"Old"`
	Next       RevisionNumber `cbor:"New"`
	LastNumber RevisionNumber `cbor:"Last"` // the highest number assigned so far
}

// Propose begins a change to a revision. last is the latest revision that the author of the proposal knew, so of two
// concurrent proposals only the first succeeds. base is the revision that was active when the slot assignment of the
// proposal was derived from that of the active revision; the proposal fails if another one is active by now.
func (l *RevisionLog) Propose(revision Revision, last, base RevisionNumber) error {
	if l.Active != l.Next {
		return ErrChangeInProgress
	}
	if last != l.LastNumber || base != l.Active {
		return fmt.Errorf("proposal is out of date: the latest revision is %d, the author knew %d", l.LastNumber, last)
	}
	if active := l.find(l.Active); active != nil && bytes.Equal(active.Text, revision.Text) {
		return fmt.Errorf("proposal has the same text as revision %d, which is in force", l.Active)
	}
	l.LastNumber++
	revision.Number = l.LastNumber
	revision.Digest = sha256.Sum256(revision.Text)
	revision.Outcome = ""
	l.Next = revision.Number
	l.Revisions = append(l.Revisions, revision)
	l.trim()
	return nil
}

// trim removes the oldest revision that has an outcome if there are more than maxRevisions. The active revision stays,
// although it may be much older than the withdrawn ones after it.
func (l *RevisionLog) trim() {
	if len(l.Revisions) <= maxRevisions {
		return
	}
	oldest := slices.IndexFunc(l.Revisions, func(revision Revision) bool { return revision.Outcome != "" })
	l.Revisions = slices.Delete(l.Revisions, oldest, oldest+1)
}

// ProposeRollback begins a change to a new revision that has the text of an earlier one.
func (l *RevisionLog) ProposeRollback(target RevisionNumber, revision Revision, last, base RevisionNumber) error {
	earlier := l.find(target)
	if earlier == nil {
		return fmt.Errorf("revision %d is not in the revision log", target)
	}
	revision.Text = earlier.Text
	revision.RollbackOf = target
	return l.Propose(revision, last, base)
}

// Withdraw cancels the change in progress to a revision; the active revision stays in force. It returns ErrNoChange if
// there is no such change.
func (l *RevisionLog) Withdraw(number RevisionNumber) error {
	if l.Active == l.Next || number != l.Next {
		return ErrNoChange
	}
	l.find(l.Next).Outcome = outcomeWithdrawn
	l.Next = l.Active
	return nil
}

// Complete finishes the change in progress to a revision, which becomes the only one in force. It reports false if
// there is no such change.
func (l *RevisionLog) Complete(number RevisionNumber) bool {
	if l.Active == l.Next || number != l.Next {
		return false
	}
	if previous := l.find(l.Active); previous != nil {
		previous.Outcome = outcomeFollowed
	}
	l.Active = l.Next
	return true
}

// InForce returns the revisions that an instance must know before it is issued a lease: the active one and, during a
// change, the next one. Number 0 has no entry in the log and is left out.
func (l *RevisionLog) InForce() []Revision {
	var revisions []Revision
	for _, number := range slices.Compact([]RevisionNumber{l.Active, l.Next}) {
		if revision := l.find(number); revision != nil {
			revisions = append(revisions, *revision)
		}
	}
	return revisions
}

// find returns the revision with the given number, or nil if it isn't in the log.
func (l *RevisionLog) find(number RevisionNumber) *Revision {
	i := slices.IndexFunc(l.Revisions, func(revision Revision) bool { return revision.Number == number })
	if i < 0 {
		return nil
	}
	return &l.Revisions[i]
}
