package httpproxy

import (
	"strings"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// renew goes over to a new configuration. Requests, connections and all that is known of endpoints stay.
func (s *Sidecar) renew(post Config) {
	var late []string // takes a new start
	keep := func(name string, same bool) {
		if !same {
			late = append(late, name)
		}
	}
	keep("listen", post.Listen == s.post.Listen)
	keep("limits", post.Descriptors == s.post.Descriptors && post.Memory == s.post.Memory)
	if post.DefaultClass != s.post.DefaultClass {
		post.Settings = &policy.Settings{} // of another shape: who names nothing would get another class under a request in hand
	}
	alike := s.Renew(engine.Config{Settings: post.Settings, Source: post.Source, Leave: post.Leave})
	keep("settings", alike)
	if alike {
		s.post.Deadlines, s.post.Anonymous = post.Deadlines, post.Anonymous
	}
	s.post.Source, s.post.ConnectIn, s.post.IdleFor, s.post.Accept = post.Source, post.ConnectIn, post.IdleFor, post.Accept
	log := s.Logger.WithField("servers", post.Source.Name())
	if len(late) > 0 {
		log = log.WithField("from the next start on", strings.Join(late, " "))
	}
	log.Info("new configuration")
}
