package daemon

import (
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/admin"
	"pepperlead/internal/clock"
	"pepperlead/internal/engine"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/logqueue"
	"pepperlead/internal/requestids"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

const (
	// minThreads lets one thread wait in the kernel for sockets while another works. With a single thread the loop
	// would run only once the runtime notices the wait, up to 10 ms later.
	minThreads = 2

	// StallAfter is the time without a round of the loop after which an engine refreshes its endpoint list before the
	// next decision: the process may have been suspended, and the list may be outdated.
	StallAfter = 400 * policy.Millisecond
	// logFlushTime is how long the end of the process may wait for the reader of the log.
	logFlushTime = 200 * time.Millisecond
)

var errRecordAgreedRules = errors.New(
	"record: a trace has a fixed set of offerings, but with peers.agree they can change")

// server is an instance: a proxy with its process group, cluster membership, trace and servers for operators.
type server struct {
	config     Config
	log        *logrus.Logger
	proxy      *httpproxy.Proxy
	operations *adminOperations
	reporter   admin.Reporter
	closers    []func() // close calls them, the last one first
}

// Serve runs an instance until it receives SIGTERM or SIGINT. On SIGHUP it reads the configuration again from path. If
// record is not empty, it writes a trace to that file. It logs without waiting for the reader of the log.
func Serve(config Config, path, record string, signals Signals, log *logrus.Logger) error {
	queue := logqueue.New(log.Out)
	log.SetOutput(queue)
	defer queue.Flush(logFlushTime)
	memory := config.MessageMemory
	limitResources(&config, log)

	s := &server{config: config, log: log, operations: &adminOperations{memory: memory}}
	defer s.close()
	if err := s.startTrace(record); err != nil {
		return err
	}
	s.joinProcessGroup()
	s.newProxy()
	configs := make(chan httpproxy.Config)
	r := reloader{path: path, current: s.config, configs: configs, stopped: s.proxy.Stopped(), log: log}
	go r.run(signals.reload)
	for _, start := range []func() error{s.startOperations, s.startCluster, s.startMetrics, s.startCommands} {
		if err := start(); err != nil {
			return err
		}
	}
	if err := s.proxy.Run(signals.stop, configs); err != nil {
		return err
	}
	log.Info("end: " + strings.ReplaceAll(strings.TrimSpace(s.proxy.Report()), "\n", ", "))
	return nil
}

// limitResources sets the limits of the process and the memory for messages. The instance itself stays below its limit
// on descriptors; the kernel enforces the limit if clients connect faster than their connections are accepted.
func limitResources(config *Config, log *logrus.Logger) {
	runtime.GOMAXPROCS(max(minThreads, runtime.GOMAXPROCS(0)))
	limitHeap(config.MessageMemory, 1)
	config.MessageMemory = messageMemory(config.MessageMemory)
	limit := syscall.Rlimit{Cur: uint64(config.Descriptors), Max: uint64(config.Descriptors)}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.WithError(err).Warn("cannot set the limit on file descriptors")
	}
}

// close calls the closers in reverse order.
func (s *server) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

func (s *server) onClose(closer func()) { s.closers = append(s.closers, closer) }

// startTrace creates the trace, unless the path is empty.
func (s *server) startTrace(path string) error {
	if path == "" {
		return nil
	}
	if s.config.AgreedRules {
		return errRecordAgreedRules
	}
	recorder, err := trace.Create(path, traceHeader(s.config))
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	s.config.Recorder = recorder
	s.onClose(func() {
		if err := recorder.Close(); err != nil || recorder.Dropped() > 0 {
			s.log.WithError(err).WithField("dropped", recorder.Dropped()).Warn("the trace is incomplete")
		}
	})
	return nil
}

func traceHeader(config Config) trace.Header {
	header := trace.Header{Start: clock.New().Now(), Name: config.Name, Zone: config.Settings.Zone}
	for _, class := range config.Settings.Classes {
		header.Classes = append(header.Classes, class.Name)
	}
	for _, tenant := range config.Settings.Tenants {
		header.Tenants = append(header.Tenants, tenant.Name)
	}
	return header
}

// joinProcessGroup joins the group of the instance's processes, if it has one. If that fails, the process serves
// without a group: drained endpoints are forgotten at its end, and its successor can't import its state.
func (s *server) joinProcessGroup() {
	if !s.config.hasProcessGroup() {
		return
	}
	group, err := hotrestart.Join(hotrestart.Directory(s.config.Name, s.config.Listen), s.log)
	if err != nil {
		s.log.WithError(err).Error("hot restart disabled")
		group = hotrestart.Standalone(err, s.log)
	} else {
		s.config.RequestIDs = s.openRequestIDs()
	}
	s.onClose(group.Close)
	s.operations.group = group
	s.config.Successor = group.Processes() > 1
}

// openRequestIDs returns the table of request ids that the instance's processes share. If it cannot be opened, this
// process has one of its own.
func (s *server) openRequestIDs() *requestids.Table {
	directory := hotrestart.Directory(s.config.Name, s.config.Listen)
	ids, err := requestids.Open(filepath.Join(directory, requestids.FileName))
	if err != nil {
		s.log.WithError(err).Error("hot restart: ids of requests are not shared with other processes")
		return nil
	}
	return ids
}

func (s *server) newProxy() {
	s.config.ImportState = s.operations.importState
	s.proxy = httpproxy.New(s.config.Config, s.log)
	s.operations.Proxy = s.proxy
	s.reporter = s.proxy
}

func (s *server) startOperations() error {
	if s.operations.group == nil {
		return nil
	}
	if err := s.operations.start(); err != nil {
		return err
	}
	if s.config.InheritedListener > 0 && !s.config.Successor && s.proxy.HandedOver.State == nil {
		// Another process may be serving, or have served, of which nothing is known.
		s.proxy.SetFirstListTimeout(httpproxy.SuccessorListTimeout)
	}
	return nil
}

func (s *server) startCluster() error {
	if s.config.Membership == nil {
		return nil
	}
	var own *engine.RuleSet
	if s.config.AgreedRules {
		own = fileRuleSet(s.config.Settings, s.config.Deadlines)
	}
	member := joinCluster(s.proxy, *s.config.Membership, own)
	s.onClose(member.close)
	s.reporter = member
	return nil
}

func (s *server) startMetrics() error {
	if s.config.MetricsAddress == "" {
		return nil
	}
	latency, _ := s.config.Latency.(*admin.Latency) // parseProduct sets it together with MetricsAddress
	metrics, err := admin.ListenMetrics(s.config.MetricsAddress, s.reporter, latency)
	if err != nil {
		return fmt.Errorf("pages: %w", err)
	}
	s.onClose(func() {
		_ = metrics.Close() // an error doesn't matter: the process is about to end
	})
	return nil
}

func (s *server) startCommands() error {
	address := s.config.AdminAddress
	if address == "" {
		return nil
	}
	commands, err := admin.ListenCommands(address, s.operations)
	if err != nil {
		return fmt.Errorf("admin: cannot listen on %q: %w", address, err)
	}
	s.onClose(func() {
		_ = commands.Close() // an error doesn't matter: the process is about to end
	})
	return nil
}
