package policy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Gauges are current figures of an instance, for reports and metrics.
type Gauges struct {
	ConcurrencyLimit  float64 // most attempts in flight to all endpoints together
	MeanEndpointLimit float64 // mean over the endpoints of the most attempts in flight to one of them
	Lateness          float64 // moving average of answer time / target latency, each counted as 1 at most
	InFlight          int     // attempts in flight
	Queued            int     // requests in the queue
	Ejected           int     // ejected endpoints
}

// Gauges returns the current figures.
func (b *Balancer) Gauges() Gauges {
	gauges := Gauges{
		ConcurrencyLimit: b.concurrency.limit,
		Lateness:         b.concurrency.latenessMean,
		InFlight:         b.concurrency.inFlight,
		Queued:           b.queue.len(),
		Ejected:          b.ejected,
	}
	for _, index := range b.table.byID {
		gauges.MeanEndpointLimit += b.table.endpoints[index].limit / float64(len(b.table.byID))
	}
	return gauges
}

// TableDigest returns a digest of the owners of all slots. It is the same in all instances with the same
// table.
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
