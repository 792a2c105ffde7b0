package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

type object = map[string]any

// offering returns an offering of the settings.
func offering(name, idempotency, group string, credit, quoted, cutOff, window float64) object {
	return object{"name": name, "idempotency": idempotency, "group": group, "credit": credit, "quoted_time_s": quoted,
		"cut_off_s": cutOff, "window_s": window, "overdue_credit": 0.2, "streamed": false}
}

// writeConfig writes the platform's configuration of a sidecar, with the figures of oslo-skript, and returns its path.
func (s *scene) writeConfig(name, listen, discovery string, known listDocument) string {
	config := object{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": object{
			"balancers": 3, "beyond_share_credit": 0.05, "credit_by": "request",
			"clients": object{"marks_retry": true},
			"limits": object{"cancel": true, "conn_idle_s": 60.0, "connect_timeout_s": 0.2, "cpu_us_per_request": 0.0,
				"cpu_us_per_s": 80000, "max_pushes": 3, "max_retry_after_s": 3.0, "open_cap": 20000, "peers": false,
				"probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1},
			"membership_mode": "pushed",
			"offerings": []object{
				offering("hent-manus", "retryable", "all", 5, 1.5, 4, 5),
				offering("lagre-utfall", "dedup", "zone", 3, 1, 5, 3),
				offering("lagre-notat", "dedup", "cell", 2, 1.5, 4, 2.5),
				offering("book-oppfolging", "dedup", "zone", 2, 2.5, 6, 12),
			},
			"prices": object{"connection": 0.0, "cross_zone": 0.03, "handshake": 0.0, "late_fail": 0.08, "probe": 0.04,
				"waste": 0.28},
			"realms": []object{{"name": "nordkyst-salg", "quota_per_s": 24.0, "share": 0.47},
				{"name": "vestdal-kontakt", "quota_per_s": 19.0, "share": 0.38},
				{"name": "innlandet-ring", "quota_per_s": 8.0, "share": 0.15}},
			"report": object{"how": "silent", "names": []string{}},
			"rules": object{"answer_slack_s": 0.02, "cold_from": 0.13, "cold_s": 24.0, "drain_grace_s": 1.0,
				"fall_multiple": 3.0, "fall_s": 1.0, "must_ask_in_s": 10.0},
			"kinds": []string{"standard", "eldre"}, "self_index": 0, "service_type": "mesh", "tick_s": 0.005, "tier": 0,
			"tiers": []string{"skriptserver"}, "weight_kind": "rough", "zone": "oslo-nord",
			"zones": []string{"oslo-nord", "trondheim"},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	must(err)
	path := filepath.Join(s.dir, name+".json")
	must(os.WriteFile(path, text, 0o600))
	return path
}
