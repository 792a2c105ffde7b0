package migration

import (
	"os"
	"strings"
	"testing"

	"pepperlead/internal/daemon"
)

const old = "../../deploy/standalone.toml"

var to = Pool{Listen: "10.0.0.7:9000", Sidecar: 12, Streams: 100, Seed: 0xabc}

const sent = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[]},
"settings":{"balancers":3,"zone":"a","zones":["a","b"],"weight_kind":"rough","membership_mode":"pushed","tick_s":0.005,
"limits":{"cancel":true,"max_pushes":3,"retry_after":true,
"max_retry_after_s":3.0,"connect_timeout_s":0.2,"conn_idle_s":60.0},"prices":{"cross_zone":0.03},
"rules":{"cold_from":0.13,"cold_s":24.0,"fall_multiple":3.0},"offerings":[
{"name":"step","credit":5.0,"overdue_credit":0.2,"quoted_time_s":1.5,"cut_off_s":2.0,"idempotency":"retryable"}]}}`

func text(t *testing.T) string {
	b, err := os.ReadFile(old)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// All but what the pool needs is read back as it was; what was dropped is told.
func TestCounterpartsSayWhatTheOldFileSaid(t *testing.T) {
	toml := strings.NewReplacer("# [state]\n# folder", "[state]\nfolder", `name = "desk-1" `, "seed = 'ab'\nname = \"desk-1\" ").Replace(text(t))
	for name, in := range map[string]string{"old.toml": toml, "old.json": sent} {
		m, err := Make(name, []byte(in), to)
		if err != nil {
			t.Fatal(err)
		}
		was, _ := daemon.Parse(name, []byte(in), nobody)
		is, err := daemon.Parse(name, m.Text, nobody)
		if err != nil {
			t.Fatal(err)
		}
		c := *is.Settings
		if c.FixedWeights || c.StreamsPerConnection != 100 || c.Instances != 12 || is.Listen != to.Listen || len(m.Changed) != 4 || len(m.Left) < 3 {
			t.Errorf("%s: %+v\n%q\n%q", name, c, m.Changed, m.Left)
		}
		a := *was.Settings
		if c.Classes[0] != a.Classes[0] || len(c.Classes) != len(a.Classes) || c.TotalQuota != a.TotalQuota || c.ColdTime != a.ColdTime ||
			c.MaxRetryAfter != a.MaxRetryAfter || c.Zones != a.Zones || is.ShutdownTime != was.ShutdownTime || is.Descriptors != was.Descriptors {
			t.Errorf("%s: something else has changed:\n%s", name, m.Text)
		}
		told := strings.Join(m.Left, "\n")
		for _, key := range map[string][]string{"old.toml": {"instance.seed", "state.folder"}, "old.json": {"seed", "known"}}[name] {
			if !strings.Contains(told, key+": ") {
				t.Errorf("%s: %s is not told of:\n%s", name, key, told)
			}
		}
		if strings.Contains(string(m.Text), "8c1f30d27a5be964") || strings.Contains(string(m.Text), "\nseed") {
			t.Errorf("%s: the seed was kept", name)
		}
		if _, err := Make(name, m.Text, to); err == nil || !strings.Contains(err.Error(), "new shape already") {
			t.Errorf("%s: made twice: %v", name, err)
		}
	}
}

// What cannot be used is told with file, line and key; nothing is made of it.
func TestFaultsHaveTheirPlace(t *testing.T) {
	whole := text(t)
	for _, c := range []struct{ name, in, want string }{
		{"a.toml", strings.Replace(whole, "cancel = true", "cancel = 7", 1), "a.toml:26: limits.cancel: found 7, allowed true or false"},
		{"a.toml", strings.Replace(whole, "[limits]", "[limits", 1), "a.toml:22: document"},
		{"a.toml", strings.Replace(whole, "instances = 1 ", "instances = 0x1 ", 1), ""},
		{"a.toml", "instance.instances = 1\n" + strings.Replace(whole, "[instance]", "[log2]", 1), "a.toml:"},
		{"a.json", strings.Replace(sent, `"retry_after":true`, `"retry_after":3`, 1), "a.json:4: settings: limits.retry_after"},
		{"a.json", strings.Replace(sent, `"quoted_time_s":1.5,`, "", 1), "a.json:7: settings: offerings.0.quoted_time_s: found nothing, allowed"},
		{"a.json", strings.Replace(sent, `"max_pushes":3`, `"max_pushes":3,"streams_per_conn":0`, 1), "a.json:4: settings: limits.streams_per_conn"},
		{"a.json", sent[:len(sent)-1], "a.json:7: document"}, {"a.json", sent + "1", "a.json:7: document"}, {"a.json", "{}", "a.json:1: "},
	} {
		m, err := Make(c.name, []byte(c.in), to)
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
	for _, bad := range []Pool{{Listen: "here", Sidecar: 1, Streams: 2}, {Listen: to.Listen, Streams: 2}, {Listen: to.Listen, Sidecar: 1, Streams: 1}} {
		if _, err := Make("a.toml", []byte(whole), bad); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
