package coordinator

import (
	"errors"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// stateMachine is the coordinator in its role as raft.FSM. Its state is the revision log.
type stateMachine Coordinator

// Apply applies a committed log entry. The result is nil or an error.
func (m *stateMachine) Apply(entry *raft.Log) any {
	decoded, err := decodeCommand(entry.Data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := decoded.apply(m, clock.LeaseTime()); err != nil {
		return err
	}
	return nil
}

func (c *applyCommand) apply(m *stateMachine, now policy.Time) error {
	revision := ruleset.Revision{Text: c.Text, Table: c.Table, Author: c.Author, ProposedAt: c.ProposedAt}
	var err error
	if c.RollbackOf > 0 {
		err = m.revisionLog.ProposeRollback(c.RollbackOf, revision, c.Last, c.Base)
	} else {
		err = m.revisionLog.Propose(revision, c.Last, c.Base)
	}
	if err != nil {
		return err
	}
	m.changeBegan = now
	if m.leaseIssuer != nil {
		m.leaseIssuer.BeginChange(m.revisionLog.Next, now)
	}
	m.log.WithFields(logrus.Fields{
		"revision":        m.revisionLog.Next,
		"active_revision": m.revisionLog.Active,
	}).Info("revision committed, in force together with the active one")
	return nil
}

func (c *completeCommand) apply(m *stateMachine, now policy.Time) error {
	if !m.revisionLog.Complete(c.Number) {
		return errNoSuchChange
	}
	if m.leaseIssuer != nil {
		m.leaseIssuer.CompleteChange()
	}
	m.log.WithFields(logrus.Fields{
		"revision": c.Number,
		"duration": time.Duration(now - m.changeBegan).Truncate(time.Millisecond),
	}).Info("revision in force alone")
	return nil
}

func (c *withdrawCommand) apply(m *stateMachine, _ policy.Time) error {
	if err := m.revisionLog.Withdraw(c.Number); err != nil {
		return err
	}
	if m.leaseIssuer != nil {
		m.leaseIssuer.WithdrawChange()
	}
	m.log.WithFields(logrus.Fields{
		"revision":        c.Number,
		"active_revision": m.revisionLog.Active,
	}).Info("revision withdrawn")
	return nil
}

// Snapshot returns a snapshot of the revision log.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, err := cbor.Marshal(m.revisionLog)
	return snapshot(encoded), err
}

// Restore replaces the revision log with that of a snapshot.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // the snapshot was only read
	var log ruleset.RevisionLog
	if err := cbor.NewDecoder(from).Decode(&log); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revisionLog = log
	return nil
}

// snapshot is an encoded revision log.
type snapshot []byte

// Persist writes the snapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot is a copy.
func (snapshot) Release() {}
