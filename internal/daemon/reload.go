package daemon

import (
	"os"
	"strings"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

// reloader reads the configuration file again at each signal (SIGHUP) and sends the new configuration to the proxy. It
// runs in its own goroutine, because reading a file would block the loop.
type reloader struct {
	path    string
	current Config
	configs chan<- httpproxy.Config // receives new configurations
	stopped <-chan struct{}         // closed when the proxy no longer receives from configs
	log     *logrus.Logger
}

// run reloads the configuration at each signal. If the file is invalid, run logs its faults and sends nothing.
func (r *reloader) run(signals <-chan os.Signal) {
	for range signals {
		next, err := Read(r.path, currentEnvironment)
		if err != nil {
			r.log.WithField("error", strings.ReplaceAll(err.Error(), "\n", "; ")).
				Error("configuration rejected, keeping the previous one")
			continue
		}
		r.carryOver(&next)
		select {
		case r.configs <- next.Config:
		case <-r.stopped:
			return
		}
	}
}

// currentEnvironment returns the value of an environment variable, but "" for the variable of the discovery address:
// the environment dates from the start of the process, so the address in the reloaded file is newer.
func currentEnvironment(name string) string {
	if name == "GW_DISCOVERY" {
		return ""
	}
	return os.Getenv(name)
}

// carryOver completes a new configuration with what a reload doesn't change: the agreed rules, the latency histograms,
// the recorder, and the source if the file still names the same discovery address. Otherwise the new source becomes the
// current one.
func (r *reloader) carryOver(next *Config) {
	if next.fileDiscovery == r.current.fileDiscovery && next.fileDiscovery != "" {
		next.Source = r.current.Source
	} else {
		r.current.fileDiscovery = next.fileDiscovery
		r.current.Source = next.Source
	}
	if r.current.AgreedRules {
		next.Settings = &policy.Settings{} // without classes, so that the proxy keeps the agreed ones
	}
	next.Latency = r.current.Latency
	next.Recorder = r.current.Recorder
	next.MessageMemory = messageMemory(next.MessageMemory)
}
