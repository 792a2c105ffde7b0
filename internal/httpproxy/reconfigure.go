package httpproxy

import (
	"strings"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// reconfigure goes over to a new configuration. Requests, connections and all that is known of endpoints stay.
func (s *Proxy) reconfigure(post Config) {
	var late []string // takes a new start
	keep := func(name string, same bool) {
		if !same {
			late = append(late, name)
		}
	}
	keep("listen", post.Listen == s.config.Listen)
	keep("limits", post.Descriptors == s.config.Descriptors && post.MessageMemory == s.config.MessageMemory)
	if post.DefaultClass != s.config.DefaultClass {
		post.Settings = &policy.Settings{} // of another shape: who names nothing would get another class under a request in hand
	}
	alike := s.Reconfigure(engine.Config{Settings: post.Settings, Source: post.Source, ShutdownTime: post.ShutdownTime})
	keep("settings", alike)
	if alike {
		s.config.Deadlines, s.config.Anonymous = post.Deadlines, post.Anonymous
	}
	s.config.Source, s.config.ConnectTimeout, s.config.IdleTimeout, s.config.AcceptTime = post.Source, post.ConnectTimeout, post.IdleTimeout, post.AcceptTime
	log := s.Logger.WithField("servers", post.Source.Name())
	if len(late) > 0 {
		log = log.WithField("from the next start on", strings.Join(late, " "))
	}
	log.Info("new configuration")
}
