package daemon

import (
	"os"
	"strings"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

// reloader reads the configuration file again when it is told to. It runs beside the loop, which reading would hold up.
type reloader struct {
	path    string
	current Config
	configs chan<- httpproxy.Config // new configurations
	stopped <-chan struct{}         // closed when no one receives them any more
	log     *logrus.Logger
}

// run reloads at each signal. A faulty file is logged and changes nothing.
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

// currentEnvironment is the environment without the discovery address: that is as old as the process, and the file's is
// newer.
func currentEnvironment(name string) string {
	if name == "GW_DISCOVERY" {
		return ""
	}
	return os.Getenv(name)
}

// carryOver puts into the new configuration what stays, and notes what is current from now on.
func (r *reloader) carryOver(next *Config) {
	if next.fileDiscovery == r.current.fileDiscovery && next.fileDiscovery != "" {
		next.Source = r.current.Source
	} else {
		r.current.fileDiscovery = next.fileDiscovery
		r.current.Source = next.Source
	}
	if r.current.AgreedRules {
		next.Settings = &policy.Settings{} // of another shape, so that the agreed settings stay
	}
	next.Latency = r.current.Latency
	next.Recorder = r.current.Recorder
	next.MessageMemory = messageMemory(next.MessageMemory)
}
