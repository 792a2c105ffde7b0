package daemon

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

const platformText = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[]},
"settings":{"balancers":3,"beyond_share_credit":0.05,"zone":"a","zones":["a","b,c"],"weight_kind":"rough",
"membership_mode":"pushed","tick_s":0.005,"limits":{"cancel":true,"max_pushes":3,"retry_after":true,
"max_retry_after_s":3.0,"connect_timeout_s":0.2,"conn_idle_s":60.0},"prices":{"cross_zone":0.03},
"rules":{"cold_from":0.13,"cold_s":24.0,"fall_multiple":3.0},
"offerings":[{"name":"step, first","credit":5.0,"overdue_credit":0.2,"quoted_time_s":1.5,"cut_off_s":2.0,"idempotency":"retryable"},
{"name":"note","credit":2.0,"overdue_credit":0.2,"quoted_time_s":1.5,"cut_off_s":4.0,"idempotency":"dedup","group":"cell","window_s":2.5}],
"realms":[{"name":"x","quota_per_s":24.0},{"name":"y","quota_per_s":6.0}]}}`

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestPlatformConfigurationIsParsed(t *testing.T) {
	config, err := Read(writeConfig(t, platformText), func(name string) string { return map[string]string{"GW_LISTEN": "127.9.9.9:1"}[name] })
	if err != nil {
		t.Fatal(err)
	}
	settings := config.Settings
	if config.Listen != "127.9.9.9:1" || config.Discovery != "127.2.0.1:8500" || config.Seed != 0x8c1f30d27a5be964 ||
		config.Descriptors != 1024 || config.ConnectTimeout != policy.Second/5 || config.IdleTimeout != 60*policy.Second ||
		config.ShutdownTime != maxShutdownDeadline+acceptTime || settings.Zones != 2 || settings.Instances != 3 ||
		len(settings.Classes) != 2 || settings.TotalQuota != 30 || settings.StreamsPerConnection != 1 ||
		settings.Classes[1].Deadline != 4*policy.Second || settings.Classes[0].Name != "step, first" ||
		settings.Classes[1].Group != policy.GroupCell || !settings.FixedWeights {
		t.Errorf("unexpected configuration %+v\nwith settings %+v", config, settings)
	}
}

func TestLiveWeightsAndStreamsAreParsed(t *testing.T) {
	text := strings.NewReplacer(`"rough"`, `"live"`, `"max_pushes":3`, `"max_pushes":3,"streams_per_conn":100`).Replace(platformText)
	config, err := Read(writeConfig(t, text), func(string) string { return "" })
	if err != nil || config.Settings.FixedWeights || config.Settings.StreamsPerConnection != 100 {
		t.Errorf("error %v, unexpected settings %+v", err, config.Settings)
	}
}

// The error of each of these invalid configurations is one line that starts with the path.
func TestErrorsOfInvalidConfigurationsAreOneLine(t *testing.T) {
	noEnvironment := func(string) string { return "" }
	for _, change := range [][2]string{{"{", ""}, {`"seed":"8c`, `"seed":"xx`}, {`"seed":"8c1f30d27a5be964",`, ""}, {"1024", "8"},
		{"192", "1"}, {`"127.0.0.4:9000"`, `""`}, {`"tick_s":0.005,`, ""}, {`"rough"`, `"odd"`},
		{`"max_pushes":3`, `"max_pushes":3,"streams_per_conn":0`}, {"0.13", `"much"`},
		{`"quoted_time_s":1.5`, `"quoted_time_s":-1`}, {`"offerings":[`, `"offers":[`}, {"0.2,", "{},"}, {`"conn_idle_s":60.0`, `"x":1`}} {
		text := strings.Replace(platformText, change[0], change[1], 1)
		path := writeConfig(t, text)
		_, err := Read(path, noEnvironment)
		if text == platformText || err == nil || !strings.HasPrefix(err.Error(), path+":") || strings.Contains(err.Error(), "\n") {
			t.Errorf("configuration with %q instead of %q: got error %v, want one line that starts with the path",
				change[1], change[0], err)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none"), noEnvironment); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("missing file: got error %v, want one line", err)
	}
}

// All faults of a configuration are reported at once, one per line, each with its line in the file, what was found and
// what is allowed.
func TestAllFaultsOfAConfigurationAreReported(t *testing.T) {
	text := strings.NewReplacer(`"8c1f30d27a5be964"`, `"xx"`, "1024", "8", `"cancel":true`, `"cancel":"maybe"`, `"max_pushes":3,`, "",
		`"quoted_time_s":1.5,"cut_off_s":4.0`, `"quoted_time_s":-1,"cut_off_s":"soon"`, `"retryable"`, `"odd"`).Replace(platformText)
	path := writeConfig(t, text)
	_, err := Read(path, func(string) string { return "" })
	if err == nil {
		t.Fatal("the invalid configuration was accepted")
	}
	for _, want := range []string{":1: seed: found \"xx\", allowed", ":2: limits.sockets: found 8, allowed", ":4: settings: limits.cancel: found maybe, allowed true or false",
		":4: settings: limits.max_pushes: found nothing, allowed", ":8: settings: offerings.1.quoted_time_s: found -1, allowed",
		":8: settings: offerings.1.cut_off_s: found soon, allowed", ":7: settings: offerings.0.idempotency: found odd, allowed retryable"} {
		if strings.Count(err.Error(), path+want) != 1 {
			t.Errorf("fault not reported exactly once: %s", want)
		}
	}
	if n := strings.Count(err.Error(), "\n") + 1; n != 7 {
		t.Errorf("the error has %d lines for 7 faults:\n%v", n, err)
	}
}

// SIGHUP may arrive during shutdown, when the proxy no longer receives new configurations: the reloader must not block.
func TestReloaderEndsWhenTheProxyHasStopped(t *testing.T) {
	path := writeConfig(t, platformText)
	config, err := Read(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	signals, stopped, ended := make(chan os.Signal), make(chan struct{}), make(chan struct{})
	r := reloader{path: path, current: config, configs: make(chan httpproxy.Config), stopped: stopped, log: log}
	go func() { r.run(signals); close(ended) }()
	signals <- syscall.SIGHUP
	close(stopped)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the reloader still waits for the proxy to receive the new configuration")
	}
}

// The file is read again at each signal. An invalid one is logged in one line and not applied; the next valid one is.
func TestConfigurationIsReloadedAtSignals(t *testing.T) {
	path := writeConfig(t, platformText)
	config, err := Read(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	config.Discovery, config.Source = "127.2.0.9:1", discovery.NewPlatform("127.2.0.9:1", false) // the address from the environment
	logLines := make(chanWriter)
	log := logrus.New()
	log.SetOutput(logLines)
	signals, configs := make(chan os.Signal), make(chan httpproxy.Config)
	ended := make(chan bool)
	r := reloader{path: path, current: config, configs: configs, log: log}
	go func() { r.run(signals); close(ended) }()
	for _, step := range []struct{ text, discovery string }{{platformText, "127.2.0.9:1"}, {"{", ""},
		{strings.Replace(platformText, "127.2.0.1", "127.2.0.2", 1), "127.2.0.2:8500"}, {strings.Replace(platformText, `"seed"`, `"s"`, 1), ""},
		{platformText, "127.2.0.1:8500"}} {
		if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		signals <- syscall.SIGHUP
		select {
		case line := <-logLines:
			if step.discovery != "" || strings.Count(line, "\n") != 1 || !strings.Contains(line, "keeping the previous one") {
				t.Errorf("unexpected log output after reloading %.20q: %s", step.text, line)
			}
		case next := <-configs:
			if next.Source.Name() != "discovery at "+step.discovery || next.MessageMemory != messageMemory(config.MessageMemory) {
				t.Errorf("reloaded source %s with %d bytes for messages; want discovery at %s",
					next.Source.Name(), next.MessageMemory, step.discovery)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("after SIGHUP the reloader neither applied nor rejected the configuration file")
		}
	}
	close(signals)
	<-ended
}

// chanWriter sends each write on a channel.
type chanWriter chan string

func (c chanWriter) Write(b []byte) (int, error) {
	c <- string(b)
	return len(b), nil
}

// The command server's address comes from the file or from the environment, which overrides the file; the inherited
// listener comes from the environment. Descriptors are reserved for the command server and the process group.
func TestCommandServerAndInheritedListenerAreParsed(t *testing.T) {
	with := strings.Replace(platformText, `"name":"n3",`, `"name":"n3","admin":"127.0.0.4:9100",`, 1)
	plain, err := Read(writeConfig(t, platformText), func(string) string { return "" })
	if err != nil || plain.AdminAddress != "" || plain.ReservedDescriptors != 0 || plain.hasProcessGroup() {
		t.Errorf("without a command server: error %v, unexpected configuration %+v", err, plain)
	}
	for _, c := range []struct{ text, admin, fd, wantAdmin, fault string }{
		{with, "", "", "127.0.0.4:9100", ""}, {with, "127.0.0.5:9100", "7", "127.0.0.5:9100", ""}, {platformText, "", "7", "", ""},
		{platformText, "here", "", "", `admin: found "here", allowed`}, {platformText, "", "seven", "", `GW_INHERITED_FD: found "seven", allowed`},
		{platformText, "", "2", "", "GW_INHERITED_FD"}} {
		config, err := Read(writeConfig(t, c.text), func(name string) string {
			return map[string]string{"GW_ADMIN": c.admin, "GW_INHERITED_FD": c.fd}[name]
		})
		if c.fault != "" {
			if err == nil || !strings.Contains(err.Error(), c.fault) || strings.Contains(err.Error(), "\n") {
				t.Errorf("admin address %q, inherited descriptor %q: unexpected error %v", c.admin, c.fd, err)
			}
			continue
		}
		if err != nil || config.AdminAddress != c.wantAdmin || (config.InheritedListener == 7) != (c.fd == "7") ||
			config.ReservedDescriptors == 0 || !config.hasProcessGroup() || config.Name != "n3" {
			t.Errorf("admin address %q, inherited descriptor %q: error %v, unexpected configuration %+v",
				c.admin, c.fd, err, config)
		}
	}
}
