package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals that an instance handles.
type Signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// CatchSignals makes the process handle its signals instead of being ended by them. It is to be called as early as
// possible: a signal that comes before is not caught. Signals that report a write to a closed pipe or beyond the limit
// of a file's size are ignored; the write fails then.
func CatchSignals() Signals {
	s := Signals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	return s
}
