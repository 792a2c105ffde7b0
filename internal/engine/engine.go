// Package engine is the event loop that owns the decision module and its requests. It gathers events from the fronts,
// lets the module decide on them, and has the fronts carry out the decisions. It knows no protocol and no sockets: a
// front accepts requests and transmits their attempts. One goroutine runs an engine, and makes all calls to its fronts.
package engine

import (
	"os"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Config is the configuration of an engine.
type Config struct {
	Seed         uint64
	Settings     *policy.Settings
	Source       discovery.Source // emits the endpoint lists
	SavedList    []byte           // an endpoint list saved earlier, in the encoding of the discovery service
	HandedOver   HandedOver       // the list that another process of the instance has saved; its State may be nil
	ListChanged  func()           // called on the loop after a change of ExportList by the source or an operator
	ShutdownTime policy.Time      // time from the start of the shutdown until the last answer must be sent
	Latency      Latency          // measures the latency of final answers; nil: not measured
	Recorder     *trace.Recorder  // records requests and attempts; nil: none are recorded

	// StallAfter is the time without a round after which the loop refreshes its endpoint list before the next decision,
	// because the process may have been suspended; 0: never.
	StallAfter policy.Time
}

// Engine owns the decision module, its requests and its endpoints.
type Engine struct {
	Config
	Clock     clock.Clock
	Logger    *logrus.Logger
	Module    *policy.Balancer
	Timers    Timers
	Counters  Counters
	Metrics   Metrics
	Endpoints map[policy.EndpointID]*Endpoint
	InFlight  int // number of requests that are not released yet

	fronts       []Front
	freeRequests [MaxFronts][]*Request // released requests for reuse, by front
	requests     []*Request            // requests by Handle.Index
	steps        []step                // steps that the module has decided on and the loop has not carried out
	ended        []endedAttempt        // ended attempts that are not yet reported to the module
	list         endpointList
	rules        *activeRules // nil: no rules are agreed on with other instances

	wakeTimer     Timer // calls Module.Woken at the time that the module has set
	shutdownTimer Timer
	metricsTimer  Timer // for updates of the endpoint metrics

	signal           chan struct{} // wakes the loop
	calls            chan func()   // functions that other goroutines pass to the loop to run
	stopped          chan struct{} // closed once Run has returned
	shuttingDown     bool
	shutdownDeadline policy.Time // time by which the last answer must be sent
	lastRound        policy.Time // start of the latest round

	classLabels []classLabels // labels of the request metrics, by row
	classRows   atomic.Int64  // number of rows of classLabels in use

	configuredInstances int // number of instances in the settings
	liveInstances       int // number of live instances according to the peers; 0: unknown

	clockStep func() policy.Time // by how much the system clock is ahead of Clock
}

// New returns an engine that does not run yet.
func New(config Config, log *logrus.Logger) *Engine {
	e := &Engine{
		Config:              config,
		Logger:              log,
		Clock:               clock.New(),
		Endpoints:           map[policy.EndpointID]*Endpoint{},
		signal:              make(chan struct{}, 1),
		calls:               make(chan func()),
		stopped:             make(chan struct{}),
		configuredInstances: config.Settings.Instances,
	}
	e.clockStep = e.Clock.Step
	e.wakeTimer.Run = func(now policy.Time) { e.Module.Woken(now) }
	e.metricsTimer.Run = e.publishMetrics
	e.list = newEndpointList(e)
	e.Metrics.Answered = make([][NumResults]atomic.Int64, len(config.Settings.Classes))
	for _, class := range config.Settings.Classes {
		e.classLabels = append(e.classLabels, newClassLabels(class.Name))
	}
	e.classRows.Store(int64(len(e.classLabels)))
	e.Module = policy.New(e, config.Settings, config.Seed, e.Clock.Now())
	return e
}

// AddFront adds a front and returns its index in Endpoint.FrontData. It must be called before Run.
func (e *Engine) AddFront(f Front) int {
	e.fronts = append(e.fronts, f)
	return len(e.fronts) - 1
}

// Signal wakes the loop because a front has events to gather. Any goroutine may call it.
func (e *Engine) Signal() {
	select {
	case e.signal <- struct{}{}:
	default:
	}
}

// Run runs the loop. It returns after stop has received a signal and the graceful shutdown is complete.
func (e *Engine) Run(stop <-chan os.Signal) {
	defer close(e.stopped)
	now := e.Clock.Now()
	e.loadSavedList(now)
	e.loadHandedOverList(now)
	e.publishMetrics(now)
	if !e.Settings.PollList {
		e.list.follow(true)
	}
	e.list.start(e.Source)
	e.loop(stop)
}

// loadSavedList passes the saved list to the module. A list that can't be decoded doesn't keep the engine from serving,
// because the source will report a newer one.
func (e *Engine) loadSavedList(now policy.Time) {
	if len(e.SavedList) == 0 {
		return
	}
	revision, _, entries, err := discovery.DecodeList(e.SavedList)
	if err != nil {
		e.Logger.WithError(err).Warn("saved endpoint list cannot be read, waiting for the source")
		return
	}
	e.list.savedRevision = revision
	e.list.apply(now, &discovery.List{Kind: policy.ListSaved, Entries: entries})
}

// loadHandedOverList puts the list that another process has saved in force, and lets the source continue from it.
func (e *Engine) loadHandedOverList(now policy.Time) {
	list := e.HandedOver
	e.HandedOver = HandedOver{} // it may be large
	if list.State == nil || !e.ImportList(now, list) {
		return
	}
	if source, ok := e.Source.(discovery.Resumer); ok && e.Source.Name() == list.Source {
		source.Resume(list.ListedEntries(), list.FileState)
	}
}
