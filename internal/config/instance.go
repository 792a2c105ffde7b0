package config

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// readInstance reads the name, zone, seed and weights of the instance, and the number of instances.
func (c *Config) readInstance(t *tomlfile.Table) {
	settings := c.Settings
	c.Name = t.String("name", "pepperlead")
	zone := t.String("zone", "")
	zones := t.Strings("zones")
	settings.Zone = policy.Zone(zone)
	settings.Zones = max(1, len(zones))
	if len(zones) > 0 && !slices.Contains(zones, zone) {
		t.Fault("zone", t.Found("zone"), "one of the zones, "+strings.Join(zones, ", "))
	}
	settings.Instances = readInstances(t)
	settings.CrossZonePrice = t.Float("cross_price", 0, 0, 1)
	settings.FixedWeights = t.OneOf("weights", 0, "nominal", "live") == 0
	if seed := t.String("seed", ""); seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			t.Fault("seed", t.Found("seed"), "a hexadecimal number of 64 bits")
		}
		c.Seeded = true
	}
	t.RejectUnknown()
}

// readInstances reads the number of instances of the fleet, among which budgets are divided.
func readInstances(t *tomlfile.Table) int { return int(t.Count("instances", 1, 1, 1<<16)) }

// readLimits reads resource limits and timeouts.
func (c *Config) readLimits(t *tomlfile.Table) {
	settings := c.Settings
	c.Descriptors = int(t.Count("descriptors", 1024, 64, 1<<20))
	c.MemoryMB = int(t.Count("memory_mb", 192, 32, 1<<16))
	c.ConnectTimeout = t.Duration("connect", policy.Second/5, policy.Millisecond, 60*policy.Second)
	if source := t.String("from", ""); source != "" {
		c.SourceIP = net.ParseIP(source)
		if c.SourceIP == nil || c.SourceIP.IsUnspecified() {
			t.Fault("from", t.Found("from"), "an IP address of this machine")
		}
	}
	c.IdleTimeout = t.Duration("idle", 60*policy.Second, policy.Second/10, 3600*policy.Second)
	c.ShutdownTime = t.Duration("leave", 0, policy.Second/10, 3600*policy.Second)
	settings.MaxAttempts = int(t.Count("pushes", 3, 1, 8))
	settings.StreamsPerConnection = int(t.Count("streams", 1, 1, 1<<16))
	settings.MayCancel = t.Bool("cancel", true)
	settings.MaxRetryAfter = t.Duration("advice", 3*policy.Second, 0, 3600*policy.Second)
	settings.Tick = t.Duration("tick", defaultTick, policy.Millisecond, 100*policy.Millisecond)
	t.RejectUnknown()
}

// defaultTick is the default of the policy's time step.
const defaultTick = 5 * policy.Millisecond

// readColdStart reads how endpoints warm up after their start, and which multiple of their capacity they can take.
func readColdStart(t *tomlfile.Table, settings *policy.Settings) {
	settings.ColdCapacity = t.Float("share", 0.2, 0.001, 1)
	settings.ColdTime = t.Duration("time", 24*policy.Second, 0, 3600*policy.Second)
	settings.OverloadMultiple = t.Float("fall", 3, 1, 1000)
	t.RejectUnknown()
}
