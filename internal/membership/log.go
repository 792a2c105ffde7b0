package membership

import (
	"log"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// newLogger returns memberlist's logger. Its lines become debug lines of the sidecar's log: changes of membership that
// matter are logged by the delegate.
func newLogger(to *logrus.Logger, dropped *atomic.Uint64) *log.Logger {
	return log.New(logWriter{to, dropped}, "", 0)
}

// logWriter passes memberlist's log lines on and counts the packets and connections that memberlist drops, which it
// reports nowhere else.
type logWriter struct {
	to      *logrus.Logger
	dropped *atomic.Uint64
}

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	text := string(line)
	if reportsDrop(text) {
		w.dropped.Add(1)
	}
	w.to.Debug("peers: " + strings.TrimSpace(text))
	return len(line), nil
}

// reportsDrop reports whether a log line says that a packet or connection of another key or cluster was dropped.
func reportsDrop(line string) bool {
	switch {
	case strings.Contains(line, "Decrypt packet failed"):
		return true
	case strings.Contains(line, "unacceptable label"):
		return true
	default:
		return strings.Contains(line, "failed to receive") && strings.Contains(line, "crypt")
	}
}
