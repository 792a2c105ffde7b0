package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryValue is the factor applied to the value of a request that is a client's retry.
	retryValue = 0.5
	// minOverQuotaValue is the least part of its value that an over-quota request keeps, so that such
	// requests are still ordered by value among themselves.
	minOverQuotaValue = 0.01
	// quotaTolerance is the factor by which a tenant may exceed the part of its quota that applies to this
	// instance before it counts as over quota.
	quotaTolerance = 1.1
	// quotaStandardErrors is the number of standard errors added to the rate that quotaTolerance allows where
	// each instance sees few requests of each tenant.
	quotaStandardErrors = 2
)

// Admit registers a request and returns its handle; Begin must be called next. key is empty for a request
// without a key, retry says that the client has sent the request before, and timeLeft is the time until the
// client's deadline.
func (b *Balancer) Admit(
	now Time, class ClassID, tenant TenantID, key string, retry bool, timeLeft Time,
) Handle {
	b.maintain(now)
	r := b.requests.add()
	r.class = class
	r.arrivedAt = now
	r.deadline = min(now+timeLeft, b.shutdownAt)
	if key == "" {
		// The key is random: instances that counted up from the same number would all send to the same
		// endpoints in the same order.
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

// Begin dispatches an admitted request for the first time.
func (b *Balancer) Begin(now Time, handle Handle) {
	r := b.requests.lookup(handle)
	// A client's deadline may be earlier than the target latency. A request must leave the queue while there
	// is still time for an answer.
	until := min(r.arrivedAt+b.class(r).Target, b.answerBy(r))
	r.waitUntil = until - Time(b.meanLatency(r))
	b.dispatch(now, r, ordinaryTry)
}

// valueRate returns the value expected for each nanosecond that an endpoint works on the request. It also
// counts the request in the arrival rates.
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

// maxTenantRate returns the rate of a tenant's requests at this instance, per second, above which the tenant
// counts as over quota. The traffic of other instances is unknown, so the part of each quota that applies to
// this instance is estimated: its arrival rate divided by the total quota, but at least an equal part for
// each instance.
func (b *Balancer) maxTenantRate(tenant TenantID) float64 {
	part := min(1, max(1/float64(b.settings.Instances), b.arrivals.rate/b.settings.TotalQuota))
	rate := quotaTolerance * part * b.settings.Tenants[tenant].Quota
	if b.settings.sharedConnections() {
		// One of hundreds of instances sees too few requests of each tenant to tell an excess from chance.
		rate += quotaStandardErrors * math.Sqrt(rate/float64(2*rateWindow/Second))
	}
	return rate
}
