package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/discovery"
	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

const (
	// minDescriptors and minMemoryMB are the smallest configured limits on resources with which an instance can serve.
	minDescriptors = 48
	minMemoryMB    = 24
	// maxShutdownDeadline is the longest deadline that the shutdown waits for. The platform sends SIGKILL 0.7 s after
	// the longest deadline. The shutdown ends 250 ms before that, because it takes acceptTime and the deadline.
	maxShutdownDeadline = 3 * policy.Second
)

// platformDocument is the platform's configuration.
type platformDocument struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Seed      string `json:"Seed"`
	Admin     string `json:"Admin"`
	Limits    struct {
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"Sockets"`
	} `json:"Limits"`
	Known    json.RawMessage `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
}

// faults collects the faults of a configuration, so that all are reported at once.
type faults struct{ err error }

func (f *faults) addf(format string, args ...any) {
	f.err = errors.Join(f.err, fmt.Errorf(format, args...))
}

// parsePlatformFile parses the platform's configuration. The error has a line of text for each fault, which names the
// file and the line that contain the fault.
func parsePlatformFile(path string, text []byte, env func(string) string) (Config, error) {
	lines, err := JSONLines(path, text)
	if err != nil {
		return Config{}, err
	}
	c, err := parsePlatform(path, text, env)
	if err != nil {
		return c, addLines(path, err, lines)
	}
	return c, nil
}

// parsePlatform parses the platform's configuration. The error has a line of text for each fault, which names the file,
// but not the line that contains the fault.
func parsePlatform(path string, text []byte, env func(string) string) (Config, error) {
	var c Config
	var document platformDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	values := &platformsettings.Values{Text: map[string]string{}}
	if err := flatten(values.Text, "", document.Settings); err != nil {
		return c, fmt.Errorf("%s: settings: %w", path, err)
	}
	var found faults
	c.Name = valueOrEnv(env, "GW_NAME", document.Name)
	c.SavedList = document.Known
	c.setAddresses(&document, env, &found)
	c.setSeed(&document, &found)
	c.setLimits(&document, &found)
	c.setTimes(values)
	if err := c.setAdmin(document.Admin, env); err != nil {
		found.addf("%w", err)
	}
	c.setPlatformSettings(values, &found)
	return c, found.err
}

func (c *Config) setAddresses(document *platformDocument, env func(string) string, found *faults) {
	c.Listen = valueOrEnv(env, "GW_LISTEN", document.Listen)
	c.Discovery = valueOrEnv(env, "GW_DISCOVERY", document.Discovery)
	c.fileDiscovery = document.Discovery
	if c.Listen == "" || c.Discovery == "" {
		found.addf("listen or discovery: found nothing, allowed an address for each")
	}
}

func (c *Config) setSeed(document *platformDocument, found *faults) {
	var err error
	if c.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		found.addf("seed: found %q, allowed a hexadecimal number of 64 bits", document.Seed)
	}
}

func (c *Config) setLimits(document *platformDocument, found *faults) {
	sockets := document.Limits.Sockets
	if sockets < minDescriptors {
		found.addf("limits.sockets: found %d, allowed a number from %d up", sockets, minDescriptors)
	}
	memory := document.Limits.Memory
	if memory < minMemoryMB {
		found.addf("limits.memory_mb: found %v, allowed a number from %d up", memory, minMemoryMB)
	}
	c.Descriptors = sockets
	c.MessageMemory = int(memory * bytesPerMB)
}

func (c *Config) setTimes(values *platformsettings.Values) {
	c.ConnectTimeout = values.Duration("limits.connect_timeout_s")
	c.IdleTimeout = values.Duration("limits.conn_idle_s")
	c.AcceptTime = acceptTime
	for n := range values.Count("offerings.count") {
		deadline := values.Duration("offerings." + strconv.Itoa(n) + ".cut_off_s")
		c.ShutdownTime = max(c.ShutdownTime, deadline)
	}
	c.ShutdownTime = min(c.ShutdownTime, maxShutdownDeadline) + acceptTime
}

// setPlatformSettings sets the module's settings and the source of the endpoint list.
func (c *Config) setPlatformSettings(values *platformsettings.Values, found *faults) {
	mode := values.Text["membership_mode"]
	source := discovery.NewPlatform(c.Discovery, mode == "on_request")
	if _, hasGrace := values.Text["rules.drain_grace_s"]; hasGrace && mode == "pushed" {
		// With these settings, discovery is an agent on this machine. Clients of a starting process wait for the
		// agent's list, so that the first attempt doesn't use the saved list, which may be outdated.
		source.Grace = max(time.Millisecond, time.Duration(values.Duration("rules.drain_grace_s")))
		c.FirstListTimeout = policy.Time(source.AnswerTimeout())
	}
	c.Source = source
	settings, err := platformsettings.Read(values)
	c.Settings = settings
	if err != nil {
		found.addf("settings: %s", strings.ReplaceAll(err.Error(), "\n", "\nsettings: "))
		return
	}
	source.WatchTimeout = discovery.WatchTimeout(source.Grace > 0, settings.Instances)
}

// flatten stores each value under its path, such as "limits.sockets" or "list.0". A list is also stored under its own
// path, as its values joined by commas, and its length under that path with ".count" added. Commas within a value
// become underscores in the joined form, so that the values can be counted by their commas.
func flatten(values map[string]string, path string, raw json.RawMessage) error {
	switch text := strings.TrimSpace(string(raw)); {
	case text == "" || text == "null":
		return nil
	case text[0] == '{':
		return flattenObject(values, path, raw)
	case text[0] == '[':
		return flattenList(values, path, raw)
	case text[0] == '"':
		var value string
		if err := json.Unmarshal(raw, &value); err != nil {
			return err
		}
		values[path] = value
	default:
		values[path] = text
	}
	return nil
}

func flattenObject(values map[string]string, path string, raw json.RawMessage) error {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return err
	}
	for name, value := range object {
		if err := flatten(values, strings.TrimPrefix(path+"."+name, "."), value); err != nil {
			return err
		}
	}
	return nil
}

func flattenList(values map[string]string, path string, raw json.RawMessage) error {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	values[path+".count"] = strconv.Itoa(len(list))
	var joined []string
	for i, value := range list {
		itemPath := path + "." + strconv.Itoa(i)
		if err := flatten(values, itemPath, value); err != nil {
			return err
		}
		joined = append(joined, strings.ReplaceAll(values[itemPath], ",", "_"))
	}
	values[path] = strings.Join(joined, ",")
	return nil
}
