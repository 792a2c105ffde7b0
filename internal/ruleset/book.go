package ruleset

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// Revision is a version as it was written: what it says, who wrote it, and when.
type Revision struct {
	Number     RevisionNumber `cbor:"1,keyasint"`
	Digest     [32]byte       `cbor:"2,keyasint"`
	Author     string         `cbor:"3,keyasint"`
	ProposedAt int64          `cbor:"4,keyasint"` // Unix time by the clock of whoever took it in, nanoseconds; shown only
	Text       []byte         `cbor:"5,keyasint"`
	RollbackOf RevisionNumber `cbor:"6,keyasint"` // whose text it has again; 0: a text of its own
	Outcome    string         `cbor:"7,keyasint"` // how it ended: "" while it may be in force, "followed", "withdrawn"
	Table      []byte         `cbor:"8,keyasint"` // who has which slot, as policy.Packed writes it, where it names servers
}

// RevisionLog is the agreed order of versions. The group's log is made of calls of its methods, in one order everywhere; the zero value is a book
// without a version, by which each sidecar goes by its own file's rules, number 0.
type RevisionLog struct {
	Revisions []Revision `cbor:"1,keyasint"` // the latest, in order; also such as were withdrawn
	// In force, and coming into force; equal where no change is under way.
	Active     RevisionNumber `cbor:"Old"`
	Next       RevisionNumber `cbor:"New"`
	LastNumber RevisionNumber `cbor:"Last"` // given out
}

// Errors of a book.
var (
	ErrChangeInProgress = errors.New("a change is under way: try again once it is over, or withdraw it")
	ErrNoChange         = errors.New("no change to that version is under way")
)

// keptPages is how many versions a book remembers.
const keptPages = 32

// Propose begins a change to a text. last is the number that its author took for the latest, so that of two who apply at the same moment only one
// changes what both have seen. on is the version in force on whose table its own was dealt. Errors: ErrUnderWay, or that another was first, or
// that the text is in force already.
func (b *RevisionLog) Propose(p Revision, last, on RevisionNumber) error {
	switch is := b.at(b.Active); {
	case b.Active != b.Next:
		return ErrChangeInProgress
	case last != b.LastNumber || on != b.Active:
		return fmt.Errorf("found version %d to be the latest, allowed only on top of the one that was seen, %d", b.LastNumber, last)
	case is != nil && bytes.Equal(is.Text, p.Text):
		return fmt.Errorf("found the text of version %d, which is in force, allowed one that changes something", b.Active)
	}
	b.LastNumber++
	p.Number, p.Digest, p.Outcome = b.LastNumber, sha256.Sum256(p.Text), ""
	b.Next = b.LastNumber
	if b.Revisions = append(b.Revisions, p); len(b.Revisions) > keptPages {
		// What is in force may be far older than the withdrawn ones behind it, and stays.
		at := slices.IndexFunc(b.Revisions, func(p Revision) bool { return p.Outcome != "" })
		b.Revisions = slices.Delete(b.Revisions, at, at+1)
	}
	return nil
}

// ProposeRollback begins a change to the text that a kept version has, as a version of its own.
func (b *RevisionLog) ProposeRollback(to RevisionNumber, p Revision, last, on RevisionNumber) error {
	was := b.at(to)
	if was == nil {
		return fmt.Errorf("found version %d, allowed one of those kept", to)
	}
	p.Text, p.RollbackOf = was.Text, to
	return b.Propose(p, last, on)
}

// Withdraw ends the change to that version while it is under way; the one that was in force stays. Errors: ErrNothing.
func (b *RevisionLog) Withdraw(n RevisionNumber) error {
	if b.Active == b.Next || n != b.Next {
		return ErrNoChange
	}
	b.at(b.Next).Outcome = "withdrawn"
	b.Next = b.Active
	return nil
}

// Complete ends the change to that version: the one before it is in force no more. False where that is not the change under way.
func (b *RevisionLog) Complete(n RevisionNumber) bool {
	if b.Active == b.Next || n != b.Next {
		return false
	}
	if was := b.at(b.Active); was != nil {
		was.Outcome = "followed"
	}
	b.Active = b.Next
	return true
}

// InForce are the pages that a sidecar must know to be granted anything. The one that is no page, 0, is its own file's.
func (b *RevisionLog) InForce() (of []Revision) {
	for _, n := range slices.Compact([]RevisionNumber{b.Active, b.Next}) {
		if p := b.at(n); p != nil {
			of = append(of, *p)
		}
	}
	return of
}

func (b *RevisionLog) at(n RevisionNumber) *Revision {
	if i := slices.IndexFunc(b.Revisions, func(p Revision) bool { return p.Number == n }); i >= 0 {
		return &b.Revisions[i]
	}
	return nil
}
