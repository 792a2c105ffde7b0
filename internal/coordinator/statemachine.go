package coordinator

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"pepperlead/internal/clock"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// pen is the keeper as raft writes by it: each line of the log in its order.
type pen Coordinator

// Apply takes one line of the log.
func (p *pen) Apply(l *raft.Log) any {
	var parts []cbor.RawMessage
	var verb string
	if cbor.Unmarshal(l.Data, &parts) != nil || len(parts) == 0 || cbor.Unmarshal(parts[0], &verb) != nil {
		return errors.New("a line of the log that cannot be read")
	}
	read := func(into ...any) error {
		if len(parts) != 1+len(into) {
			return fmt.Errorf("a line of the log with %d parts", len(parts))
		}
		for i := range into {
			if err := cbor.Unmarshal(parts[1+i], into[i]); err != nil {
				return err
			}
		}
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.LeaseTime()
	switch verb {
	case "apply":
		var page ruleset.Revision
		var back, last, on ruleset.RevisionNumber
		err := read(&page.Text, &page.Table, &back, &last, &on, &page.Author, &page.ProposedAt)
		if err == nil && back > 0 {
			err = p.book.ProposeRollback(back, page, last, on)
		} else if err == nil {
			err = p.book.Propose(page, last, on)
		}
		if err != nil {
			return err
		}
		p.begun = now
		if p.granter != nil {
			p.granter.BeginChange(p.book.Next, now)
		}
		p.log.Infof("keep: version %d is agreed on, %d is in force too until no lease is left of it alone", p.book.Next, p.book.Active)
	case "drop":
		var n ruleset.RevisionNumber
		if err := read(&n); err != nil {
			return err
		}
		if !p.book.Complete(n) {
			return errors.New("not the change under way")
		}
		if p.granter != nil {
			p.granter.CompleteChange()
		}
		p.log.Infof("keep: version %d is in force alone, %dms after it was agreed on", n, (now-p.begun)/policy.Millisecond)
	case "withdraw":
		var n ruleset.RevisionNumber
		if err := read(&n); err != nil {
			return err
		}
		if err := p.book.Withdraw(n); err != nil {
			return err
		}
		if p.granter != nil {
			p.granter.WithdrawChange()
		}
		p.log.Infof("keep: version %d is withdrawn, %d stays in force", n, p.book.Active)
	default:
		return fmt.Errorf("a line of the log that is not known, %q: a newer keeper wrote it", verb)
	}
	return nil
}

// Snapshot is the book as it stands.
func (p *pen) Snapshot() (raft.FSMSnapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := cbor.Marshal(p.book)
	return copied(b), err
}

// Restore goes on from a snapshot.
func (p *pen) Restore(from io.ReadCloser) error {
	defer from.Close()
	var book ruleset.RevisionLog
	if err := cbor.NewDecoder(from).Decode(&book); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book = book
	return nil
}

type copied []byte

// Persist writes it.
func (c copied) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(c); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release has nothing to let go.
func (copied) Release() {}
