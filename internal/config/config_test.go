package config

import (
	"os"
	"strings"
	"testing"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

const exampleFile = "../../deploy/standalone.toml"

func exampleText(t testing.TB) string {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleIsParsed(t *testing.T) {
	config, err := Read(exampleFile, []byte(exampleText(t)))
	if err != nil {
		t.Fatal(err)
	}
	settings := config.Settings
	if config.Listen != "127.0.0.1:9000" || config.AdminAddress != "127.0.0.1:9002" ||
		config.MetricsAddress != "127.0.0.1:9001" || !config.Anonymous || config.MemoryMB != 192 ||
		settings.Zones != 2 ||
		settings.Zone != "a" || len(settings.Classes) != 3 || settings.Classes[1].Idempotency != policy.Keyed ||
		settings.Classes[1].Group != policy.GroupZone || settings.Classes[1].Window != 2*policy.Second ||
		config.DefaultClass != "step" ||
		config.Deadlines[0] != 2*policy.Second || settings.Classes[0].Deadline != 2*policy.Second ||
		!settings.FixedWeights || settings.StreamsPerConnection != 1 || config.ShutdownTime != 3*policy.Second ||
		settings.TotalQuota != 250 || settings.ColdTime != 24*policy.Second ||
		config.Patterns[0] != "../../deploy/servers.toml" || config.FileLimits.SettleTime != 200*policy.Millisecond {
		t.Errorf("unexpected configuration %+v\nwith settings %+v", config, settings)
	}
	list, err := os.ReadFile(config.Patterns[0])
	if f := endpointfiles.Parse("servers.toml", list); err != nil || f.Problem != "" || !f.Sealed ||
		len(f.Entries) != 3 {
		t.Errorf("list file of the example: error %v, unexpected contents %+v", err, f)
	}
}

// All faults are reported at once, each with its line, its key, what was found and what is allowed.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	valid := exampleText(t)
	var expected []string
	broken := valid
	for _, change := range []struct{ old, new, fault string }{
		{`zone = "a"   `, `zone = "c"`, `instance.zone: found "c", allowed one of the zones, a, b`},
		{
			`listen = "127.0.0.1:9000"`, `listen = "here:9000"`,
			`front.http.listen: found "here:9000", allowed an IP address and port`,
		},
		{
			`listen = "127.0.0.1:9001"`, `listens = "127.0.0.1:9001"`,
			`pages.listens: found an unknown key, allowed listen`,
		},
		{"descriptors = 1024", "descriptors = 8", "limits.descriptors: found 8, allowed a whole number from 64"},
		{"cross_price = 0.03", "weights = 'heavy'", `instance.weights: found "heavy", allowed nominal, live`},
		{"memory_mb = 192", "streams = 0", "limits.streams: found 0, allowed a whole number from 1"},
		{"cancel = true", `cancel = "yes"`, `limits.cancel: found "yes", allowed true or false`},
		{`advice = "3s"`, `advice = 3`, `limits.advice: found 3, allowed a time as "400ms"`},
		{"share = 0.2", "share = nan", "cold.share: found NaN, allowed a number from 0.001 to 1"},
		{
			`cut_off = "2s"`, `cut_off = "100ms"`,
			`offering[0].cut_off: found "100ms", allowed at least the quoted time, 400ms`,
		},
		{`window = "2s"`, ``, "offering[1].window: found nothing, allowed a value: it must be given"},
		{`name = "call"`, `name = "step"`, `offering[2].name: found "step", allowed a unique name: line `},
		{
			`repeats = "at-most-once"`, `group = "all"`,
			`offering[2].group: found "all", allowed nothing: only with repeats`,
		},
		{"quota = 50.0", "quota = -1", "franchise[1].quota: found -1, allowed a number from 1e-06"},
		{`files = ["servers.toml"]`, `files = ["[a"]`, "source.files: found "},
		{
			`settle = "200ms"`, `address = "127.0.0.1:1"`,
			`source.address: found "127.0.0.1:1", allowed nothing: only with kind = "discovery"`,
		},
		{`format = "text"`, `format = "xml"`, `log.format: found "xml", allowed text, json`},
	} {
		if !strings.Contains(broken, change.old) {
			t.Fatalf("%q is not in the example", change.old)
		}
		broken = strings.Replace(broken, change.old, change.new, 1)
		expected = append(expected, change.fault)
	}
	_, err := Read("x.toml", []byte(broken))
	if err == nil {
		t.Fatal("the invalid configuration was accepted")
	}
	lines := strings.Split(err.Error(), "\n")
	for _, want := range expected {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("fault not reported: %s", want)
		}
	}
	if len(lines) != len(expected) {
		t.Errorf("%d faults reported, want %d:\n%v", len(lines), len(expected), err)
	}
	for _, line := range lines {
		if !strings.HasPrefix(line, "x.toml:") {
			t.Errorf("fault without the file name: %s", line)
		}
	}
	for _, change := range [][2]string{
		{"[source]", "[sauce]"},
		{"[[offering]]", "[offering]"},
		{`kind = "files"`, `kind = "fixed"`},
		{`kind = "files"`, `kind = "discovery"`},
		{"[log]", "[[log]]"},
		{"[instance]", "[instance"},
		{"[cold]", "[limits]"},
	} {
		if _, err := Read("x.toml", []byte(strings.Replace(valid, change[0], change[1], 1))); err == nil ||
			!strings.HasPrefix(err.Error(), "x.toml:") {
			t.Errorf("configuration with %s: got error %v, want one that starts with the file name", change[1], err)
		}
	}
}

func TestPeersAreParsedAndValidated(t *testing.T) {
	peers := "[peers]\nlisten = \"127.0.0.1:9003\"\ncluster = \"c\"\nkey_file = \"k\"\njoin = [\"10.0.0.8:9003\"]\n[limits]"
	config, err := Read(exampleFile, []byte(strings.Replace(exampleText(t), "[limits]", peers, 1)))
	if err != nil || config.Peers.Listen != "127.0.0.1:9003" || config.Peers.KeyFile != "../../deploy/k" ||
		len(config.Peers.Join) != 1 {
		t.Errorf("error %v, unexpected configuration %+v", err, config)
	}
	for _, change := range [][2]string{
		{"9003\"\nc", "9000\"\nc"},
		{"10.0.0.8:9003", "host:9003"},
		{"cluster", "name"},
		{`key_file = "k"`, ""},
		{`name = "desk-1"`, ""},
	} {
		bad := strings.Replace(strings.Replace(exampleText(t), "[limits]", peers, 1), change[0], change[1], 1)
		if _, err := Read("x.toml", []byte(bad)); err == nil || !strings.Contains(err.Error(), "x.toml:") ||
			!strings.Contains(err.Error(), ", allowed ") {
			t.Errorf("peers with %s: got error %v, want one with the file name and what is allowed", change[1], err)
		}
	}
}

// No text may cause a panic, and a configuration that is accepted must be complete and consistent.
func FuzzRead(f *testing.F) {
	f.Add([]byte(exampleText(f)))
	f.Add([]byte("front = {http = {listen = '[::1]:1'}}\nsource = {kind = 'fixed', server = [{id = 'a', address = '[::1]:2'}]}\n" +
		"[[offering]]\nname = 'a'\nquoted_time = '1s'\ncut_off = '2s'"))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Read("f", text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("error without the file name: %v", err)
			}
			return
		}
		settings := config.Settings
		if len(settings.Classes) == 0 || len(config.Deadlines) != len(settings.Classes) || !endpointfiles.ValidAddress(config.Listen) ||
			settings.Instances < 1 ||
			config.ShutdownTime <= 0 || config.SourceKind == Files && len(config.Patterns) == 0 ||
			config.SourceKind == Fixed && len(config.Endpoints) == 0 {
			t.Fatalf("accepted an incomplete configuration %+v with settings %+v", config, settings)
		}
		for i, class := range settings.Classes {
			if class.Target <= 0 || config.Deadlines[i] < class.Target || class.Name == "" ||
				(class.Idempotency == policy.Keyed) != (class.Window > 0) {
				t.Fatalf("accepted an inconsistent class %+v", class)
			}
		}
	})
}
