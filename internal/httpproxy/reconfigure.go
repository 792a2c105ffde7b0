package httpproxy

import (
	"strings"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// reconfigure applies a new configuration. Requests, connections and the learned state of endpoints are kept. Settings
// that take effect only after a restart are logged.
func (p *Proxy) reconfigure(config Config) {
	var afterRestart []string
	if config.Listen != p.config.Listen {
		afterRestart = append(afterRestart, "listen")
	}
	if config.Descriptors != p.config.Descriptors || config.MessageMemory != p.config.MessageMemory {
		afterRestart = append(afterRestart, "limits")
	}
	if config.DefaultClass != p.config.DefaultClass {
		// The class of requests in flight that name no class would change. Empty settings make the engine keep those
		// that it has.
		config.Settings = &policy.Settings{}
	}
	applied := p.Reconfigure(engine.Config{
		Settings:     config.Settings,
		Source:       config.Source,
		ShutdownTime: config.ShutdownTime,
	})
	if applied {
		p.config.Deadlines = config.Deadlines
		p.config.Anonymous = config.Anonymous
	} else {
		afterRestart = append(afterRestart, "settings")
	}
	p.config.Source = config.Source
	p.config.ConnectTimeout = config.ConnectTimeout
	p.config.IdleTimeout = config.IdleTimeout
	p.config.AcceptTime = config.AcceptTime
	log := p.Logger.WithField("servers", config.Source.Name())
	if len(afterRestart) > 0 {
		log = log.WithField("from the next start on", strings.Join(afterRestart, " "))
	}
	log.Info("configuration applied")
}
