// Package migration converts the configuration of a sidecar that runs beside one client into that of a sidecar in a
// pool, which serves all clients. In the old configuration lists have nominal weights; in the new one weights follow
// the load, and connections carry many requests at once. The package converts text and does no I/O. docs/migration.md
// describes the whole procedure.
package migration

import (
	"bytes"
	"fmt"
	"net"

	"pepperlead/internal/daemon"
	"pepperlead/internal/endpointfiles"
)

// maxConfigSize is the largest size of a configuration in bytes.
const maxConfigSize = 1 << 20

// Bounds on the number of sidecars in a pool and of requests that a connection may carry at once.
const (
	minSidecars = 1
	maxSidecars = 1 << 16
	minStreams  = 2
	maxStreams  = 1 << 16
)

// Pool has the values of the new configuration that the old one doesn't have.
type Pool struct {
	Listen   string // address on which this sidecar listens, no longer only for a client on its own machine
	Sidecars int    // sidecars in the pool
	Streams  int    // requests that a connection may carry at once
	Seed     uint64 // of this sidecar
}

// Result is a converted configuration with notes for the operator.
type Result struct {
	Text        []byte
	Changed     []string // keys with their old and new values
	Unconverted []string // keys that were not converted, and why
}

// Convert converts a configuration. Its error has a line for each fault: file, line, key, what was found and what is
// allowed.
func Convert(file string, text []byte, pool Pool) (Result, error) {
	if err := pool.validate(); err != nil {
		return Result{}, err
	}
	convert := convertTOML
	if isJSON(text) {
		convert = convertJSON
	}
	converted, err := convert(file, text, pool)
	if err != nil {
		return Result{}, err
	}
	if err := verify(file, converted.Text, pool); err != nil {
		return Result{}, err
	}
	return converted, nil
}

// validate checks the address and the bounds.
func (p Pool) validate() error {
	if !endpointfiles.ValidAddress(p.Listen) {
		return fmt.Errorf("listen: found %q, allowed an IP address and port, such as 10.0.0.7:9000", p.Listen)
	}
	sidecarsValid := p.Sidecars >= minSidecars && p.Sidecars <= maxSidecars
	streamsValid := p.Streams >= minStreams && p.Streams <= maxStreams
	if !sidecarsValid || !streamsValid {
		return fmt.Errorf("instances and streams: found %d and %d, allowed 1 to 65536 and 2 to 65536",
			p.Sidecars, p.Streams)
	}
	return nil
}

// isJSON reports whether a configuration is the platform's, in JSON.
func isJSON(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

// verify checks that a converted configuration is valid and has the pool's values. The conversion can miss a value if
// the old configuration is written in a form that it does not expect.
func verify(file string, text []byte, pool Pool) error {
	config, err := daemon.Parse(file, text, noEnvironment)
	if err != nil {
		return fmt.Errorf("the converted configuration is invalid and was discarded:\n%w", err)
	}
	settings := config.Settings
	settingsMatch := settings.StreamsPerConnection == pool.Streams && settings.Instances == pool.Sidecars
	if settings.FixedWeights || !settingsMatch || config.Listen != pool.Listen {
		return fmt.Errorf("%s: its tables are written in a way that cannot be edited: "+
			"give each table its own header", file)
	}
	return nil
}

// noEnvironment is an environment without variables: only the file is converted.
func noEnvironment(string) string { return "" }

// addChange notes a key whose value was changed.
func (m *Result) addChange(key, from, to string) {
	m.Changed = append(m.Changed, fmt.Sprintf("%s: %s to %s", key, from, to))
}

// addUnconverted notes what was not converted.
func (m *Result) addUnconverted(key, reason string) {
	m.Unconverted = append(m.Unconverted, key+": "+reason)
}

// noteClients notes that clients must be reconfigured, if the old sidecar listens on a loopback address.
func (m *Result) noteClients(listen string) {
	host, _, err := net.SplitHostPort(listen)
	if err == nil && net.ParseIP(host).IsLoopback() {
		m.addUnconverted("clients",
			"they connect to "+listen+" on their own machine; configure them with the address of the pool's front")
	}
}
