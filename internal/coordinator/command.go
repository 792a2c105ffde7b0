package coordinator

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// Errors for log entries that can't be applied.
var (
	errMalformedCommand = errors.New("malformed command")
	errUnknownCommand   = errors.New("unknown command, written by a newer coordinator")
	errNoSuchChange     = errors.New("no change to that revision is in progress")
)

// commandName is the first element of an encoded command.
type commandName string

const (
	commandApply    commandName = "apply"
	commandComplete commandName = "drop"
	commandWithdraw commandName = "withdraw"
)

// command is an entry of the replicated log. It is encoded as a CBOR array of its fields (RFC 8949), its name first.
type command interface {
	encode() ([]byte, error)
	// apply changes the state machine, whose lock is held.
	apply(m *stateMachine, now policy.Time) error
}

// applyCommand begins a change to a new revision. Its fields are those of ruleset.Revision, and the arguments last and
// base of RevisionLog.Propose.
type applyCommand struct {
	_          struct{} `cbor:",toarray"`
	Name       commandName
	Text       []byte
	Table      []byte
	RollbackOf ruleset.RevisionNumber
	Last       ruleset.RevisionNumber
	Base       ruleset.RevisionNumber
	Author     string
	ProposedAt int64 // Unix time in nanoseconds
}

// completeCommand completes a change, after which its revision alone is in force.
type completeCommand struct {
	_      struct{} `cbor:",toarray"`
	Name   commandName
	Number ruleset.RevisionNumber
}

// withdrawCommand cancels a change.
type withdrawCommand struct {
	_      struct{} `cbor:",toarray"`
	Name   commandName
	Number ruleset.RevisionNumber
}

func (c *applyCommand) encode() ([]byte, error)    { return cbor.Marshal(c) }
func (c *completeCommand) encode() ([]byte, error) { return cbor.Marshal(c) }
func (c *withdrawCommand) encode() ([]byte, error) { return cbor.Marshal(c) }

// decodeCommand decodes a log entry.
func decodeCommand(encoded []byte) (command, error) {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(encoded, &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCommand, err)
	}
	if len(fields) == 0 {
		return nil, fmt.Errorf("%w: it has no name", errMalformedCommand)
	}
	var name commandName
	if err := cbor.Unmarshal(fields[0], &name); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCommand, err)
	}
	var decoded command
	switch name {
	case commandApply:
		decoded = &applyCommand{}
	case commandComplete:
		decoded = &completeCommand{}
	case commandWithdraw:
		decoded = &withdrawCommand{}
	default:
		return nil, fmt.Errorf("%w: %q", errUnknownCommand, name)
	}
	if err := cbor.Unmarshal(encoded, decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCommand, err)
	}
	return decoded, nil
}
