package policy

// Class is a kind of request.
type Class struct {
	Name        string
	Value       float64
	LateValue   float64 // part of the value left between target latency and deadline
	Target      Time    // latency objective
	Deadline    Time    // a client's patience over all its tries
	Idempotency Idempotency
	Group       Group
	Window      Time // how long endpoints remember an idempotency key
}

// Tenant is a tenant with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all instances
}

// Settings configures an instance.
type Settings struct {
	Instances            int
	Zone                 Zone
	Zones                int // number of zones; decides nothing, compared when settings are read again
	Classes              []Class
	Tenants              []Tenant
	TotalQuota           float64 // of all tenants
	OverQuotaValue       float64 // part of the value left beyond a tenant's quota
	FixedWeights         bool    // weights mean size and don't fall with load
	PollList             bool    // the endpoint list comes only when asked for
	PollWithin           Time
	MayCancel            bool // endpoints stop work that is cancelled
	MaxAttempts          int
	StreamsPerConnection int  // attempts that one connection carries at once
	MaxRetryAfter        Time // longest Retry-After that clients respect; 0 where none is allowed
	CrossZonePrice       float64
	Tick                 Time    // resolution of the surroundings' timers
	ColdCapacity         float64 // part of its full rate that an endpoint bears at its start
	ColdTime             Time    // until an endpoint is warm
	OverloadMultiple     float64 // times its rate that an endpoint bears for OverloadWindow
	OverloadWindow       Time    // 0: a second
}

// sharedConnections reports whether one connection carries many attempts at once.
func (s *Settings) sharedConnections() bool { return s.StreamsPerConnection > 1 }

// answerMargin is how long before its deadline a request is answered at the latest.
func (s *Settings) answerMargin() Time { return answerMarginTicks * s.Tick }
