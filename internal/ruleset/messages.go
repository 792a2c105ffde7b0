package ruleset

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformedMessage is returned for bytes that don't encode a message of this package.
var ErrMalformedMessage = errors.New("malformed message")

// MessageKind is the first byte of an encoded message. The message's fields follow as an array in CBOR (RFC 8949), the
// sender's address first.
type MessageKind byte

// The kinds of messages between instances and coordinators.
const (
	KindLeaseRequest   MessageKind = 'a'
	KindLeaseResponse  MessageKind = 'g'
	KindRevisionUpdate MessageKind = 'p'
)

// String returns the kind's name.
func (k MessageKind) String() string {
	switch k {
	case KindLeaseRequest:
		return "lease request"
	case KindLeaseResponse:
		return "lease response"
	case KindRevisionUpdate:
		return "revision update"
	}
	return fmt.Sprintf("message kind %d", byte(k))
}

// Message is a LeaseRequest, a LeaseResponse or a RevisionUpdate.
type Message interface {
	Kind() MessageKind
	Encode() []byte
}

// LeaseRequest asks a coordinator for a lease.
type LeaseRequest struct {
	Sender string // the address to which the response is sent
	ID     uint64
	Known  []RevisionNumber // the revisions whose rule sets the sender has
}

// LeaseResponse carries a lease to the instance that requested it.
type LeaseResponse struct {
	Sender string
	Lease  Lease
}

// RevisionUpdate carries a revision to an instance that lacks it.
type RevisionUpdate struct {
	Sender   string
	Revision Revision
}

// Kind returns KindLeaseRequest.
func (LeaseRequest) Kind() MessageKind { return KindLeaseRequest }

// Kind returns KindLeaseResponse.
func (LeaseResponse) Kind() MessageKind { return KindLeaseResponse }

// Kind returns KindRevisionUpdate.
func (RevisionUpdate) Kind() MessageKind { return KindRevisionUpdate }

// Encode returns the encoded request.
func (m LeaseRequest) Encode() []byte { return encode(m.Kind(), m.Sender, m.ID, m.Known) }

// Encode returns the encoded response.
func (m LeaseResponse) Encode() []byte {
	lease := m.Lease
	return encode(m.Kind(), m.Sender, uint64(lease.Term), lease.RequestID, lease.Revisions, int64(lease.Duration))
}

// Encode returns the encoded update.
func (m RevisionUpdate) Encode() []byte { return encode(m.Kind(), m.Sender, m.Revision) }

// encode returns the kind followed by the fields as a CBOR array.
func encode(kind MessageKind, fields ...any) []byte {
	encoded, _ := cbor.Marshal(fields) // numbers, strings and bytes can always be encoded
	return append([]byte{byte(kind)}, encoded...)
}

// Decode decodes a message. Its error wraps ErrMalformedMessage.
func Decode(encoded []byte) (Message, error) {
	if len(encoded) == 0 {
		return nil, fmt.Errorf("%w: empty", ErrMalformedMessage)
	}
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(encoded[1:], &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	kind := MessageKind(encoded[0])
	switch kind {
	case KindLeaseRequest:
		var request LeaseRequest
		err := decodeFields(fields, &request.Sender, &request.ID, &request.Known)
		return request, err
	case KindLeaseResponse:
		var response LeaseResponse
		lease := &response.Lease
		err := decodeFields(fields, &response.Sender, &lease.Term, &lease.RequestID, &lease.Revisions, &lease.Duration)
		if err == nil && (len(lease.Revisions) == 0 || lease.Duration < 0) {
			err = fmt.Errorf("%w: lease of %d revisions for %d ns",
				ErrMalformedMessage, len(lease.Revisions), lease.Duration)
		}
		return response, err
	case KindRevisionUpdate:
		var update RevisionUpdate
		err := decodeFields(fields, &update.Sender, &update.Revision)
		return update, err
	}
	return nil, fmt.Errorf("%w: unknown %v", ErrMalformedMessage, kind)
}

// decodeFields decodes the fields into the targets, in order. Additional fields are ignored: a newer version may send
// them.
func decodeFields(fields []cbor.RawMessage, targets ...any) error {
	if len(fields) < len(targets) {
		return fmt.Errorf("%w: %d fields instead of %d", ErrMalformedMessage, len(fields), len(targets))
	}
	for i, target := range targets {
		if err := cbor.Unmarshal(fields[i], target); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedMessage, err)
		}
	}
	return nil
}
