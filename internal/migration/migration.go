// Package migration converts a configuration of the old shape into the new one. In the old shape a sidecar runs beside
// each client, and lists have nominal weights; in the new one a pool of sidecars serves all clients, weights follow the
// load, and connections carry many requests. It converts text and does no I/O. docs/migration.md has the steps around
// it.
package migration

import (
	"bytes"
	"fmt"
	"net"

	"pepperlead/internal/daemon"
	"pepperlead/internal/endpointfiles"
)

// maxConfigSize is how many bytes a configuration may have.
const maxConfigSize = 1 << 20

// Bounds on the pool.
const (
	minSidecars = 1
	maxSidecars = 1 << 16
	minStreams  = 2
	maxStreams  = 1 << 16
)

// Pool is what the new configuration says and the old one can't.
type Pool struct {
	Listen   string // address at which clients reach this sidecar
	Sidecars int    // sidecars in the pool
	Streams  int    // requests that one connection carries at once
	Seed     uint64 // of this sidecar
}

// Result is a converted configuration, and what an operator should know about it.
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

// validate checks the bounds.
func (p Pool) validate() error {
	if !endpointfiles.ValidAddress(p.Listen) {
		return fmt.Errorf("listen: found %q, allowed an IP address and port, as 10.0.0.7:9000", p.Listen)
	}
	sidecarsValid := p.Sidecars >= minSidecars && p.Sidecars <= maxSidecars
	streamsValid := p.Streams >= minStreams && p.Streams <= maxStreams
	if !sidecarsValid || !streamsValid {
		return fmt.Errorf("instances and streams: found %d and %d, allowed from 1 and from 2 to 65536",
			p.Sidecars, p.Streams)
	}
	return nil
}

// isJSON reports whether a configuration is the platform's, in JSON.
func isJSON(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

// verify checks that a converted configuration is valid and has the pool's values: the old one may be written in a form
// that the conversion does not expect.
func verify(file string, text []byte, pool Pool) error {
	config, err := daemon.Parse(file, text, noEnvironment)
	if err != nil {
		return fmt.Errorf("what was made of it cannot be served, and was thrown away:\n%w", err)
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

// noteClients notes that clients must be reconfigured, if they reach the old sidecar on their own machine.
func (m *Result) noteClients(listen string) {
	host, _, err := net.SplitHostPort(listen)
	if err == nil && net.ParseIP(host).IsLoopback() {
		m.addUnconverted("clients",
			"they asked "+listen+", on their own machine; they must be told of the pool's front")
	}
}
