package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	keyFile          = "key"
	ruleSetExtension = ".version"

	configLogDebug = "[log]\nlevel = \"debug\"\n"
)

// clusterConfig holds the values that the configurations of a cluster's processes share.
type clusterConfig struct {
	script  *Script
	seed    uint64
	ports   portSet
	logPort int    // port of the coordinators' replicated log
	source  string // the table of the endpoint source
}

// instance returns the configuration of a sidecar. Its index i determines its IP address and its seed.
func (c *clusterConfig) instance(process *Process, i int, addresses peerAddresses) string {
	return fmt.Sprintf("[instance]\nname = %q\n", process.Name) +
		fmt.Sprintf("instances = %d\nseed = \"%x\"\n", c.script.Instances, c.seed*1000+uint64(i)) +
		fmt.Sprintf("[front.http]\nlisten = \"%s:%d\"\n", processIP(i), c.ports.front) +
		fmt.Sprintf("[pages]\nlisten = %q\n", process.metricsAddress) +
		classConfig(c.script.RuleSets[0]) +
		fmt.Sprintf("[limits]\nfrom = %q\n", processIP(i)) +
		c.source +
		configLogDebug + "format = \"json\"\n" +
		c.peers(addresses) +
		"agree = true\n"
}

// coordinator returns the configuration of a coordinator. Its index determines its IP address.
func (c *clusterConfig) coordinator(process *Process, index int, addresses peerAddresses) string {
	return fmt.Sprintf("[instance]\nname = %q\n", process.Name) +
		fmt.Sprintf("[keep]\nfolder = %q\n", process.stateDirectory()) +
		fmt.Sprintf("listen = \"%s:%d\"\nlease = %q\n", processIP(index), c.logPort, c.script.Lease) +
		c.members() +
		configLogDebug +
		c.peers(addresses)
}

// members returns the tables that list the coordinators.
func (c *clusterConfig) members() string {
	var text strings.Builder
	for i := range c.script.Coordinators {
		index := maxProcesses + i
		fmt.Fprintf(&text, "[[keeper]]\nname = %q\nlog = \"%s:%d\"\npages = \"%s:%d\"\n",
			coordinatorName(i), proxyIP(index), c.logPort, processIP(index), c.ports.metrics)
	}
	return text.String()
}

// peers returns the table with the addresses at which a process's peers reach it; all processes join the
// cluster through the coordinators.
func (c *clusterConfig) peers(addresses peerAddresses) string {
	return fmt.Sprintf("[peers]\nlisten = %q\nadvertise = %q\n", addresses.listen, addresses.advertise) +
		fmt.Sprintf("cluster = %q\nkey_file = %q\n", clusterName, keyFile) +
		fmt.Sprintf("join = [%s]\n", joinList(c.script.Coordinators, maxProcesses, c.ports.peers))
}

// classConfig returns the table of the class of all test requests. Rule sets differ in the idempotency of the class.
func classConfig(rules RuleSet) string {
	text := fmt.Sprintf("[[offering]]\nname = \"step\"\nquoted_time = \"%v\"\ncut_off = \"%v\"\nrepeats = %q\n",
		targetLatency, deadline, rules.Idempotency)
	if rules.Idempotency == idempotencyKeyed {
		text += fmt.Sprintf("group = \"all\"\nwindow = \"%v\"\n", rules.Window)
	}
	return text
}

// endpointTables returns one table of the given name for each endpoint.
func (c *Cluster) endpointTables(table string, names []string) string {
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "[[%s]]\nid = %q\naddress = %q\n", table, name, c.endpointAddresses[name])
	}
	return text.String()
}

// sourceConfig returns the table of the endpoint source, and starts discovery if that is the source.
func (c *Cluster) sourceConfig() (string, error) {
	if !c.script.Discovery {
		return "[source]\nkind = \"fixed\"\n" + c.endpointTables("source.server", c.endpointNames), nil
	}
	address, err := c.startDiscovery()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("[source]\nkind = \"discovery\"\naddress = %q\n", address), nil
}

func (c *Cluster) ruleSetPath(name string) string {
	return filepath.Join(c.directory, name+ruleSetExtension)
}

// writeRuleSets writes a file for each rule set of the script.
func (c *Cluster) writeRuleSets() error {
	for _, rules := range c.script.RuleSets {
		text := fmt.Sprintf("# %s\n[fleet]\ninstances = %d\n", rules.Name, c.script.Instances) + classConfig(rules)
		if len(rules.Drained) > 0 {
			text += "[bans]\nservers = [\"" + strings.Join(rules.Drained, "\", \"") + "\"]\n"
		}
		if rules.Endpoints != nil {
			text += c.endpointTables("server", rules.Endpoints)
		}
		if err := os.WriteFile(c.ruleSetPath(rules.Name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
