package policy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Gauges are an instance's figures for reports.
type Gauges struct {
	TotalLimit float64 // attempts that may be in flight in all
	Limit      float64 // attempts that may be in flight to one endpoint, as the mean over the table
	Lateness   float64 // mean of answer time over target latency
	InFlight   int     // attempts
	Waiting    int     // requests
	Ejected    int     // endpoints
}

// Gauges returns the figures as they stand.
func (b *Balancer) Gauges() Gauges {
	gauges := Gauges{
		TotalLimit: b.concurrency.limit,
		Lateness:   b.concurrency.latenessMean,
		InFlight:   b.concurrency.inFlight,
		Waiting:    b.queue.len(),
		Ejected:    b.ejected,
	}
	for _, index := range b.table.byID {
		gauges.Limit += b.table.endpoints[index].limit / float64(len(b.table.byID))
	}
	return gauges
}

// TableDigest is a digest of the owners of all slots: the same in all instances with the same table.
func (b *Balancer) TableDigest() uint64 {
	digest := xxhash.New()
	var encoded [8]byte
	for _, index := range b.table.owners {
		binary.LittleEndian.PutUint64(encoded[:], uint64(b.table.endpoints[index].ID))
		_, _ = digest.Write(encoded[:]) // never fails
	}
	return digest.Sum64()
}

// Ejected reports whether the endpoint is ejected.
func (b *Balancer) Ejected(now Time, id EndpointID) bool {
	index, known := b.table.indexes[id]
	return known && now < b.table.endpoints[index].ejectedUntil
}
