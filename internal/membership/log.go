package membership

import (
	"log"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// newLogger returns memberlist's logger. It writes to the sidecar's log at debug level, because the delegate logs the
// changes of membership that matter to operators.
func newLogger(target *logrus.Logger, dropped *atomic.Uint64) *log.Logger {
	return log.New(logWriter{target, dropped}, "", 0)
}

// logWriter writes memberlist's log lines to the target and counts the packets and connections that memberlist drops,
// which it reports nowhere else.
type logWriter struct {
	target  *logrus.Logger
	dropped *atomic.Uint64
}

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	text := string(line)
	if reportsDrop(text) {
		w.dropped.Add(1)
	}
	w.target.Debug("peers: " + strings.TrimSpace(text))
	return len(line), nil
}

// reportsDrop reports whether a log line says that a packet or connection with another key or cluster name was dropped.
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
