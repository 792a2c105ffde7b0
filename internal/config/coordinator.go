package config

import (
	"fmt"
	"path/filepath"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// CoordinatorConfig is the configuration of a coordinator.
type CoordinatorConfig struct {
	Name      string
	Directory string // where the coordinator stores its state
	Listen    string // address for the other coordinators; default: the RaftAddress of this coordinator in Members
	Members   []Coordinator
	Lease     policy.Time
	Drift     float64 // maximum difference between the rates of two machines' clocks, as a fraction
	Peers     Peers

	LogLevel  string
	LogFormat string
}

// Coordinator is one member of the group of coordinators.
type Coordinator struct{ Name, RaftAddress, AdminAddress string }

// ReadCoordinator reads the configuration of a coordinator. Its error has a line for each fault. Relative paths in it
// are relative to the file's directory.
func ReadCoordinator(file string, text []byte) (*CoordinatorConfig, error) {
	doc, root := tomlfile.Parse(file, text, maxFileBytes)
	c := &CoordinatorConfig{}
	if doc.Err() == nil {
		c.readRoot(root, filepath.Dir(file))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *CoordinatorConfig) readRoot(root *tomlfile.Table, directory string) {
	root.Require("instance", "keep", "keeper", "peers")
	instance := root.Table("instance")
	instance.Require("name")
	c.Name = instance.String("name", "")
	instance.RejectUnknown()
	c.readStore(root.Table("keep"), directory)
	c.readMembers(root)
	c.checkOwnMember(instance)
	c.Peers = readPeers(root, directory, usedAddresses{c.Listen: "this keeper's log address"})
	c.LogLevel, c.LogFormat = readLog(root.Table("log"))
	root.RejectUnknown()
}

func (c *CoordinatorConfig) readStore(t *tomlfile.Table, directory string) {
	t.Require("folder")
	c.Directory = resolvePath(directory, t.String("folder", ""))
	c.Listen = readAddress(t, "listen", false)
	c.Lease = t.Duration("lease", 1500*policy.Millisecond, 500*policy.Millisecond, 60*policy.Second)
	c.Drift = t.Float("drift", 0.01, 0, 0.5)
	t.RejectUnknown()
}

// readMembers reads the group, which has an odd number of members.
func (c *CoordinatorConfig) readMembers(root *tomlfile.Table) {
	names := map[string]bool{}
	for _, t := range root.Tables("keeper") {
		t.Require("name", "log", "pages")
		member := Coordinator{
			Name:         t.String("name", ""),
			RaftAddress:  readAddress(t, "log", true),
			AdminAddress: readAddress(t, "pages", true),
		}
		if names[member.Name] {
			t.Fault("name", t.Found("name"), "a unique name")
		}
		names[member.Name] = true
		t.RejectUnknown()
		c.Members = append(c.Members, member)
	}
	if count := len(c.Members); root.Has("keeper") && count%2 == 0 {
		root.Fault("keeper", fmt.Sprintf("%d keepers", count),
			"1, 3 or 5: an even number tolerates no more failures than one less")
	}
}

// checkOwnMember reports a fault unless this coordinator is a member, and takes the default listen address from its
// entry.
func (c *CoordinatorConfig) checkOwnMember(instance *tomlfile.Table) {
	isMember := false
	for _, member := range c.Members {
		if member.Name != c.Name {
			continue
		}
		isMember = true
		if c.Listen == "" {
			c.Listen = member.RaftAddress
		}
	}
	if c.Name != "" && len(c.Members) > 0 && !isMember {
		instance.Fault("name", instance.Found("name"), "the name of one of the keepers")
	}
}
