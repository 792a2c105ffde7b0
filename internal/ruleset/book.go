package ruleset

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// Page is a version as it was written: what it says, who wrote it, and when.
type Page struct {
	Number Number   `cbor:"1,keyasint"`
	Digest [32]byte `cbor:"2,keyasint"`
	Author string   `cbor:"3,keyasint"`
	At     int64    `cbor:"4,keyasint"` // Unix time by the clock of whoever took it in, nanoseconds; shown only
	Text   []byte   `cbor:"5,keyasint"`
	From   Number   `cbor:"6,keyasint"` // whose text it has again; 0: a text of its own
	Over   string   `cbor:"7,keyasint"` // how it ended: "" while it may be in force, "followed", "withdrawn"
	Table  []byte   `cbor:"8,keyasint"` // who has which slot, as policy.Packed writes it, where it names servers
}

// Book is the agreed order of versions. The group's log is made of calls of its methods, in one order everywhere; the zero value is a book
// without a version, by which each sidecar goes by its own file's rules, number 0.
type Book struct {
	Pages []Page `cbor:"1,keyasint"` // the latest, in order; also such as were withdrawn
	// In force, and coming into force; equal where no change is under way.
	Old  Number `cbor:"Old"`
	New  Number `cbor:"New"`
	Last Number `cbor:"Last"` // given out
}

// Errors of a book.
var (
	ErrUnderWay = errors.New("a change is under way: try again once it is over, or withdraw it")
	ErrNothing  = errors.New("no change to that version is under way")
)

// keptPages is how many versions a book remembers.
const keptPages = 32

// Propose begins a change to a text. last is the number that its author took for the latest, so that of two who apply at the same moment only one
// changes what both have seen. on is the version in force on whose table its own was dealt. Errors: ErrUnderWay, or that another was first, or
// that the text is in force already.
func (b *Book) Propose(p Page, last, on Number) error {
	switch is := b.at(b.Old); {
	case b.Old != b.New:
		return ErrUnderWay
	case last != b.Last || on != b.Old:
		return fmt.Errorf("found version %d to be the latest, allowed only on top of the one that was seen, %d", b.Last, last)
	case is != nil && bytes.Equal(is.Text, p.Text):
		return fmt.Errorf("found the text of version %d, which is in force, allowed one that changes something", b.Old)
	}
	b.Last++
	p.Number, p.Digest, p.Over = b.Last, sha256.Sum256(p.Text), ""
	b.New = b.Last
	if b.Pages = append(b.Pages, p); len(b.Pages) > keptPages {
		// What is in force may be far older than the withdrawn ones behind it, and stays.
		at := slices.IndexFunc(b.Pages, func(p Page) bool { return p.Over != "" })
		b.Pages = slices.Delete(b.Pages, at, at+1)
	}
	return nil
}

// Back begins a change to the text that a kept version has, as a version of its own.
func (b *Book) Back(to Number, p Page, last, on Number) error {
	was := b.at(to)
	if was == nil {
		return fmt.Errorf("found version %d, allowed one of those kept", to)
	}
	p.Text, p.From = was.Text, to
	return b.Propose(p, last, on)
}

// Withdraw ends the change to that version while it is under way; the one that was in force stays. Errors: ErrNothing.
func (b *Book) Withdraw(n Number) error {
	if b.Old == b.New || n != b.New {
		return ErrNothing
	}
	b.at(b.New).Over = "withdrawn"
	b.New = b.Old
	return nil
}

// Drop ends the change to that version: the one before it is in force no more. False where that is not the change under way.
func (b *Book) Drop(n Number) bool {
	if b.Old == b.New || n != b.New {
		return false
	}
	if was := b.at(b.Old); was != nil {
		was.Over = "followed"
	}
	b.Old = b.New
	return true
}

// InForce are the pages that a sidecar must know to be granted anything. The one that is no page, 0, is its own file's.
func (b *Book) InForce() (of []Page) {
	for _, n := range slices.Compact([]Number{b.Old, b.New}) {
		if p := b.at(n); p != nil {
			of = append(of, *p)
		}
	}
	return of
}

func (b *Book) at(n Number) *Page {
	if i := slices.IndexFunc(b.Pages, func(p Page) bool { return p.Number == n }); i >= 0 {
		return &b.Pages[i]
	}
	return nil
}
