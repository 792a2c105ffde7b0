package policy

// Class is a kind of request.
type Class struct {
	Name        string
	Value       float64 // value of an answer within the target latency
	LateValue   float64 // part of Value that an answer between target latency and deadline is worth
	Target      Time    // target latency
	Deadline    Time    // how long a client waits for an answer, including its own retries
	Idempotency Idempotency
	Group       Group // deduplication group
	Window      Time  // deduplication window: how long endpoints remember an idempotency key
}

// Tenant is a tenant with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all instances
}

// Settings configures an instance.
type Settings struct {
	Instances            int      // instances in the fleet
	Zone                 Zone     // zone of this instance
	Zones                int      // number of zones; not used in decisions, compared when settings are reloaded
	Classes              []Class  // by ClassID
	Tenants              []Tenant // by TenantID
	TotalQuota           float64  // sum of the quotas of all tenants, in requests per second
	OverQuotaValue       float64  // part of its value that a request beyond its tenant's quota keeps
	FixedWeights         bool     // listed weights are sizes of endpoints and do not fall with load
	PollList             bool     // the endpoint list must be requested; it is not pushed
	PollWithin           Time     // the backoff between requests for the list grows up to a quarter of this
	MayCancel            bool     // endpoints stop working on cancelled attempts
	MaxAttempts          int      // most attempts for each request
	StreamsPerConnection int      // attempts that one connection can carry at once
	MaxRetryAfter        Time     // longest Retry-After that clients respect; 0 if none is allowed
	CrossZonePrice       float64  // price of a request to another zone; 0: no preference for the own zone
	Tick                 Time     // resolution of the caller's timers
	ColdCapacity         float64  // part of its capacity that an endpoint has at its start
	ColdTime             Time     // time from an endpoint's start until it is warm
	OverloadMultiple     float64  // multiple of its capacity an endpoint can take; 0: no attempts to cold ones
	OverloadWindow       Time     // how long an endpoint can take that multiple; 0: one second
}

// sharedConnections reports whether one connection carries many attempts at once.
func (s *Settings) sharedConnections() bool { return s.StreamsPerConnection > 1 }

// answerMargin returns how long before its deadline a request must be answered.
func (s *Settings) answerMargin() Time { return answerMarginTicks * s.Tick }
