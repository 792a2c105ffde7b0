package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Metadata is what each member announces about itself to all others.
type Metadata struct {
	Zone        string `cbor:"1,keyasint"`
	StartedAt   int64  `cbor:"2,keyasint"` // Unix time of the start, in nanoseconds
	Revision    uint64 `cbor:"3,keyasint"` // latest leased revision; 0: the member's own settings file applies
	TableDigest uint64 `cbor:"4,keyasint"` // digest of the slot table
	Coordinator bool   `cbor:"5,keyasint"` // the member is a coordinator and serves no requests
}

// newMetadata returns the metadata of a member that starts now.
func newMetadata(config Config) Metadata {
	return Metadata{Zone: config.Zone, StartedAt: time.Now().UnixNano(), Coordinator: config.Coordinator}
}

// encode returns the metadata in CBOR, or nil if that is longer than limit bytes.
func (m Metadata) encode(limit int) []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}

// decodeMetadata decodes what another member announced.
func decodeMetadata(encoded []byte) (Metadata, error) {
	var decoded Metadata
	err := cbor.Unmarshal(encoded, &decoded)
	return decoded, err
}
