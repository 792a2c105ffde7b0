// Package engine is the loop that owns the decision module and its requests: it gathers what has happened from its
// fronts, has the module decide, and has the fronts carry that out. It knows no protocol and no sockets; a front brings
// requests in and carries their attempts. One goroutine runs an engine, and all calls to its fronts are made there.
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
	Source       discovery.Source // of endpoints
	SavedList    []byte           // an endpoint list saved earlier, as discovery encodes it
	ShutdownTime policy.Time      // from the begin of the shutdown to the last answer
	Latency      Latency          // of final answers; nil: not measured
	Recorder     *trace.Recorder  // of requests and their ends; nil: none

	// StallAfter is the time without a round after which the loop refreshes its endpoint list before it decides, as the
	// process may have been suspended; 0: never.
	StallAfter policy.Time
}

// Engine owns the module and all state around it.
type Engine struct {
	Config
	Clock     clock.Clock
	Logger    *logrus.Logger
	Module    *policy.Balancer
	Timers    Timers
	Counters  Counters
	Tally     Tally
	Endpoints map[policy.EndpointID]*Endpoint
	InFlight  int // requests

	fronts       []Front
	freeRequests [MaxFronts][]*Request // for reuse, by front
	requests     []*Request            // by the place of the module's handle
	steps        []step                // decided by the module and not yet carried out
	ended        []endedAttempt        // not yet reported to the module
	list         endpointList
	rules        *activeRules // nil: no rules are agreed on with other instances

	wakeTimer     Timer // of the module
	shutdownTimer Timer
	figuresTimer  Timer // of the figures about endpoints

	signal           chan struct{}
	calls            chan func()   // from other goroutines, run by the loop
	stopped          chan struct{} // closed once Run has returned
	shuttingDown     bool
	shutdownDeadline policy.Time // of the last answer
	lastRound        policy.Time

	classLabels []classLabels // of the figures, by row
	classRows   atomic.Int64  // rows of classLabels that are shown

	configuredInstances int // as the settings say
	liveInstances       int // as peers tell; 0: they don't
}

// New makes an engine that does not run yet.
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
	e.wakeTimer.Run = func(now policy.Time) { e.Module.Woken(now) }
	e.figuresTimer.Run = e.publishFigures
	e.list = newEndpointList(e)
	e.Tally.Answered = make([][Results]atomic.Int64, len(config.Settings.Classes))
	for _, class := range config.Settings.Classes {
		e.classLabels = append(e.classLabels, newClassLabels(class.Name))
	}
	e.classRows.Store(int64(len(e.classLabels)))
	e.Module = policy.New(e, config.Settings, config.Seed, e.Clock.Now())
	return e
}

// Add adds a front before Run and returns its index in Endpoint.FrontData.
func (e *Engine) Add(f Front) int {
	e.fronts = append(e.fronts, f)
	return len(e.fronts) - 1
}

// Signal wakes the loop, as there is something to gather. Any goroutine may call it.
func (e *Engine) Signal() {
	select {
	case e.signal <- struct{}{}:
	default:
	}
}

// Run runs the loop until stop receives a signal and all requests are answered.
func (e *Engine) Run(stop <-chan os.Signal) {
	defer close(e.stopped)
	now := e.Clock.Now()
	e.loadSavedList(now)
	e.publishFigures(now)
	if !e.Settings.PollList {
		e.list.follow(true)
	}
	e.list.start(e.Source)
	e.loop(stop)
}

// loadSavedList hands the saved list to the module. An unreadable one doesn't keep the engine from serving, as
// discovery has a newer one.
func (e *Engine) loadSavedList(now policy.Time) {
	if len(e.SavedList) == 0 {
		return
	}
	_, _, entries, err := discovery.DecodeList(e.SavedList)
	if err != nil {
		e.Logger.WithError(err).Warn("saved endpoint list cannot be read, waiting for the source")
		return
	}
	e.list.apply(now, &discovery.List{Kind: policy.ListSaved, Entries: entries})
}
