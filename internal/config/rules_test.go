package config

import (
	"strings"
	"testing"

	"pepperlead/policy"
)

const rulesText = `[fleet]
instances = 7
servers_keep = "2s"
[cold]
share = 0.3
[[offering]]
name = "note"
quoted_time = "1s"
cut_off = "2s"
repeats = "numbered"
group = "zone"
window = "1500ms"
[[franchise]]
name = "x"
quota = 3
[[server]]
id = "a"
address = "10.0.0.1:80"
`

func TestRulesAreParsedAndValidated(t *testing.T) {
	rules, err := ReadRules("v", []byte(rulesText))
	if err != nil || rules.Settings.Instances != 7 || rules.Settings.ColdCapacity != 0.3 || len(rules.Endpoints) != 1 ||
		rules.Deadlines[0] != 2*policy.Second ||
		rules.Settings.Classes[0].Window != 1500*policy.Millisecond || rules.Settings.TotalQuota != 3 {
		t.Fatalf("unexpected rules %+v, error %v", rules, err)
	}
	for _, change := range [][2]string{
		{"instances = 7", ""},
		{`"1500ms"`, `"3s"`},
		{"[fleet]", "[flet]"},
		{`group = "zone"`, `group = "town"`},
		{"quota = 3", "quota = -3"},
		{`"10.0.0.1:80"`, `"nowhere"`},
		{`name = "x"`, `nam = "x"`},
		{"[cold]", "[cold"},
	} {
		text := strings.Replace(rulesText, change[0], change[1], 1)
		if _, err := ReadRules("v", []byte(text)); text == rulesText || err == nil ||
			!strings.Contains(err.Error(), "v:") {
			t.Errorf("rules with %q instead of %q: got error %v, want one with the file name",
				change[1], change[0], err)
		}
	}
}

func TestCoordinatorConfigIsParsedAndValidated(t *testing.T) {
	text := "[instance]\nname = \"k2\"\n[keep]\nfolder = \"f\"\n[peers]\nlisten = \"10.0.0.2:1\"\ncluster = \"c\"\nkey_file = \"k\"\n"
	for _, name := range []string{"k1", "k2", "k3"} {
		text += "[[keeper]]\nname = \"" + name + "\"\nlog = \"10.0.0." + name[1:] + ":4\"\npages = \"10.0.0." + name[1:] + ":5\"\n"
	}
	coordinator, err := ReadCoordinator("/etc/x/k.toml", []byte(text))
	if err != nil || coordinator.Directory != "/etc/x/f" || coordinator.Listen != "10.0.0.2:4" ||
		len(coordinator.Members) != 3 || coordinator.Lease != 1500*policy.Millisecond {
		t.Fatalf("unexpected coordinator configuration %+v, error %v", coordinator, err)
	}
	for _, change := range [][2]string{
		{`name = "k2"`, `name = "k9"`},
		{`name = "k3"`, `name = "k1"`},
		{"[[keeper]]\nname = \"k3\"", "[[keper]]\nname = \"k3\""},
		{`folder = "f"`, `lease = "1ms"`},
		{"[peers]", "[peer]"},
	} {
		bad := strings.Replace(text, change[0], change[1], 1)
		if _, err := ReadCoordinator("k", []byte(bad)); bad == text || err == nil {
			t.Errorf("coordinator configuration with %q instead of %q: got error %v, want a fault",
				change[1], change[0], err)
		}
	}
}
