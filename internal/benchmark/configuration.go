package benchmark

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// object is a JSON object of a platform configuration.
type object map[string]any

// PlatformJSON returns a configuration in the platform's format, with the endpoints as a saved list. Nothing listens at
// its address of discovery.
func PlatformJSON(listen string, endpoints []string) []byte {
	text, err := json.Marshal(object{
		"name":      "n",
		"listen":    listen,
		"discovery": "127.0.0.1:1",
		"seed":      "8c1f30d27a5be964",
		"limits":    object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     object{"rev": 1, "all": true, "targets": platformTargets(endpoints)},
		"settings":  platformSettings(),
	})
	if err != nil {
		panic(err)
	}
	return text
}

func platformTargets(endpoints []string) []object {
	var targets []object
	for i, endpoint := range endpoints {
		targets = append(targets, object{
			"uid":           fmt.Sprint("s-", i),
			"endpoint":      endpoint,
			"az":            "a",
			"pod_group":     i / 4,
			"state":         "Ready",
			"capacity_hint": 1.0,
			"boot_ms":       0,
		})
	}
	return targets
}

func platformSettings() object {
	limits := object{
		"cancel":            true,
		"max_pushes":        3,
		"retry_after":       true,
		"max_retry_after_s": 3.0,
		"connect_timeout_s": 0.2,
		"conn_idle_s":       60.0,
	}
	class := object{
		"name":           "step",
		"credit":         1.0,
		"overdue_credit": 0.2,
		"quoted_time_s":  1.0,
		"cut_off_s":      2.0,
		"idempotency":    "retryable",
	}
	return object{
		"balancers":       1,
		"zone":            "a",
		"zones":           []string{"a"},
		"weight_kind":     "nominal",
		"membership_mode": "pushed",
		"tick_s":          0.005,
		"limits":          limits,
		"prices":          object{"cross_zone": 0.0},
		"rules":           object{"cold_from": 0.2, "cold_s": 24.0, "fall_multiple": 3.0},
		"offerings":       []object{class},
	}
}

// productClass is the class of requests in configurations in the product's own format.
const productClass = `[[offering]]
name = "step"
quoted_time = "1s"
cut_off = "2s"
repeats = "reissuable"
`

// ProductTOML returns a configuration in the product's own format, followed by extra text.
func ProductTOML(listen string, endpoints []string, extra string) []byte {
	text := fmt.Sprintf("[front.http]\nlisten = %q\n", listen) + productClass + "[source]\nkind = \"fixed\"\n"
	for i, endpoint := range endpoints {
		text += fmt.Sprintf("[[source.server]]\nid = \"s-%d\"\naddress = %q\n", i, endpoint)
	}
	return []byte(text + extra)
}

// WriteStandaloneConfig writes a configuration and an endpoint list with the given number of endpoints into the
// directory, and returns the path of the configuration.
func WriteStandaloneConfig(directory, listen string, endpoints int, addresses []string, extra string) (string, error) {
	path := filepath.Join(directory, "pepperlead.toml")
	text := fmt.Sprintf("[front.http]\nlisten = %q\n", listen) + productClass +
		"[source]\nkind = \"files\"\nfiles = [\"servers.toml\"]\n" + extra
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	list := ListText(endpoints, addresses, 1, true)
	return path, os.WriteFile(filepath.Join(directory, "servers.toml"), list, 0o600)
}
