package config

import (
	"fmt"
	"path/filepath"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// mostVersion is how long a version may be, in bytes: it is sent whole to each sidecar.
const mostVersion = 4 << 20

// Rules is what a version of the rules says: what binds, by which all sidecars of a cluster go.
type Rules struct {
	Settings  *policy.Settings      // offerings, franchises, instances, cold servers
	Deadlines []policy.Time         // by offering
	Endpoints []endpointfiles.Entry // nil: it says nothing of servers
	Drained   []policy.EndpointID   // taken out, whoever lists them
}

// ReadRules reads a version. The error has a line for each fault.
func ReadRules(file string, text []byte) (*Rules, error) {
	doc, root := tomlfile.Parse(file, text, mostVersion)
	in := &Config{Settings: &policy.Settings{Tick: 5 * policy.Millisecond}}
	c := in.Settings
	var servers []endpointfiles.Entry
	var bans []policy.EndpointID
	if doc.Err() == nil {
		root.Require("fleet", "offering")
		fleet := root.Table("fleet")
		fleet.Require("instances")
		c.Instances = int(fleet.Count("instances", 1, 1, 1<<16))
		kept := fleet.Duration("servers_keep", 0, policy.Millisecond, 24*3600*policy.Second)
		fleet.RejectUnknown()
		in.cold(root.Table("cold"))
		tables := root.Tables("offering")
		if root.Has("offering") && len(tables) == 0 {
			root.Fault("offering", root.Found("offering"), "one offering at least")
		}
		in.offerings(tables)
		for i, o := range c.Classes {
			if kept > 0 && o.Idempotency == policy.Keyed && o.Window > kept {
				// A server that has forgotten a number runs it again.
				tables[i].Fault("window", tables[i].Found("window"), fmt.Sprintf("at most what servers keep, %v", time.Duration(kept)))
			}
		}
		in.franchises(root)
		banned := root.Table("bans")
		for _, id := range banned.Strings("servers") {
			bans = append(bans, endpointfiles.EndpointID(id))
		}
		banned.RejectUnknown()
		for _, t := range root.Tables("server") {
			servers = append(servers, endpointfiles.ReadEndpoint(t))
		}
		if why := endpointfiles.Join([]endpointfiles.File{{Name: file, Entries: servers}}); why != "" && len(servers) > 0 {
			root.Fault("server", why, "each id once, and one ready server at an address")
		}
		root.RejectUnknown()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &Rules{Settings: c, Deadlines: in.Deadlines, Endpoints: servers, Drained: bans}, nil
}

// CoordinatorConfig is what a keeper of versions is told.
type CoordinatorConfig struct {
	Name      string
	Directory string
	Listen    string // for other keepers; "": where they reach it
	Members   []Coordinator
	Lease     policy.Time
	Drift     float64
	Peers     Peers

	LogLevel  string
	LogFormat string
}

// Coordinator is one of the group.
type Coordinator struct{ Name, RaftAddress, AdminAddress string }

// ReadCoordinator reads a keeper's configuration. The error has a line for each fault. Paths in it are taken from the file's own folder.
func ReadCoordinator(file string, text []byte) (*CoordinatorConfig, error) {
	doc, root := tomlfile.Parse(file, text, most)
	k := &CoordinatorConfig{}
	if doc.Err() == nil {
		k.read(root, filepath.Dir(file))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *CoordinatorConfig) read(root *tomlfile.Table, folder string) {
	root.Require("instance", "keep", "keeper", "peers")
	instance := root.Table("instance")
	instance.Require("name")
	k.Name = instance.String("name", "")
	instance.RejectUnknown()
	t := root.Table("keep")
	t.Require("folder")
	k.Directory = from(folder, t.String("folder", ""))
	k.Listen = address(t, "listen", false)
	k.Lease = t.Duration("lease", 1500*policy.Millisecond, 500*policy.Millisecond, 60*policy.Second)
	k.Drift = t.Float("drift", 0.01, 0, 0.5)
	t.RejectUnknown()
	seen := map[string]bool{}
	for _, t := range root.Tables("keeper") {
		t.Require("name", "log", "pages")
		one := Coordinator{t.String("name", ""), address(t, "log", true), address(t, "pages", true)}
		if seen[one.Name] {
			t.Fault("name", t.Found("name"), "a name of its own")
		}
		seen[one.Name] = true
		t.RejectUnknown()
		k.Members = append(k.Members, one)
	}
	if n := len(k.Members); root.Has("keeper") && n%2 == 0 {
		root.Fault("keeper", fmt.Sprintf("%d keepers", n), "1, 3 or 5: of an even number no more may be lost than of one less")
	}
	if k.Name != "" && len(k.Members) > 0 && !seen[k.Name] {
		instance.Fault("name", instance.Found("name"), "one of the keepers'")
	}
	for _, m := range k.Members {
		if k.Listen == "" && m.Name == k.Name {
			k.Listen = m.RaftAddress
		}
	}
	in := Config{}
	in.peers(root, folder, map[string]string{k.Listen: "the log's"})
	k.Peers = in.Peers
	k.LogLevel, k.LogFormat = logging(root)
	root.RejectUnknown()
}
