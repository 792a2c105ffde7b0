package daemon

import (
	"fmt"
	"math/rand/v2"

	"pepperlead/internal/admin"
	"pepperlead/internal/clock"
	"pepperlead/internal/config"
	"pepperlead/internal/discovery"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/membership"
	"pepperlead/policy"
)

const (
	bytesPerMB = 1 << 20

	// watchDescriptors is the number of file descriptors for the file watcher and for the file being read or written.
	watchDescriptors = 6
	// metricsListenerDescriptors is the number of file descriptors that the metrics server holds in addition to its
	// connections.
	metricsListenerDescriptors = 2
)

// parseProduct parses the product's own configuration.
func parseProduct(path string, text []byte) (Config, error) {
	parsed, err := config.Read(path, text)
	if err != nil {
		return Config{}, err
	}
	c := Config{
		Name:           parsed.Name,
		AdminAddress:   parsed.AdminAddress,
		MetricsAddress: parsed.MetricsAddress,
		Discovery:      parsed.Discovery,
		LogLevel:       parsed.LogLevel,
		LogFormat:      parsed.LogFormat,
		Config:         productProxyConfig(parsed),
	}
	c.Seed = rand.Uint64()
	if parsed.Seeded {
		c.Seed = instanceSeed(parsed.Seed, parsed.Listen)
	}
	c.ShutdownTime = parsed.ShutdownTime + acceptTime
	c.Source, c.ReservedDescriptors = newSource(parsed)
	if parsed.Peers.Listen != "" {
		if err := c.setMembership(path, parsed); err != nil {
			return c, err
		}
	}
	if parsed.MetricsAddress != "" {
		c.Latency = admin.NewLatency(parsed.Settings.Classes)
		c.ReservedDescriptors += admin.MaxConnections + metricsListenerDescriptors
	}
	return c, nil
}

// productProxyConfig returns the proxy's part of a configuration.
func productProxyConfig(parsed *config.Config) httpproxy.Config {
	return httpproxy.Config{
		Listen:         parsed.Listen,
		Descriptors:    parsed.Descriptors,
		MessageMemory:  parsed.MemoryMB * bytesPerMB,
		ConnectTimeout: parsed.ConnectTimeout,
		SourceIP:       parsed.SourceIP,
		IdleTimeout:    parsed.IdleTimeout,
		AcceptTime:     acceptTime,
		Settings:       parsed.Settings,
		Deadlines:      parsed.Deadlines,
		DefaultClass:   parsed.DefaultClass,
		Anonymous:      parsed.Anonymous,
		StallAfter:     StallAfter,
	}
}

// setMembership reads the cluster's key and sets the configuration of the cluster membership.
func (c *Config) setMembership(path string, parsed *config.Config) error {
	key, err := membership.ReadKey(parsed.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("%s: peers.key_file: %w", path, err)
	}
	c.Membership = &membership.Config{
		Name:      parsed.Name,
		Cluster:   parsed.Peers.Cluster,
		Listen:    parsed.Peers.Listen,
		Advertise: parsed.Peers.Advertise,
		Join:      parsed.Peers.Join,
		Key:       key,
		Zone:      string(parsed.Settings.Zone),
	}
	c.AgreedRules = parsed.Peers.AgreedRules
	c.ReservedDescriptors += membership.Descriptors
	return nil
}

// ClientConfig is the configuration of an RPC client that balances its requests itself, without a sidecar.
type ClientConfig struct {
	Seed        uint64 // 0: the client draws one
	Settings    *policy.Settings
	Deadlines   []policy.Time // by class
	Source      discovery.Source
	Methods     [][]string // RPC methods by class
	KeyMetadata string     // name of the RPC metadata that holds a request's key
	KeyField    string     // name of the request message's field that holds the key if no metadata does
	LogLevel    string
	LogFormat   string
}

// ParseClient parses the TOML configuration of an RPC client. Faults are reported with the name.
func ParseClient(name string, text []byte) (ClientConfig, error) {
	parsed, err := config.ReadClient(name, text)
	if err != nil {
		return ClientConfig{}, err
	}
	c := ClientConfig{
		Settings:    parsed.Settings,
		Deadlines:   parsed.Deadlines,
		Methods:     parsed.Methods,
		KeyMetadata: parsed.KeyMetadata,
		KeyField:    parsed.KeyField,
		LogLevel:    parsed.LogLevel,
		LogFormat:   parsed.LogFormat,
	}
	if parsed.Seeded {
		c.Seed = instanceSeed(parsed.Seed, "")
	}
	c.Source, _ = newSource(parsed)
	return c, nil
}

// newSource returns the source of endpoints that a configuration names, and how many descriptors it needs.
func newSource(parsed *config.Config) (source discovery.Source, descriptors int) {
	now := clock.New().Now
	switch parsed.SourceKind {
	case config.Files:
		source = discovery.NewFiles(parsed.Patterns, parsed.FileLimits, now)
		descriptors = watchDescriptors
	case config.Discovery:
		platform := discovery.NewPlatform(parsed.Discovery, false)
		platform.SourceIP = parsed.SourceIP
		source = platform
	case config.Fixed:
		source = &discovery.Fixed{Entries: parsed.Endpoints, Label: fmt.Sprintf("fixed: %+v", parsed.Endpoints)}
	}
	if parsed.StateDirectory != "" {
		source = discovery.NewCached(source, parsed.StateDirectory, now)
	}
	return source, descriptors
}
