package config

import (
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
)

// Peers configures the membership of a cluster.
type Peers struct {
	Listen      string // empty: the instance is in no cluster
	Advertise   string // address at which other members reach this one; empty: Listen
	Cluster     string
	Join        []string // addresses of members to join through
	KeyFile     string
	AgreedRules bool // rules come from the coordinators; those of the file apply until the cluster has a revision
}

// readPeers reads the cluster membership. Each member needs a unique name, so the default name isn't enough.
func readPeers(root *tomlfile.Table, directory string, used usedAddresses) Peers {
	t := root.Table("peers")
	if root.Has("peers") {
		t.Require("listen", "cluster", "key_file")
		if instance := root.Table("instance"); !instance.Has("name") {
			t.Fault("listen", t.Found("listen"), "an address only if [instance] has a name that no other sidecar has")
		}
	}
	var peers Peers
	peers.Listen = readAddress(t, "listen", false)
	if owner := used[peers.Listen]; peers.Listen != "" && owner != "" {
		t.Fault("listen", t.Found("listen"), "an address other than "+owner)
	}
	peers.Advertise = readAddress(t, "advertise", false)
	peers.Cluster = t.String("cluster", "")
	if path := t.String("key_file", ""); path != "" {
		peers.KeyFile = resolvePath(directory, path)
	}
	for _, address := range t.Strings("join") {
		if !endpointfiles.ValidAddress(address) {
			t.Fault("join", address, "IP addresses and ports, such as 10.0.0.7:9003")
		}
		peers.Join = append(peers.Join, address)
	}
	peers.AgreedRules = t.Bool("agree", false)
	t.RejectUnknown()
	return peers
}
