package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// endpoint is an entry of the platform's list, as PROTOCOL.md has it.
type endpoint struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// catalog is the platform's list.
type catalog struct {
	Revision int        `json:"rev"`
	All      bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// ready returns an entry of the list for a server that started long ago.
func ready(uid, address, zone string, cell int) endpoint {
	return endpoint{uid, address, zone, "standard", cell, "Ready", 1, 0}
}

// offering is a class of the platform's settings, as WIRE-pepperlead.md has it.
type offering struct {
	Name        string  `json:"name"`
	Credit      float64 `json:"credit"`
	CutOff      float64 `json:"cut_off_s"`
	Group       string  `json:"group"`
	Idempotency string  `json:"idempotency"`
	Overdue     float64 `json:"overdue_credit"`
	Quoted      float64 `json:"quoted_time_s"`
	Streamed    bool    `json:"streamed"`
	Window      float64 `json:"window_s"`
}

// oslo returns the offerings of oslo-skript.
func oslo() []offering {
	return []offering{
		{"hent-manus", 5, 4, "all", "retryable", 0.2, 1.5, false, 5},
		{"lagre-utfall", 3, 5, "zone", "dedup", 0.5, 1, false, 3},
		{"lagre-notat", 2, 4, "cell", "dedup", 0.2, 1.5, false, 2.5},
		{"book-oppfolging", 2, 6, "zone", "dedup", 0.25, 2.5, false, 12},
	}
}

// platformConfig writes the configuration of a sidecar, with the settings of oslo-skript and the given offerings, and
// returns its path.
func (c *caseRun) platformConfig(name, listen, discovery string, offerings []offering, known catalog) string {
	type object = map[string]any
	config := object{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": object{
			"balancers": 3, "beyond_share_credit": 0.05, "clients": object{"marks_retry": true},
			"credit_by": "request", "extra": object{"warm_keys": true},
			"goal":  object{"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.4},
			"kinds": []string{"standard", "eldre"},
			"limits": object{
				"cancel": true, "conn_idle_s": 60.0, "connect_timeout_s": 0.2, "cpu_us_per_request": 0.0,
				"cpu_us_per_s": 80000, "max_pushes": 3, "max_retry_after_s": 3.0, "open_cap": 20000, "peers": false,
				"probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1,
			},
			"membership_mode": "pushed", "offerings": offerings,
			"prices": object{"cross_zone": 0.03, "late_fail": 0.08, "probe": 0.04, "waste": 0.28},
			"realms": []object{
				{"name": "nordkyst-salg", "quota_per_s": 24.0, "share": 0.47},
				{"name": "vestdal-kontakt", "quota_per_s": 19.0, "share": 0.38},
				{"name": "innlandet-ring", "quota_per_s": 8.0, "share": 0.15},
			},
			"report": object{"how": "silent"},
			"rules": object{
				"answer_slack_s": 0.02, "cold_from": 0.13, "cold_s": 24.0, "drain_grace_s": 1.0,
				"fall_multiple": 3.0, "fall_s": 1.0, "must_ask_in_s": 10.0,
			},
			"self_index": 0, "service_type": "mesh", "tick_s": 0.005, "tier": 0, "tiers": []string{"skriptserver"},
			"weight_kind": "rough", "zone": "oslo-nord", "zones": []string{"oslo-nord", "trondheim"},
		},
	}
	text, err := json.Marshal(config)
	must(err)
	return c.writeFile(name+".json", string(text))
}

// serveDiscovery stands in for the platform's discovery with a list that does not change, and returns its address.
func serveDiscovery(list catalog) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		answer := list
		if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from >= list.Revision {
			hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
			select {
			case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			answer = catalog{Revision: list.Revision, Targets: []endpoint{}}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // an error means that the sidecar has ended the call
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(l, mux) }() // it serves until the process ends
	return l.Addr().String()
}

// ask sends a request on a connection of its own and reads the answer; the status is 0 if there was no whole answer.
func ask(address, method, path, body string, headers map[string]string) (status int, answer string) {
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", address, path), newBody(body))
	must(err)
	request.ContentLength = int64(len(body))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	return readAnswer(response, err)
}
