package hotrestart

import (
	"strconv"
	"strings"
)

// messageKind is the word that a message begins with. Processes of different versions exchange messages, so the words
// never change.
type messageKind string

const (
	messageHello        messageKind = "here" // the sender has joined
	messageWelcome      messageKind = "met"  // the response to a hello: the sender has reduced its share of the limits
	messageApply        messageKind = "look" // the drained endpoints have changed; carries a sequence number
	messageApplied      messageKind = "done" // the response to an apply, with its number: the change is in force
	messageStateRequest messageKind = "tell" // requests the learned state
	messageState        messageKind = "told" // the response to a state request; carries the learned state

	// Earlier versions ignore these kinds.
	messageListRequest messageKind = "list-request" // requests the endpoint list
	messageList        messageKind = "list"         // the sender's endpoint list, on request or because it has changed
	messageUnsaved     messageKind = "unsaved"      // changes of drained endpoints that the sender could not save
	messageSaved       messageKind = "saved"        // a change of an endpoint is saved: unsaved ones are obsolete
)

// isRecent reports whether earlier versions don't know messages of this kind.
func (k messageKind) isRecent() bool {
	switch k {
	case messageListRequest, messageList, messageUnsaved, messageSaved:
		return true
	default:
		return false
	}
}

// message is one line on the socket between two processes.
type message struct {
	kind    messageKind
	payload string // a sequence number, or encoded data, for the kinds that carry one
}

// newApply returns a message that asks a process to apply the change with a sequence number.
func newApply(sequence uint64) message {
	return message{messageApply, strconv.FormatUint(sequence, 10)}
}

// newState returns a message with a learned state, which must be a single line.
func newState(state []byte) message {
	return message{messageState, string(state)}
}

// newList returns a message with an encoded endpoint list, which must be a single line.
func newList(list []byte) message {
	return message{messageList, string(list)}
}

// parseMessage splits a line into the kind and the payload of a message. The kind may be unknown.
func parseMessage(line string) message {
	kind, payload, _ := strings.Cut(line, " ")
	return message{messageKind(kind), payload}
}

// sequence returns the sequence number that the message carries, or 0 if it carries none.
func (m message) sequence() uint64 {
	sequence, err := strconv.ParseUint(m.payload, 10, 64)
	if err != nil {
		return 0
	}
	return sequence
}

// String returns the message as a line, without a line break.
func (m message) String() string {
	switch m.kind {
	case messageApply, messageApplied, messageState, messageList, messageUnsaved, messageSaved:
		return string(m.kind) + " " + m.payload
	default:
		return string(m.kind)
	}
}
