package migration

import (
	"os"
	"strings"
	"testing"

	"pepperlead/internal/daemon"
)

const oldTOML = "../../deploy/standalone.toml"

var pool = Pool{Listen: "10.0.0.7:9000", Sidecars: 12, Streams: 100, Seed: 0xabc}

const oldJSON = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[]},
"settings":{"balancers":3,"zone":"a","zones":["a","b"],"weight_kind":"rough","membership_mode":"pushed","tick_s":0.005,
"limits":{"cancel":true,"max_pushes":3,"retry_after":true,
"max_retry_after_s":3.0,"connect_timeout_s":0.2,"conn_idle_s":60.0},"prices":{"cross_zone":0.03},
"rules":{"cold_from":0.13,"cold_s":24.0,"fall_multiple":3.0},"offerings":[
{"name":"step","credit":5.0,"overdue_credit":0.2,"quoted_time_s":1.5,"cut_off_s":2.0,"idempotency":"retryable"}]}}`

func readOldTOML(t *testing.T) string {
	b, err := os.ReadFile(oldTOML)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Everything but what the pool needs has its old value; what was not converted is noted.
func TestConvertedConfigurationsKeepOtherValues(t *testing.T) {
	toml := strings.NewReplacer("# [state]\n# folder", "[state]\nfolder", `name = "desk-1" `, "seed = 'ab'\nname = \"desk-1\" ").Replace(readOldTOML(t))
	for name, in := range map[string]string{"old.toml": toml, "old.json": oldJSON} {
		m, err := Convert(name, []byte(in), pool)
		if err != nil {
			t.Fatal(err)
		}
		was, _ := daemon.Parse(name, []byte(in), noEnvironment)
		is, err := daemon.Parse(name, m.Text, noEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		c := *is.Settings
		if c.FixedWeights || c.StreamsPerConnection != 100 || c.Instances != 12 || is.Listen != pool.Listen || len(m.Changed) != 4 || len(m.Unconverted) < 3 {
			t.Errorf("%s: %+v\n%q\n%q", name, c, m.Changed, m.Unconverted)
		}
		a := *was.Settings
		if c.Classes[0] != a.Classes[0] || len(c.Classes) != len(a.Classes) || c.TotalQuota != a.TotalQuota || c.ColdTime != a.ColdTime ||
			c.MaxRetryAfter != a.MaxRetryAfter || c.Zones != a.Zones || is.ShutdownTime != was.ShutdownTime || is.Descriptors != was.Descriptors {
			t.Errorf("%s: something else has changed:\n%s", name, m.Text)
		}
		unconverted := strings.Join(m.Unconverted, "\n")
		for _, key := range map[string][]string{"old.toml": {"instance.seed", "state.folder"}, "old.json": {"seed", "known"}}[name] {
			if !strings.Contains(unconverted, key+": ") {
				t.Errorf("%s: %s is not noted:\n%s", name, key, unconverted)
			}
		}
		if strings.Contains(string(m.Text), "8c1f30d27a5be964") || strings.Contains(string(m.Text), "\nseed") {
			t.Errorf("%s: the seed was kept", name)
		}
		if _, err := Convert(name, m.Text, pool); err == nil || !strings.Contains(err.Error(), "new shape already") {
			t.Errorf("%s: converted twice: %v", name, err)
		}
	}
}

// What can't be converted is an error with file, line and key.
func TestFaultsHaveTheirPlace(t *testing.T) {
	valid := readOldTOML(t)
	for _, c := range []struct{ name, in, want string }{
		{"a.toml", strings.Replace(valid, "cancel = true", "cancel = 7", 1), "a.toml:26: limits.cancel: found 7, allowed true or false"},
		{"a.toml", strings.Replace(valid, "[limits]", "[limits", 1), "a.toml:22: document"},
		{"a.toml", strings.Replace(valid, "instances = 1 ", "instances = 0x1 ", 1), ""},
		{"a.toml", "instance.instances = 1\n" + strings.Replace(valid, "[instance]", "[log2]", 1), "a.toml:"},
		{"a.json", strings.Replace(oldJSON, `"retry_after":true`, `"retry_after":3`, 1), "a.json:4: settings: limits.retry_after"},
		{"a.json", strings.Replace(oldJSON, `"quoted_time_s":1.5,`, "", 1), "a.json:7: settings: offerings.0.quoted_time_s: found nothing, allowed"},
		{"a.json", strings.Replace(oldJSON, `"max_pushes":3`, `"max_pushes":3,"streams_per_conn":0`, 1), "a.json:4: settings: limits.streams_per_conn"},
		{"a.json", oldJSON[:len(oldJSON)-1], "a.json:7: document"}, {"a.json", oldJSON + "1", "a.json:7: document"}, {"a.json", "{}", "a.json:1: "},
	} {
		m, err := Convert(c.name, []byte(c.in), pool)
		if c.want == "" {
			if err != nil {
				t.Error(err)
			}
			continue
		}
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || m.Text != nil {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
	for _, invalid := range []Pool{{Listen: "here", Sidecars: 1, Streams: 2}, {Listen: pool.Listen, Streams: 2}, {Listen: pool.Listen, Sidecars: 1, Streams: 1}} {
		if _, err := Convert("a.toml", []byte(valid), invalid); err == nil {
			t.Errorf("%+v was accepted", invalid)
		}
	}
}
