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

// Version is what a version of the rules says: what binds, by which all sidecars of a cluster go.
type Version struct {
	Campaign *policy.Settings      // offerings, franchises, instances, cold servers
	CutOffs  []policy.Time         // by offering
	Servers  []endpointfiles.Entry // nil: it says nothing of servers
	Bans     []policy.EndpointID   // taken out, whoever lists them
}

// ReadVersion reads a version. The error has a line for each fault.
func ReadVersion(file string, text []byte) (*Version, error) {
	doc, root := tomlfile.Parse(file, text, mostVersion)
	in := &Installation{Campaign: &policy.Settings{Tick: 5 * policy.Millisecond}}
	c := in.Campaign
	var servers []endpointfiles.Entry
	var bans []policy.EndpointID
	if doc.Err() == nil {
		root.Require("fleet", "offering")
		fleet := root.Table("fleet")
		fleet.Require("instances")
		c.Instances = int(fleet.Count("instances", 1, 1, 1<<16))
		kept := fleet.Span("servers_keep", 0, policy.Millisecond, 24*3600*policy.Second)
		fleet.Done()
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
		for _, id := range banned.Texts("servers") {
			bans = append(bans, endpointfiles.IDOf(id))
		}
		banned.Done()
		for _, t := range root.Tables("server") {
			servers = append(servers, endpointfiles.ReadServer(t))
		}
		if why := endpointfiles.Join([]endpointfiles.File{{Name: file, Entries: servers}}); why != "" && len(servers) > 0 {
			root.Fault("server", why, "each id once, and one ready server at an address")
		}
		root.Done()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &Version{Campaign: c, CutOffs: in.CutOffs, Servers: servers, Bans: bans}, nil
}

// Keeping is what a keeper of versions is told.
type Keeping struct {
	Name    string
	Folder  string
	Listen  string // for other keepers; "": where they reach it
	Members []Keeper
	Lease   policy.Time
	Drift   float64
	Peers   Peers

	LogLevel  string
	LogFormat string
}

// Keeper is one of the group.
type Keeper struct{ Name, Raft, Pages string }

// ReadKeeping reads a keeper's configuration. The error has a line for each fault. Paths in it are taken from the file's own folder.
func ReadKeeping(file string, text []byte) (*Keeping, error) {
	doc, root := tomlfile.Parse(file, text, most)
	k := &Keeping{}
	if doc.Err() == nil {
		k.read(root, filepath.Dir(file))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Keeping) read(root *tomlfile.Table, folder string) {
	root.Require("instance", "keep", "keeper", "peers")
	instance := root.Table("instance")
	instance.Require("name")
	k.Name = instance.Text("name", "")
	instance.Done()
	t := root.Table("keep")
	t.Require("folder")
	k.Folder = from(folder, t.Text("folder", ""))
	k.Listen = address(t, "listen", false)
	k.Lease = t.Span("lease", 1500*policy.Millisecond, 500*policy.Millisecond, 60*policy.Second)
	k.Drift = t.Real("drift", 0.01, 0, 0.5)
	t.Done()
	seen := map[string]bool{}
	for _, t := range root.Tables("keeper") {
		t.Require("name", "log", "pages")
		one := Keeper{t.Text("name", ""), address(t, "log", true), address(t, "pages", true)}
		if seen[one.Name] {
			t.Fault("name", t.Found("name"), "a name of its own")
		}
		seen[one.Name] = true
		t.Done()
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
			k.Listen = m.Raft
		}
	}
	in := Installation{}
	in.peers(root, folder, map[string]string{k.Listen: "the log's"})
	k.Peers = in.Peers
	k.LogLevel, k.LogFormat = logging(root)
	root.Done()
}
