package httpproxy

import (
	"context"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

const (
	lastWriteTime = 100 * policy.Millisecond // for a client to take the last answer
	closeTimeout  = 50 * policy.Millisecond  // for connections to close
	recentUseTime = 700 * policy.Millisecond // idle, where others take new clients: a client that has just used a connection uses it again
	reconnectTime = 50 * policy.Millisecond  // for a client to come again that had its connection closed as it sent
)

// BeginShutdown begins the end: for a while clients may still come, and every answer now closes its connection.
func (s *Proxy) BeginShutdown(now policy.Time) {
	if s.awaitingList {
		s.admitClients(now) // whoever came before the first list is owed an answer too
	}
	s.serving.Store(false)
	s.acceptUntil = now + s.config.AcceptTime
	if s.config.InheritedListener > 0 {
		// The queue stays, and whoever else has it takes from it. What this process has taken is its own.
		s.acceptUntil = now
		s.sockets.listener.Close()
	}
}

// Drained tells whether none can come any more.
func (s *Proxy) Drained(now policy.Time) bool {
	leaveBy, _ := s.ShuttingDown()
	if now < s.acceptUntil {
		return false
	}
	// One may have been taken from the queue and not have come to the loop yet: its request is this process's to answer.
	waiting := s.config.InheritedListener > 0 && !s.sockets.listener.stopped.Load()
	if s.config.InheritedListener == 0 && s.sockets.listener.hasPending() {
		// It was let in by the kernel, and what it asks counts as taken. Whoever accepts may have stood still, or had no room till now.
		waiting = true
	}
	for c := range s.conns.Open {
		if c.Side == connstate.ClientSide && !c.Closing {
			stays := s.config.InheritedListener > 0 && now-c.IdleSince < recentUseTime && now < leaveBy // its next answer ends it
			if c.Request == nil && c.Input.Buffer == nil && !c.Output.CloseWhenFlushed && c.Upload.State == connstate.NoUpload && !stays && c.Socket.CloseIfIdle(c) {
				s.conns.CountEnd(c)
			}
			waiting = true
		}
	}
	if waiting {
		s.quietAt = now + reconnectTime
	}
	return now >= min(max(s.quietAt, s.acceptUntil), leaveBy+lastWriteTime)
}

// Close gives back what is still held: connections, their buffers.
func (s *Proxy) Close() {
	for c := range s.conns.Open {
		s.closeConn(c)
	}
	// Dialling may take its time; what the process holds ends with it.
	for end := s.Clock.Now() + closeTimeout; len(s.conns.Open) > 0 && s.Clock.Now() < end; {
		s.Round(s.Clock.Now())
		time.Sleep(time.Millisecond)
	}
	s.Timers.Stop(&s.roomTimer)
	s.Timers.Stop(&s.startTimer)
	close(s.sockets.stopped)
	enough, cancel := context.WithTimeout(context.Background(), time.Duration(closeTimeout))
	defer cancel()
	s.sockets.engine.Shutdown(enough)
}
