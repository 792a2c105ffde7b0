package config

import (
	"fmt"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// maxRulesBytes is the largest size of a revision of the rules, which is sent to each instance in one message.
const maxRulesBytes = 4 << 20

// Rules is a revision of the rules that all instances of a cluster follow.
type Rules struct {
	Settings  *policy.Settings      // classes, tenants, instances, cold start
	Deadlines []policy.Time         // by class
	Endpoints []endpointfiles.Entry // nil: the revision names none
	Drained   []policy.EndpointID   // administratively drained, whatever their status in a list
}

// ReadRules reads a revision. Its error has a line for each fault.
func ReadRules(file string, text []byte) (*Rules, error) {
	doc, root := tomlfile.Parse(file, text, maxRulesBytes)
	rules := &Rules{}
	if doc.Err() == nil {
		rules.readRoot(root, file)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return rules, nil
}

func (r *Rules) readRoot(root *tomlfile.Table, file string) {
	// Classes have the same format as in an instance's configuration.
	c := &Config{Settings: &policy.Settings{Tick: defaultTick}}
	r.Settings = c.Settings
	root.Require("fleet", "offering")
	keyMemory := readFleet(root.Table("fleet"), r.Settings)
	readColdStart(root.Table("cold"), r.Settings)
	tables := requiredTables(root, "offering")
	c.readClasses(tables)
	r.Deadlines = c.Deadlines
	checkWindows(tables, r.Settings.Classes, keyMemory)
	readTenants(root, r.Settings)
	bans := root.Table("bans")
	for _, id := range bans.Strings("servers") {
		r.Drained = append(r.Drained, endpointfiles.EndpointID(id))
	}
	bans.RejectUnknown()
	for _, server := range root.Tables("server") {
		r.Endpoints = append(r.Endpoints, endpointfiles.ReadEndpoint(server))
	}
	if len(r.Endpoints) > 0 {
		checkEndpoints(root, file, r.Endpoints)
	}
	root.RejectUnknown()
}

// readFleet reads the number of instances, and returns how long endpoints remember idempotency keys, or 0 if the
// revision doesn't state it.
func readFleet(t *tomlfile.Table, settings *policy.Settings) policy.Time {
	t.Require("instances")
	settings.Instances = readInstances(t)
	keyMemory := t.Duration("servers_keep", 0, policy.Millisecond, maxWindow)
	t.RejectUnknown()
	return keyMemory
}

// checkWindows reports keyed classes whose window is longer than endpoints remember keys: an endpoint that has
// forgotten a key would run the request again.
func checkWindows(tables []*tomlfile.Table, classes []policy.Class, keyMemory policy.Time) {
	if keyMemory == 0 {
		return
	}
	for i, class := range classes {
		if class.Idempotency == policy.Keyed && class.Window > keyMemory {
			tables[i].Fault("window", tables[i].Found("window"),
				fmt.Sprintf("at most fleet.servers_keep, %v", time.Duration(keyMemory)))
		}
	}
}
