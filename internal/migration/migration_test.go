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
	text, err := os.ReadFile(oldTOML)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Every value that the pool doesn't change must stay, and each key that was not converted must be noted.
func TestConvertedConfigurationsKeepOtherValues(t *testing.T) {
	toml := strings.NewReplacer("# [state]\n# folder", "[state]\nfolder", `name = "desk-1" `, "seed = 'ab'\nname = \"desk-1\" ").Replace(readOldTOML(t))
	for name, in := range map[string]string{"old.toml": toml, "old.json": oldJSON} {
		result, err := Convert(name, []byte(in), pool)
		if err != nil {
			t.Fatal(err)
		}
		before, _ := daemon.Parse(name, []byte(in), noEnvironment)
		after, err := daemon.Parse(name, result.Text, noEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		newSettings := *after.Settings
		if newSettings.FixedWeights || newSettings.StreamsPerConnection != 100 || newSettings.Instances != 12 ||
			after.Listen != pool.Listen || len(result.Changed) != 4 || len(result.Unconverted) < 3 {
			t.Errorf("%s: unexpected new settings %+v\nor notes of changed keys %q\nand unconverted keys %q",
				name, newSettings, result.Changed, result.Unconverted)
		}
		oldSettings := *before.Settings
		if newSettings.Classes[0] != oldSettings.Classes[0] || len(newSettings.Classes) != len(oldSettings.Classes) ||
			newSettings.TotalQuota != oldSettings.TotalQuota || newSettings.ColdTime != oldSettings.ColdTime ||
			newSettings.MaxRetryAfter != oldSettings.MaxRetryAfter || newSettings.Zones != oldSettings.Zones ||
			after.ShutdownTime != before.ShutdownTime || after.Descriptors != before.Descriptors {
			t.Errorf("%s: a value that must stay has changed:\n%s", name, result.Text)
		}
		unconverted := strings.Join(result.Unconverted, "\n")
		for _, key := range map[string][]string{"old.toml": {"instance.seed", "state.folder"}, "old.json": {"seed", "known"}}[name] {
			if !strings.Contains(unconverted, key+": ") {
				t.Errorf("%s: %s is not noted as unconverted:\n%s", name, key, unconverted)
			}
		}
		if strings.Contains(string(result.Text), "8c1f30d27a5be964") || strings.Contains(string(result.Text), "\nseed") {
			t.Errorf("%s: the seed was kept", name)
		}
		if _, err := Convert(name, result.Text, pool); err == nil || !strings.Contains(err.Error(), "for a pool already") {
			t.Errorf("%s: converting the result again: got error %v, want \"for a pool already\"", name, err)
		}
	}
}

// The error of a configuration that can't be converted has file, line and key.
func TestErrorsHaveFileLineAndKey(t *testing.T) {
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
				t.Errorf("valid configuration %s: %v", c.name, err)
			}
			continue
		}
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || m.Text != nil {
			t.Errorf("got error %v, want one that starts with %q, and no text", err, c.want)
		}
	}
	for _, invalid := range []Pool{{Listen: "here", Sidecars: 1, Streams: 2}, {Listen: pool.Listen, Streams: 2}, {Listen: pool.Listen, Sidecars: 1, Streams: 1}} {
		if _, err := Convert("a.toml", []byte(valid), invalid); err == nil {
			t.Errorf("the invalid pool %+v was accepted", invalid)
		}
	}
}
