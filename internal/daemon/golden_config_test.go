package daemon

import (
	"testing"

	"pepperlead/internal/golden"
)

// The values parsed from the platform's JSON, in which each key is present, must be those of the golden files.
func TestPlatformConfigurationMatchesGoldenFiles(t *testing.T) {
	reads := []struct {
		path, golden string
		environment  map[string]string
	}{
		{"testdata/every-key.json", "every-key.values", nil},
		{"testdata/asked.json", "asked.values", nil},
		{"testdata/every-key.json", "every-key-environment.values", map[string]string{"GW_LISTEN": "127.9.9.1:1",
			"GW_DISCOVERY": "127.9.9.2:2", "GW_NAME": "named", "GW_ADMIN": "127.9.9.3:3", "GW_INHERITED_FD": "7"}},
	}
	for _, read := range reads {
		config, err := Read(read.path, func(name string) string { return read.environment[name] })
		if err != nil {
			t.Fatal(err)
		}
		if config.Latency != nil || config.Recorder != nil || config.ImportState != nil {
			t.Errorf("%s: found values that the platform's configuration does not have", read.golden)
		}
		source := config.Source.Name()
		config.Source = nil
		golden.Compare(t, read.golden, append(golden.Values(config), golden.Values(source)...))
	}
}
