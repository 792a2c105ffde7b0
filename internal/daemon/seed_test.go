package daemon

import (
	"strings"
	"testing"
)

const seededConfiguration = `
[instance]
seed = "7"
[front.http]
listen = "127.0.0.1:9000"
[source]
kind = "fixed"
[[source.server]]
id = "a"
address = "127.0.0.1:9100"
[[offering]]
name = "any"
quoted_time = "1s"
cut_off = "2s"
`

// Instances that share a configuration file with a seed must get different seeds, and each the same one after a
// restart.
func TestInstancesThatShareAFileHaveDifferentSeeds(t *testing.T) {
	seeds := map[uint64]string{}
	for _, listen := range []string{"127.0.0.1:9000", "127.0.0.1:9001", "127.0.0.2:9000"} {
		text := []byte(strings.Replace(seededConfiguration, "127.0.0.1:9000", listen, 1))
		config, err := parseProduct("x.toml", text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parseProduct("x.toml", text)
		if err != nil || again.Seed != config.Seed {
			t.Errorf("instance at %s: seed %x, after a restart %x (error %v)", listen, config.Seed, again.Seed, err)
		}
		if other, exists := seeds[config.Seed]; exists {
			t.Errorf("instances at %s and %s have the same seed", listen, other)
		}
		seeds[config.Seed] = listen
	}
	for _, host := range []string{"one", "two", "onetwo"} {
		seed := hostSeed(7, host, "127.0.0.1:9000")
		if other, exists := seeds[seed]; exists {
			t.Errorf("hosts %s and %s have the same seed", host, other)
		}
		seeds[seed] = host
	}
}
