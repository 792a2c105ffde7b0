package daemon

import (
	"bytes"
	"fmt"
	"os"
	"strconv"

	"pepperlead/internal/admin"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/membership"
	"pepperlead/policy"
)

const (
	// acceptTime is how long new connections are still accepted after SIGTERM. According to the platform, its clients
	// connect for up to 400 ms after the signal; the other 50 ms are a margin.
	acceptTime = 450 * policy.Millisecond
	// minInheritedDescriptor is the first descriptor after standard input, output and error.
	minInheritedDescriptor = 3
)

// Config is the configuration of an instance: of its proxy, cluster membership, log, and servers for operators.
type Config struct {
	httpproxy.Config
	Discovery      string // address of the discovery service, if that is the source
	Name           string
	fileDiscovery  string // the discovery address in the file, which the environment may override
	AdminAddress   string // of the command server; empty: none
	MetricsAddress string // of the metrics server; empty: none
	LogLevel       string // empty: the level of the command line, or the default
	LogFormat      string
	Membership     *membership.Config // nil: the instance is in no cluster
	AgreedRules    bool               // the rules come from coordinators
}

// Read reads a configuration file. Environment variables override some of its values. A text that starts with { is the
// platform's JSON, any other the product's TOML.
func Read(path string, env func(string) string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, text, env)
}

// Parse parses the text of a configuration file, as Read does. Faults are reported with the path.
func Parse(path string, text []byte, env func(string) string) (Config, error) {
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return parsePlatformFile(path, text, env)
	}
	c, err := parseProduct(path, text)
	if err != nil {
		return c, err
	}
	return c, c.setAdmin(c.AdminAddress, env)
}

// setAdmin sets the address of the command server, which the environment may override, and the inherited listener,
// which only the environment names. It reserves descriptors for the command server and the process group.
func (c *Config) setAdmin(address string, env func(string) string) error {
	c.AdminAddress = valueOrEnv(env, "GW_ADMIN", address)
	if c.AdminAddress != "" && !endpointfiles.ValidAddress(c.AdminAddress) {
		return fmt.Errorf("admin: found %q, allowed an IP address and port, such as 127.0.0.1:9002", c.AdminAddress)
	}
	if inherited := env("GW_INHERITED_FD"); inherited != "" {
		descriptor, err := strconv.Atoi(inherited)
		if err != nil || descriptor < minInheritedDescriptor {
			return fmt.Errorf("GW_INHERITED_FD: found %q, allowed the number of a file descriptor, from %d up",
				inherited, minInheritedDescriptor)
		}
		c.InheritedListener = descriptor
	}
	if c.AdminAddress != "" {
		c.ReservedDescriptors += admin.CommandDescriptors
	}
	if c.hasProcessGroup() {
		c.ReservedDescriptors += hotrestart.Descriptors
	}
	return nil
}

// hasProcessGroup reports whether the instance needs a process group. It does if it may consist of several processes,
// as during a hot restart, or if operators can drain endpoints, which the next process must know.
func (c *Config) hasProcessGroup() bool { return c.AdminAddress != "" || c.InheritedListener > 0 }

// valueOrEnv returns the value of an environment variable, or the configured value if the variable is empty.
func valueOrEnv(env func(string) string, name, value string) string {
	if v := env(name); v != "" {
		return v
	}
	return value
}
