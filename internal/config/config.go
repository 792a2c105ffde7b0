// Package config reads the settings files of the product in TOML: those of a standalone instance, of an RPC client, of
// a coordinator, and the rules that a cluster agrees on. It reads bytes and opens no files or sockets. All settings are
// described in docs/configuration.md.
//
// Some keys of the files differ from the standard terms for what they set. They are mapped to those terms here and
// appear nowhere else.
package config

import (
	"net"
	"path/filepath"
	"strings"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// maxFileBytes is the largest size of a settings file.
const maxFileBytes = 1 << 20

// maxDefaultShutdownTime limits the default shutdown time, which is the longest deadline. Supervisors kill a process
// after 90 s or less.
const maxDefaultShutdownTime = 30 * policy.Second

// Config is the configuration of an instance.
type Config struct {
	Name           string
	Seed           uint64
	Seeded         bool   // false: no seed is configured, and one is drawn
	Listen         string // address at which clients connect over HTTP
	Anonymous      bool   // requests without an ID are accepted
	AdminAddress   string // of the command server; empty: none
	MetricsAddress string // of the metrics server; empty: none
	Descriptors    int    // limit on open file descriptors
	MemoryMB       int
	ConnectTimeout policy.Time
	SourceIP       net.IP // source address of outgoing connections; nil: the kernel chooses
	IdleTimeout    policy.Time
	ShutdownTime   policy.Time // how long a graceful shutdown waits for requests in flight
	Settings       *policy.Settings
	Deadlines      []policy.Time // by class
	DefaultClass   string        // the class of requests that name none
	Methods        [][]string    // RPC methods by class: /package.Service/Method, /package.Service/* or *
	KeyMetadata    string        // name of the RPC metadata that holds a request's key
	KeyField       string        // name of the request message's field that holds the key if no metadata does

	SourceKind     SourceKind
	Discovery      string                // address of the discovery service
	Patterns       []string              // paths of endpoint files, which may contain wildcards
	FileLimits     endpointfiles.Limits  // limits on changes of endpoint files
	Endpoints      []endpointfiles.Entry // the endpoints if SourceKind is Fixed
	StateDirectory string                // empty: no state is stored

	Peers Peers

	LogLevel  string
	LogFormat string
}

// Read reads the configuration of an instance. Its error has a line for each fault. Relative paths in it are relative
// to the file's directory.
func Read(file string, text []byte) (*Config, error) { return read(file, text, true) }

// ReadClient reads the configuration of an RPC client, which needs no front.
func ReadClient(file string, text []byte) (*Config, error) { return read(file, text, false) }

func read(file string, text []byte, needsFront bool) (*Config, error) {
	doc, root := tomlfile.Parse(file, text, maxFileBytes)
	c := &Config{Settings: &policy.Settings{}}
	if doc.Err() == nil {
		if needsFront {
			root.Require("front")
		}
		c.readRoot(root, filepath.Dir(file))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// readRoot reads all tables. Faults on the same line are reported in the order in which the keys are read.
func (c *Config) readRoot(root *tomlfile.Table, directory string) {
	root.Require("offering", "source")
	c.readInstance(root.Table("instance"))
	c.readFront(root.Table("front"))
	used := usedAddresses{c.Listen: "the front's"}
	c.AdminAddress = readListener(root.Table("admin"), "admin", used)
	c.MetricsAddress = readListener(root.Table("pages"), "pages", used)
	c.Peers = readPeers(root, directory, used)
	c.readLimits(root.Table("limits"))
	readColdStart(root.Table("cold"), c.Settings)
	c.readClasses(requiredTables(root, "offering"))
	if c.ShutdownTime == 0 {
		for _, deadline := range c.Deadlines {
			c.ShutdownTime = max(c.ShutdownTime, min(deadline, maxDefaultShutdownTime))
		}
	}
	readTenants(root, c.Settings)
	c.readSource(root.Table("source"), directory)
	c.readState(root.Table("state"), directory)
	c.readRPC(root.Table("rpc"))
	c.LogLevel, c.LogFormat = readLog(root.Table("log"))
	root.RejectUnknown()
}

// requiredTables reads an array of tables that must have at least one element.
func requiredTables(root *tomlfile.Table, key string) []*tomlfile.Table {
	tables := root.Tables(key)
	if root.Has(key) && len(tables) == 0 {
		root.Fault(key, root.Found(key), "at least one "+key)
	}
	return tables
}

func (c *Config) readFront(t *tomlfile.Table) {
	t.Require("http")
	http := t.Table("http")
	c.Listen = readAddress(http, "listen", true)
	c.Anonymous = http.OneOf("request_id", 1, "demanded", "optional") == 1
	http.RejectUnknown()
	t.RejectUnknown()
}

// usedAddresses maps each listen address of the file to the words for its owner in faults, such as "that of [admin]".
type usedAddresses map[string]string

// readListener reads an optional listen address, which must differ from the used ones.
func readListener(t *tomlfile.Table, name string, used usedAddresses) string {
	address := readAddress(t, "listen", false)
	if address != "" {
		if owner, isUsed := used[address]; isUsed {
			t.Fault("listen", t.Found("listen"), "an address other than "+owner)
		}
		used[address] = "that of [" + name + "]"
	}
	t.RejectUnknown()
	return address
}

func (c *Config) readState(t *tomlfile.Table, directory string) {
	if folder := t.String("folder", ""); folder != "" {
		c.StateDirectory = resolvePath(directory, folder)
	}
	t.RejectUnknown()
}

func (c *Config) readRPC(t *tomlfile.Table) {
	c.KeyMetadata = strings.ToLower(t.String("key_metadata", ""))
	c.KeyField = t.String("key_field", "")
	t.RejectUnknown()
}

func readLog(t *tomlfile.Table) (level, format string) {
	levels := []string{"debug", "info", "warning", "error"}
	formats := []string{"text", "json"}
	level = levels[t.OneOf("level", 1, levels...)]
	format = formats[t.OneOf("format", 0, formats...)]
	t.RejectUnknown()
	return level, format
}

// resolvePath resolves a path that may be relative to the directory of the settings file.
func resolvePath(directory, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(directory, path)
}

// readAddress reads an IP address and port. It returns "" if there is none.
func readAddress(t *tomlfile.Table, key string, required bool) string {
	if required {
		t.Require(key)
	}
	address := t.String(key, "")
	if address != "" && !endpointfiles.ValidAddress(address) {
		t.Fault(key, t.Found(key), "an IP address and port, such as 127.0.0.1:9000 or [::1]:9000")
	}
	return address
}
