package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryValue is the part of its value that a client's repeat keeps.
	retryValue = 0.5
	// minOverQuotaValue keeps over-quota requests in order among themselves.
	minOverQuotaValue = 0.01
	// quotaTolerance is the multiple of its share at which a tenant counts as over quota.
	quotaTolerance = 1.1
	// quotaErrors is how many standard errors over its share a tenant must be where few of its requests are
	// seen.
	quotaErrors = 2
)

// Admit takes in a request; Begin must follow. timeLeft is the time until the client's deadline; retry says
// that the client has sent the request before.
func (b *Balancer) Admit(
	now Time, class ClassID, tenant TenantID, key string, retry bool, timeLeft Time,
) Handle {
	b.maintain(now)
	r := b.requests.add()
	r.class = class
	r.arrivedAt = now
	r.deadline = min(now+timeLeft, b.shutdownAt)
	if key == "" {
		// Drawn: in turn from one start, instances would follow each other over the same endpoints.
		r.keyless = true
		r.key = b.random.next64()
	} else {
		r.key = xxhash.Sum64String(key)
		r.keyFrequency = b.recentKeys.observe(r.key)
	}
	r.value = b.valueRate(now, r, tenant, retry)
	if retry {
		b.backdateRetry(now, r, timeLeft)
	} else {
		b.classes[class].firstAttempts.observe(timeLeft, b.settings.answerMargin())
	}
	return r.handle()
}

// Begin decides the first step of a request.
func (b *Balancer) Begin(now Time, handle Handle) {
	r := b.requests.lookup(handle)
	// A client may have less time than the target latency; after the queue it must be left what an answer
	// takes.
	until := min(r.arrivedAt+b.class(r).Target, b.answerBy(r))
	r.waitUntil = until - Time(b.meanLatency(r))
	b.dispatch(now, r, ordinaryTry)
}

// valueRate is the value expected for each second that an endpoint works on the request.
func (b *Balancer) valueRate(now Time, r *request, tenant TenantID, retry bool) float64 {
	value := b.class(r).Value / b.meanLatency(r)
	if retry {
		value *= retryValue
	}
	b.arrivals.count(now)
	if tenant < 0 {
		return value
	}
	b.tenants[tenant].count(now)
	if b.tenants[tenant].rate > b.maxTenantRate(tenant) {
		value *= max(b.settings.OverQuotaValue, minOverQuotaValue)
	}
	return value
}

// maxTenantRate is the rate of a tenant's requests here, a second, over which it counts as over quota. Other
// instances' traffic is unseen: this one's part of the quotas, at least an equal one, is taken for its part
// of all.
func (b *Balancer) maxTenantRate(tenant TenantID) float64 {
	part := min(1, max(1/float64(b.settings.Instances), b.arrivals.rate/b.settings.TotalQuota))
	rate := quotaTolerance * part * b.settings.Tenants[tenant].Quota
	if b.settings.sharedConnections() {
		// One of hundreds of instances counts too few of each tenant to tell a share from chance.
		rate += quotaErrors * math.Sqrt(rate/float64(2*rateWindow/Second))
	}
	return rate
}
