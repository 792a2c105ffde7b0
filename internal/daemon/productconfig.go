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

	// watchDescriptors are for the notifier of file changes, and for the file being read or written.
	watchDescriptors = 6
	// metricsListenerDescriptors are those of the metrics server beside its connections.
	metricsListenerDescriptors = 2
)

// parseProduct parses the product's own configuration.
func parseProduct(path string, text []byte) (Config, error) {
	in, err := config.Read(path, text)
	if err != nil {
		return Config{}, err
	}
	c := Config{
		Name:           in.Name,
		AdminAddress:   in.AdminAddress,
		MetricsAddress: in.MetricsAddress,
		Discovery:      in.Discovery,
		LogLevel:       in.LogLevel,
		LogFormat:      in.LogFormat,
		Config:         productProxyConfig(in),
	}
	c.Seed = rand.Uint64()
	if in.Seeded {
		c.Seed = instanceSeed(in.Seed, in.Listen)
	}
	c.ShutdownTime = in.ShutdownTime + acceptTime
	c.Source, c.ReservedDescriptors = newSource(in)
	if in.Peers.Listen != "" {
		if err := c.setMembership(path, in); err != nil {
			return c, err
		}
	}
	if in.MetricsAddress != "" {
		c.Latency = admin.NewLatency(in.Settings.Classes)
		c.ReservedDescriptors += admin.MaxConnections + metricsListenerDescriptors
	}
	return c, nil
}

// productProxyConfig returns the part of the configuration that the proxy has.
func productProxyConfig(in *config.Config) httpproxy.Config {
	return httpproxy.Config{
		Listen:         in.Listen,
		Descriptors:    in.Descriptors,
		MessageMemory:  in.MemoryMB * bytesPerMB,
		ConnectTimeout: in.ConnectTimeout,
		SourceIP:       in.SourceIP,
		IdleTimeout:    in.IdleTimeout,
		AcceptTime:     acceptTime,
		Settings:       in.Settings,
		Deadlines:      in.Deadlines,
		DefaultClass:   in.DefaultClass,
		Anonymous:      in.Anonymous,
		StallAfter:     StallAfter,
	}
}

// setMembership sets the configuration of the instance's cluster.
func (c *Config) setMembership(path string, in *config.Config) error {
	key, err := membership.ReadKey(in.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("%s: peers.key_file: %w", path, err)
	}
	c.Membership = &membership.Config{
		Name:      in.Name,
		Cluster:   in.Peers.Cluster,
		Listen:    in.Peers.Listen,
		Advertise: in.Peers.Advertise,
		Join:      in.Peers.Join,
		Key:       key,
		Zone:      string(in.Settings.Zone),
	}
	c.AgreedRules = in.Peers.AgreedRules
	c.ReservedDescriptors += membership.Descriptors
	return nil
}

// ClientConfig is the configuration of a client that decides by itself, without a proxy.
type ClientConfig struct {
	Seed        uint64 // 0: to be drawn
	Settings    *policy.Settings
	Deadlines   []policy.Time
	Source      discovery.Source
	Methods     [][]string // by class
	KeyMetadata string
	KeyField    string
	LogLevel    string
	LogFormat   string
}

// ParseClient parses the configuration of a client.
func ParseClient(name string, text []byte) (ClientConfig, error) {
	in, err := config.ReadClient(name, text)
	if err != nil {
		return ClientConfig{}, err
	}
	c := ClientConfig{
		Settings:    in.Settings,
		Deadlines:   in.Deadlines,
		Methods:     in.Methods,
		KeyMetadata: in.KeyMetadata,
		KeyField:    in.KeyField,
		LogLevel:    in.LogLevel,
		LogFormat:   in.LogFormat,
	}
	if in.Seeded {
		c.Seed = instanceSeed(in.Seed, "")
	}
	c.Source, _ = newSource(in)
	return c, nil
}

// newSource makes the source that the configuration names, and returns how many descriptors it takes.
func newSource(in *config.Config) (source discovery.Source, descriptors int) {
	now := clock.New().Now
	switch in.SourceKind {
	case config.Files:
		source = discovery.NewFiles(in.Patterns, in.FileLimits, now)
		descriptors = watchDescriptors
	case config.Discovery:
		platform := discovery.NewPlatform(in.Discovery, false)
		platform.SourceIP = in.SourceIP
		source = platform
	case config.Fixed:
		source = &discovery.Fixed{Entries: in.Endpoints, Label: fmt.Sprintf("fixed: %+v", in.Endpoints)}
	}
	if in.StateDirectory != "" {
		source = discovery.NewCached(source, in.StateDirectory, now)
	}
	return source, descriptors
}
