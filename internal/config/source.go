package config

import (
	"fmt"
	"path/filepath"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// SourceKind is where the endpoint list comes from.
type SourceKind uint8

// The kinds of sources, in the order of sourceKeys.
const (
	Files     SourceKind = iota // watched endpoint files
	Discovery                   // a discovery service
	Fixed                       // the configuration itself
)

// sourceKeys are the keys of each kind of source.
var sourceKeys = []struct {
	kind     string
	required string
	keys     []string // keys that only this kind has
}{
	Files: {
		kind:     "files",
		required: "files",
		keys:     []string{"files", "may_take_away", "settle", "missing_for", "remember", "sealed"},
	},
	Discovery: {kind: "discovery", required: "address", keys: []string{"address"}},
	Fixed:     {kind: "fixed", required: "server", keys: []string{"server"}},
}

// readSource reads where the endpoint list comes from.
func (c *Config) readSource(t *tomlfile.Table, directory string) {
	t.Require("kind")
	c.SourceKind = SourceKind(t.OneOf("kind", int(Files), "files", "discovery", "fixed"))
	c.Discovery = readAddress(t, "address", c.SourceKind == Discovery && t.Has("kind"))
	for _, pattern := range t.Strings("files") {
		if _, err := filepath.Match(pattern, ""); err != nil {
			t.Fault("files", fmt.Sprintf("%q", pattern), "paths and patterns with * ? and [a-z]")
		}
		c.Patterns = append(c.Patterns, resolvePath(directory, pattern))
	}
	c.FileLimits = endpointfiles.Limits{
		MaxRemovedShare: t.Float("may_take_away", 0.5, 0, 1),
		SettleTime:      t.Duration("settle", 200*policy.Millisecond, 0, 60*policy.Second),
		MissingTime:     t.Duration("missing_for", 5*policy.Second, 0, 3600*policy.Second),
		DrainMemory:     t.Duration("remember", 24*3600*policy.Second, policy.Second, 366*24*3600*policy.Second),
		RequireDigest:   t.Bool("sealed", false),
	}
	for _, server := range t.Tables("server") {
		c.Endpoints = append(c.Endpoints, endpointfiles.ReadEndpoint(server))
	}
	if t.Has("kind") {
		c.checkSourceKeys(t)
	}
	t.RejectUnknown()
}

// checkSourceKeys reports missing keys of the chosen kind of source, and keys of other kinds, which would have no
// effect.
func (c *Config) checkSourceKeys(t *tomlfile.Table) {
	for kind, source := range sourceKeys {
		if SourceKind(kind) == c.SourceKind {
			t.Require(source.required)
			empty := len(c.Patterns)+len(c.Endpoints) == 0
			if t.Has(source.required) && empty && c.SourceKind != Discovery {
				t.Fault(source.required, t.Found(source.required), "at least one")
			}
			continue
		}
		for _, key := range source.keys {
			if t.Has(key) {
				t.Fault(key, t.Found(key), fmt.Sprintf("nothing: only with kind = %q", source.kind))
			}
		}
	}
	if c.SourceKind == Fixed {
		checkEndpoints(t, "source", c.Endpoints)
	}
}

// checkEndpoints reports a fault if endpoints that a table lists are duplicates. The fault calls the list by the name.
func checkEndpoints(t *tomlfile.Table, name string, endpoints []endpointfiles.Entry) {
	problem := endpointfiles.Join([]endpointfiles.File{{Name: name, Entries: endpoints}})
	if problem != "" {
		t.Fault("server", problem, "each id only once, and at most one ready server at each address")
	}
}
