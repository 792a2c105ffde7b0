// Package daemon starts a sidecar from what it is told and ends it when it is told to.
package daemon

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/admin"
	"pepperlead/internal/clock"
	"pepperlead/internal/engine"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

const (
	bufferPercent = 35                       // of the memory allowed, for messages in hand
	heapPart      = 0.6                      // the garbage collector keeps the heap under it
	acceptFor     = 450 * policy.Millisecond // after SIGTERM: 50 ms more than clients are said to come
	longest       = 3 * policy.Second        // cut-off that is waited for after SIGTERM

	// StallAfter is after how long without a turn a loop looks at its list again before it decides.
	StallAfter = 400 * policy.Millisecond

	leastSockets, leastMemory = 48, 24 // descriptors and MB without which nothing can be served

	watchDescriptors = 6 // for word of changes, and for the file being read or written
)

// NewLogger makes a log of that level and format, text or json, on standard error.
func NewLogger(level, format string) (*logrus.Logger, error) {
	log := logrus.New()
	const moment = "15:04:05.000"
	switch format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: moment})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	default:
		return nil, fmt.Errorf("log format: found %q, allowed text, json", format)
	}
	var err error
	log.Level, err = logrus.ParseLevel(level)
	return log, err
}

// Serve runs a sidecar from the configuration in the file until it is told to end. record: a file for a trace; "": none.
func Serve(o Config, path, record string, log *logrus.Logger) error {
	// One thread may stand in the kernel waiting for sockets while another works, also where there is one core: with
	// one alone the loop would start only when the runtime notices, up to 10 ms later.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(int64(float64(o.MessageMemory) * heapPart))
	o.MessageMemory = o.MessageMemory * bufferPercent / 100
	// What the sidecar may hold is kept by itself; the kernel keeps it where clients come faster than they are told so.
	limit := syscall.Rlimit{Cur: uint64(o.Descriptors), Max: uint64(o.Descriptors)}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.WithError(err).Warn("the limit on descriptors cannot be set")
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	fresh := make(chan httpproxy.Config)
	if record != "" && o.AgreedRules {
		return errors.New("record: a trace has one set of offerings, and with peers.agree these come and go")
	}
	if record != "" {
		r, err := trace.Create(record, head(o))
		if err != nil {
			return fmt.Errorf("record: %w", err)
		}
		o.Recorder = r
		defer func() {
			if err := r.Close(); err != nil || r.Dropped() > 0 {
				log.WithError(err).WithField("dropped", r.Dropped()).Warn("the trace is not whole")
			}
		}()
	}
	of := operated{}
	if o.together() {
		kin, err := hotrestart.Join(hotrestart.Directory(o.Name, o.Listen), log)
		if err != nil {
			// Serving goes on without: what is done by hand ends with this process, and a new version does not know of it.
			log.WithError(err).Error("handover: left out")
			kin = hotrestart.Standalone(err, log)
		}
		defer kin.Close()
		of.kin, o.Successor = kin, kin.Processes() > 1
	}
	o.ImportState = func() { of.learn() }
	s := httpproxy.New(o.Config, log)
	go reread(path, o, again, fresh, s.Stopped(), log)
	of.Proxy = s
	if of.kin != nil {
		if err := of.begin(); err != nil {
			return err
		}
	}
	var asked admin.Reporter = s
	if o.Membership != nil {
		var own *engine.RuleSet
		if o.AgreedRules {
			own = ownVersion(o.Settings, o.Deadlines)
		}
		company := meet(s, *o.Membership, own)
		defer company.close()
		asked = company
	}
	if o.MetricsAddress != "" {
		at, err := admin.ListenMetrics(o.MetricsAddress, asked, o.Latency.(*admin.Latency))
		if err != nil {
			return fmt.Errorf("pages: %w", err)
		}
		defer at.Close()
	}
	if o.AdminAddress != "" {
		door, err := admin.ListenCommands(o.AdminAddress, of)
		if err != nil {
			return fmt.Errorf("admin: found %q, allowed an address that can be listened on: %w", o.AdminAddress, err)
		}
		defer door.Close()
	}
	if err := s.Run(stop, fresh); err != nil {
		return err
	}
	log.Info("end: " + strings.ReplaceAll(strings.TrimSpace(s.Report()), "\n", ", "))
	return nil
}

func head(o Config) trace.Header {
	h := trace.Header{Start: clock.New().Now(), Name: o.Name, Zone: o.Settings.Zone}
	for _, f := range o.Settings.Classes {
		h.Classes = append(h.Classes, f.Name)
	}
	for _, f := range o.Settings.Tenants {
		h.Tenants = append(h.Tenants, f.Name)
	}
	return h
}

// reread reads the file anew at each signal and hands on what can be served. Reading takes its time, so the loop is not held
// up by it.
func reread(path string, now Config, again <-chan os.Signal, fresh chan<- httpproxy.Config, over <-chan struct{}, log *logrus.Logger) {
	for range again {
		next, err := Read(path, func(name string) string {
			if name == "GW_DISCOVERY" {
				return "" // the environment is as old as the process; what the file says now is newer
			}
			return os.Getenv(name)
		})
		if err != nil {
			// A mistake in the file must not end what serves.
			log.WithField("error", strings.ReplaceAll(err.Error(), "\n", "; ")).Error("new configuration: left out, the old one stays")
			continue
		}
		if next.inFile == now.inFile && next.inFile != "" {
			next.Source = now.Source
		} else {
			now.inFile, now.Source = next.inFile, next.Source
		}
		if now.AgreedRules {
			next.Settings = &policy.Settings{} // of another shape: it stays as the cluster's versions say
		}
		next.Latency, next.Recorder = now.Latency, now.Recorder
		next.MessageMemory = next.MessageMemory * bufferPercent / 100
		select {
		case fresh <- next.Config:
		case <-over: // it was told to end as well, and has
			return
		}
	}
}
