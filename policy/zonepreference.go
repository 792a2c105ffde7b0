package policy

import "fmt"

const (
	// crossingLoad is the load of local endpoints, in prices of a crossing, at which crossings pay.
	crossingLoad = 5
	// excessLoadFall is how far local load exceeds remote load when fewer keys stay local.
	excessLoadFall = 0.15
	// excessLoadRise is how far it may exceed it while more keys do.
	excessLoadRise = 0.05

	// Changes of the local share in one maintenance interval.
	localShareFall    = 0.05
	localShareRise    = 0.01
	maxLocalShareRise = 0.03
	// idleRisePart is the part of a crossing's price, as a divisor, that the local share rises by while local
	// endpoints are nearly idle.
	idleRisePart = 4

	// zoneLatenessWeight is the weight of the latest attempt in a zone's mean lateness.
	zoneLatenessWeight = 0.05
	// hashFractionBits are the upper bits of a key's hash that decide whether it prefers local endpoints.
	hashFractionBits = 20
)

// Indexes of zonePreference.lateness.
const (
	remoteZones = iota
	localZone
	zoneKinds
)

// zonePreference decides which keys prefer endpoints of this instance's zone, where crossings have a price.
type zonePreference struct {
	localShare float64            // part of the keys
	lateness   [zoneKinds]float64 // means of attempts to remote and to local endpoints
}

func newZonePreference(settings *Settings) zonePreference {
	return zonePreference{localShare: min(1, 2*crossingLoad*settings.CrossZonePrice)}
}

// prefersLocal reports whether a key is among those. It goes by key, so that each stays where it is.
func (z *zonePreference) prefersLocal(key uint64) bool {
	return float64(key>>(64-hashFractionBits))/(1<<hashFractionBits) < z.localShare
}

// observe adds an attempt's lateness to its zone's mean.
func (z *zonePreference) observe(local bool, lateness float64) {
	mean := &z.lateness[remoteZones]
	if local {
		mean = &z.lateness[localZone]
	}
	*mean += zoneLatenessWeight * (lateness - *mean)
}

// capLocalShare bounds the local share before anything is learned: all traffic may come to one zone, and what
// prefers local endpoints must not overload them.
func (b *Balancer) capLocalShare() {
	localPart := float64(b.table.localCount) / float64(len(b.table.byID))
	b.zones.localShare = min(b.zones.localShare, localPart)
}

// zoneLoads are the loads of local and remote endpoints, and by how much the local share may rise.
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
		rise = max(rise, min(maxLocalShareRise, b.settings.CrossZonePrice/idleRisePart))
	}
	return local, remote, rise
}

// adjustLocalShare sets the part of the keys that prefer local endpoints by the loads of both sides.
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
