// Package engine is the loop that owns the decision module and its requests: it gathers what has happened from its fronts, has the
// module decide, and has the fronts carry that out. It knows no protocol and no sockets; a front brings requests in and carries
// their attempts. One goroutine runs an engine; all that it calls is called on that one.
package engine

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Front speaks a protocol: it hands requests to the engine and carries out what the module decides for them. Its methods are
// called by the loop and must not wait.
type Front interface {
	// Gather hands over what has happened since the last call.
	Gather(now policy.Time)
	// More tells whether there is something to gather at once.
	More() bool
	// Send begins an attempt; Engine.Ended must be told of its end, exactly once.
	Send(now policy.Time, t *Request, to *Endpoint)
	// TimedOut and CancelAttempt end the attempt that is out, if it still is.
	TimedOut(now policy.Time, t *Request)
	CancelAttempt(now policy.Time, t *Request)
	// Succeed, Reject and Fail give the final answer. Engine.Answered must be told once nothing more is owed to the client.
	Succeed(now policy.Time, t *Request)
	Reject(now policy.Time, t *Request, retryIn policy.Time)
	Fail(now policy.Time, t *Request)
	// DiscardResponse says that the answer of the last attempt is not handed on.
	DiscardResponse(t *Request)
	// Released says that nothing refers to the request any more: its part can be used again.
	Released(t *Request)
	// CloseIdle keeps no connection to the endpoint for later; Forget lets it go for good.
	CloseIdle(s *Endpoint)
	Forget(s *Endpoint)
	// BeginShutdown begins the end; Left tells whether no request can come any more.
	BeginShutdown(now policy.Time)
	Drained(now policy.Time) bool
	// Close gives back what is still held.
	Close()
}

// Latency counts final answers by class and by how they ended: 0 successful, 1 declined, 2 rejected, 3 failed.
type Latency interface {
	Observe(o policy.ClassID, answer int, spent policy.Time)
	// SetClassName says that this place is that class's from now on.
	SetClassName(o policy.ClassID, name string)
}

// Config is what an engine is told at its start.
type Config struct {
	Seed         uint64
	Settings     *policy.Settings
	Source       discovery.Source // of endpoints
	SavedList    []byte           // a list saved earlier, as discovery gives it
	ShutdownTime policy.Time      // from the first sign of the end to the last answer
	Latency      Latency          // of final answers; nil: not measured
	Recorder     *trace.Recorder  // of what comes in and how it ends; nil: none
	StallAfter   policy.Time      // a loop that has not turned for so long may have stood still: it looks at its list first; 0: never
}

// Request is a request as the engine has it. Part is the front's own, and stays with the place.
type Request struct {
	Handle        policy.Handle
	Front         Front
	front         int // its place
	FrontData     any
	No            uint64 // counts requests
	Class         policy.ClassID
	ReceivedAt    policy.Time // when its last byte came
	ClientWaiting bool        // to a client that is still there
	InFlight      bool        // an attempt is out, or about to be
	AttemptNo     policy.AttemptNo
	Attempts      int
	Endpoint      policy.EndpointID
	SentAt        policy.Time
	AttemptTimer  Timer
	Decided       bool   // the final answer is decided on
	decided       uint64 // changes of the rules before its latest attempt was decided on
	PendingSteps  int    // steps decided on and not yet carried out
}

// Endpoint is an endpoint as lists tell of it. Parts are the fronts' own, by the order in which these were added.
type Endpoint struct {
	ID         policy.EndpointID
	UID        string
	Addr       string
	Zone       policy.Zone
	Started    policy.Time
	Draining   bool
	Generation int             // counts what makes its connections worthless: that it leaves, starts anew, or moves to another address
	Listed     bool            // the latest list names it
	Entry      discovery.Entry // what that says of it
	FrontData  [MaxFronts]any
}

// MaxFronts is how many fronts an engine may have.
const MaxFronts = 4

// Engine owns the module and all state around it.
type Engine struct {
	Config
	Clock     clock.Clock
	Logger    *logrus.Logger
	Module    *policy.Balancer
	Timers    Timers
	Counters  Counters
	Tally     Tally
	labels    [][Results]string // of what is shown, by class
	Endpoints map[policy.EndpointID]*Endpoint
	InFlight  int // requests

	fronts  []Front
	free    [MaxFronts][]*Request
	byPlace []*Request
	steps   []step       // decided on by the module, to be carried out
	ends    []attemptEnd // of attempts, to be told to the module
	wake    Timer
	look    Timer // for what is still to be done at the end
	show    Timer // for figures of the endpoints
	list    members
	signal  chan struct{}
	asks    chan func()   // of whoever wants something done or known; run by the loop
	over    chan struct{} // closed once Run has ended
	leaving bool
	leaveBy policy.Time // the last answer must be out by then
	turned  policy.Time // when the loop last did

	terms *terms       // nil: none are agreed on
	names atomic.Int64 // of classes that are shown

	configured, there int // instances: as the settings say, and as peers tell; 0: they do not
}

// step is something that the module wants done.
type step struct {
	do       func(e *Engine, now policy.Time, t *Request, n step)
	request  *Request
	endpoint policy.EndpointID
	attempt  policy.AttemptNo
	span     policy.Time
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	request *Request
	outcome policy.Outcome
	spent   policy.Time
}

// New makes an engine that does not run yet.
func New(post Config, log *logrus.Logger) *Engine {
	e := &Engine{Config: post, Logger: log, Clock: clock.New(), Endpoints: map[policy.EndpointID]*Endpoint{}, signal: make(chan struct{}, 1),
		asks: make(chan func()), over: make(chan struct{})}
	e.wake.Run = func(now policy.Time) { e.Module.Woken(now) }
	e.show.Run = e.publish
	e.list = members{e: e, news: make(chan told, mostNews), byHand: map[string]hand{}, seen: map[policy.EndpointID]struct{}{}}
	e.Tally.Answered = make([][Results]atomic.Int64, len(post.Settings.Classes))
	for _, o := range post.Settings.Classes {
		e.labels = append(e.labels, [Results]string{label(o.Name, results[0]), label(o.Name, results[1]), label(o.Name, results[2])})
	}
	e.names.Store(int64(len(e.labels)))
	e.configured = post.Settings.Instances
	e.Module = policy.New(e, post.Settings, post.Seed, e.Clock.Now())
	return e
}

// Add adds a front before Run, and gives its place in Endpoint.Parts.
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

// Run decides until a signal comes and all in hand is answered.
func (e *Engine) Run(stop <-chan os.Signal) {
	defer close(e.over)
	now := e.Clock.Now()
	if len(e.SavedList) > 0 {
		// A saved list that cannot be read is no reason not to serve: discovery has a newer one.
		if _, _, entries, err := discovery.DecodeList(e.SavedList); err != nil {
			e.Logger.WithError(err).Warn("known list: left out")
		} else {
			e.list.apply(now, &discovery.List{Kind: policy.ListSaved, Entries: entries})
		}
	}
	e.publish(now)
	if !e.Settings.PollList {
		e.list.follow(true)
	}
	e.list.start(e.Source)
	alarm := time.NewTimer(0)
	for {
		e.Round(e.Clock.Now())
		if len(e.ends) > 0 || e.more() {
			continue
		}
		if e.leaving && e.left(e.Clock.Now()) {
			e.shut()
			return
		}
		pause := time.Hour
		if at, any := e.Timers.Next(); any {
			pause = time.Duration(at - e.Clock.Now())
		}
		alarm.Reset(pause)
		select {
		case <-e.signal:
		case <-alarm.C:
		case t := <-e.list.news:
			e.list.take(e.Clock.Now(), t)
		case ask := <-e.asks:
			ask()
		case <-stop:
			e.BeginShutdown(e.Clock.Now())
		}
	}
}

func (e *Engine) more() bool {
	for _, f := range e.fronts {
		if f.More() {
			return true
		}
	}
	return false
}

// Round gathers what is ready, hands it to the module, and carries out what came back.
func (e *Engine) Round(now policy.Time) {
	if e.StallAfter > 0 && e.turned > 0 && now-e.turned > e.StallAfter {
		e.list.look()
		now = e.Clock.Now()
	}
	e.turned = now
	e.obey()
	e.hear(now)
	for _, f := range e.fronts {
		f.Gather(now)
		e.RunSteps(now)
	}
	e.Timers.Run(now)
	e.RunSteps(now)
	for i := 0; i < len(e.steps); i++ {
		n := e.steps[i]
		n.do(e, now, n.request, n)
		n.request.PendingSteps--
		e.release(n.request)
	}
	clear(e.steps)
	e.steps = e.steps[:0]
}

// hear takes lists before anything is decided: after a process has stood still, what the list said meanwhile comes before any attempt.
// Whoever asks is heard as well, so that under load nobody waits for the loop to rest. What comes in meanwhile is for the next round:
// lists that come faster than they can be assigned kept all requests waiting for seconds.
func (e *Engine) hear(now policy.Time) {
	for n := 0; n <= mostNews; n++ { // those that wait, and one that waits to be let in
		select {
		case t := <-e.list.news:
			e.list.take(now, t)
		default:
			n = mostNews
		}
	}
	for {
		select {
		case ask := <-e.asks:
			ask()
		default:
			return
		}
	}
}

// RunSteps hands the module the ends of attempts.
func (e *Engine) RunSteps(now policy.Time) {
	for i := 0; i < len(e.ends); i++ {
		n := e.ends[i]
		t := n.request
		e.Counters.Outcomes[n.outcome]++
		if e.Logger.IsLevelEnabled(logrus.DebugLevel) {
			e.Logger.Debugf("push %d to server %d: outcome %d after %d us", t.AttemptNo, t.Endpoint, n.outcome, n.spent/1000)
		}
		t.InFlight = false
		e.recordEnd(now, t, n.outcome, n.spent)
		t.PendingSteps++
		e.Module.AttemptEnded(now, t.Handle, t.AttemptNo, t.Endpoint, n.outcome, n.spent, t.Decided)
		t.PendingSteps--
		if !t.Decided || t.PendingSteps == 0 {
			t.Front.DiscardResponse(t)
		}
		e.release(t)
	}
	clear(e.ends)
	e.ends = e.ends[:0]
}

// RunOnLoop has the loop do something between two rounds; false: it runs no more. What is done must be short and must not call
// Inside.
func (e *Engine) RunOnLoop(do func()) bool { return e.inside(nil, do) }

// RunOnLoopWithin does the same, but waits no longer for the loop to come to it; false: it has not been done, and will not be.
func (e *Engine) RunOnLoopWithin(span time.Duration, do func()) bool {
	return e.inside(time.After(span), do)
}

func (e *Engine) inside(late <-chan time.Time, do func()) bool {
	done := make(chan struct{})
	select {
	case e.asks <- func() { do(); close(done) }:
		<-done
		return true
	case <-e.over:
	case <-late:
	}
	return false
}

// Stopped is closed once Run has ended.
func (e *Engine) Stopped() <-chan struct{} { return e.over }
