package membership

import (
	"log"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// quiet turns memberlist's lines into the sidecar's, at debug: what matters of them is told as a change of who is there.
// Packets that it drops it tells nowhere else.
func quiet(to *logrus.Logger, dropped *atomic.Uint64) *log.Logger {
	return log.New(lines{to, dropped}, "", 0)
}

type lines struct {
	to      *logrus.Logger
	dropped *atomic.Uint64
}

func (l lines) Write(b []byte) (int, error) {
	if s := string(b); strings.Contains(s, "Decrypt packet failed") || strings.Contains(s, "unacceptable label") ||
		strings.Contains(s, "failed to receive") && strings.Contains(s, "crypt") {
		l.dropped.Add(1)
	}
	l.to.Debug("peers: " + strings.TrimSpace(string(b)))
	return len(b), nil
}
