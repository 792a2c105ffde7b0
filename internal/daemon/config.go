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
	// acceptTime is how long clients are still accepted after SIGTERM: 50 ms more than they are said to come.
	acceptTime = 450 * policy.Millisecond
	// minInheritedDescriptor is the first one after standard input, output and error.
	minInheritedDescriptor = 3
)

// Config is the configuration of an instance: of its proxy and of what surrounds that.
type Config struct {
	httpproxy.Config
	Discovery      string // address of the platform's discovery, if that is the source
	Name           string
	fileDiscovery  string // Discovery as the file alone has it
	AdminAddress   string // of the command server; "": none
	MetricsAddress string // of the metrics server; "": none
	LogLevel       string // "": as the command line says
	LogFormat      string
	Membership     *membership.Config // nil: none
	AgreedRules    bool               // the rules come from coordinators
}

// Read reads the configuration in a file, and what the environment says in its place. A text that begins with { is the
// platform's JSON, any other the product's TOML.
func Read(path string, env func(string) string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, text, env)
}

// Parse parses the text of such a file.
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

// setAdmin sets the command server and the inherited listener, for which the environment goes first, and reserves
// descriptors for them.
func (c *Config) setAdmin(address string, env func(string) string) error {
	c.AdminAddress = valueOrEnv(env, "GW_ADMIN", address)
	if c.AdminAddress != "" && !endpointfiles.ValidAddress(c.AdminAddress) {
		return fmt.Errorf("admin: found %q, allowed an IP address and port, as 127.0.0.1:9002", c.AdminAddress)
	}
	if inherited := env("GW_INHERITED_FD"); inherited != "" {
		descriptor, err := strconv.Atoi(inherited)
		if err != nil || descriptor < minInheritedDescriptor {
			return fmt.Errorf("GW_INHERITED_FD: found %q, allowed the number of a descriptor", inherited)
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

// hasProcessGroup tells whether the instance may have other processes, or has state to keep for the next one.
func (c *Config) hasProcessGroup() bool { return c.AdminAddress != "" || c.InheritedListener > 0 }

// valueOrEnv is a value of the configuration unless the environment has another one.
func valueOrEnv(env func(string) string, name, value string) string {
	if v := env(name); v != "" {
		return v
	}
	return value
}
