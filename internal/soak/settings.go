package soak

import (
	"encoding/json"
	"time"
)

// Limits are the limits of a sidecar, as its configuration names them.
type Limits struct {
	MemoryMB    int
	Descriptors int
}

// Figures of the rules in every run.
const (
	drainGrace     = 500 * time.Millisecond
	connectTimeout = 200 * time.Millisecond
	maxAttempts    = 3
)

type object = map[string]any

// configuration returns the platform's configuration of a sidecar.
func (s *sidecar) configuration() ([]byte, error) {
	offerings := []object{}
	for _, c := range s.run.classes {
		offerings = append(offerings, object{
			"name": c.Name, "credit": 1.0, "cut_off_s": c.Deadline.Seconds(), "group": string(c.Group),
			"idempotency": string(c.Effect), "overdue_credit": 0.3, "quoted_time_s": c.Target.Seconds(),
			"streamed": false, "window_s": c.Window.Seconds(),
		})
	}
	return json.Marshal(object{
		"name": s.name, "listen": s.address, "discovery": s.run.list.catalog.Addr(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": s.limits.MemoryMB, "sockets": s.limits.Descriptors},
		"known":  object{"rev": 0, "all": true, "targets": s.run.list.snapshot()},
		"settings": object{
			"balancers": len(s.run.sidecars), "beyond_share_credit": 0.05, "credit_by": "request",
			"clients": object{"marks_retry": true},
			"limits": object{
				"cancel": s.run.plan.MayCancel, "conn_idle_s": 60.0, "connect_timeout_s": connectTimeout.Seconds(),
				"cpu_us_per_request": 0.0, "cpu_us_per_s": 80000, "max_pushes": maxAttempts, "max_retry_after_s": 1.0,
				"open_cap": 20000, "peers": false, "probes": false, "retry_after": true, "second_copies": false,
				"streams_per_conn": 1,
			},
			"membership_mode": "pushed", "offerings": offerings,
			"prices": object{"cross_zone": 0.03, "late_fail": 0.08, "probe": 0.04, "waste": 0.28},
			"realms": []object{{"name": "tenant-a", "quota_per_s": 1000.0, "share": 0.5}, {"name": "tenant-b",
				"quota_per_s": 1000.0, "share": 0.5}},
			"report": object{"how": "silent"},
			"rules": object{
				"answer_slack_s": 0.02, "cold_from": 0.2, "cold_s": 6.0, "drain_grace_s": drainGrace.Seconds(),
				"fall_multiple": 3.0, "fall_s": 1.0, "must_ask_in_s": 10.0,
			},
			"self_index": 0, "service_type": "mesh", "tick_s": 0.005, "tier": 0, "tiers": []string{"servers"},
			"weight_kind": "rough", "zone": "a", "zones": []string{"a", "b"},
		},
	})
}
