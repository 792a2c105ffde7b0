package policy

import "fmt"

const (
	// crossingLoad is the load of local endpoints, as a multiple of Settings.CrossZonePrice, above which
	// requests to other zones are worth their price.
	crossingLoad = 5
	// excessLoadFall is the excess of local over remote load above which the local share falls.
	excessLoadFall = 0.15
	// excessLoadRise is the excess below which the local share rises.
	excessLoadRise = 0.05

	// Changes of the local share in one maintenance interval.
	localShareFall    = 0.05
	localShareRise    = 0.01
	maxLocalShareRise = 0.03
	// idleRiseDivisor divides Settings.CrossZonePrice to give the rise of the local share in one maintenance
	// interval while the load of local endpoints is low.
	idleRiseDivisor = 4

	// zoneLatenessWeight is the weight of the latest attempt in a zone's mean lateness.
	zoneLatenessWeight = 0.05
	// hashFractionBits is the number of upper bits of a key's hash that decide whether it prefers local
	// endpoints.
	hashFractionBits = 20
)

// Indexes of zonePreference.lateness.
const (
	remoteZones = iota
	localZone
	zoneKinds
)

// zonePreference decides which keys prefer endpoints in this instance's zone, where requests to other zones
// have a price.
type zonePreference struct {
	localShare float64            // part of the keys that prefer local endpoints
	lateness   [zoneKinds]float64 // mean lateness of attempts to remote and to local endpoints
}

func newZonePreference(settings *Settings) zonePreference {
	return zonePreference{localShare: min(1, 2*crossingLoad*settings.CrossZonePrice)}
}

// prefersLocal reports whether a key prefers local endpoints. While the local share is the same, this depends
// on the key alone, so that a key stays with its endpoint.
func (z *zonePreference) prefersLocal(key uint64) bool {
	return float64(key>>(64-hashFractionBits))/(1<<hashFractionBits) < z.localShare
}

// observe adds the lateness of an attempt to the mean of local or remote endpoints.
func (z *zonePreference) observe(local bool, lateness float64) {
	mean := &z.lateness[remoteZones]
	if local {
		mean = &z.lateness[localZone]
	}
	*mean += zoneLatenessWeight * (lateness - *mean)
}

// capLocalShare limits the local share to the local endpoints' part of the fleet while no load is known: all
// traffic may arrive in one zone, and the requests that prefer local endpoints must not overload them.
func (b *Balancer) capLocalShare() {
	localPart := float64(b.table.localCount) / float64(len(b.table.byID))
	b.zones.localShare = min(b.zones.localShare, localPart)
}

// zoneLoads returns the loads of local and remote endpoints, and by how much the local share may rise. Where
// the list shows load, the load of the whole fleet is returned for the remote endpoints.
func (b *Balancer) zoneLoads() (local, remote, rise float64) {
	if b.reports.mean > 0 {
		local = b.reports.localMean / (1 + b.reports.mean)
		remote = b.reports.mean / (1 + b.reports.mean)
		return local, remote, maxLocalShareRise
	}
	local = b.zones.lateness[localZone] - b.baseline
	remote = b.zones.lateness[remoteZones] - b.baseline
	rise = localShareRise
	if local < lowLoad {
		rise = max(rise, min(maxLocalShareRise, b.settings.CrossZonePrice/idleRiseDivisor))
	}
	return local, remote, rise
}

// adjustLocalShare adjusts the part of the keys that prefer local endpoints to the loads of local and remote
// endpoints.
func (b *Balancer) adjustLocalShare(now Time) {
	z := &b.zones
	local, remote, rise := b.zoneLoads()
	staleReports := b.reports.mean > 0 && !b.reports.fresh(now)
	if b.settings.CrossZonePrice == 0 || staleReports {
		return
	}
	before := z.localShare
	crossingsPay := !b.settings.sharedConnections() && local > crossingLoad*b.settings.CrossZonePrice
	switch {
	case local-remote > excessLoadFall || crossingsPay:
		z.localShare = max(0, z.localShare-localShareFall)
	case local-remote < excessLoadRise:
		z.localShare = min(1, z.localShare+rise)
	}
	if (before > 0) != (z.localShare > 0) {
		b.front.Log(fmt.Sprintf("zone preference: %.2f of the keys local, load local %.2f, remote %.2f",
			z.localShare, local, remote))
	}
}
