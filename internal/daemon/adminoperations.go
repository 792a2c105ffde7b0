package daemon

import (
	"encoding/json"
	"errors"
	"time"

	"pepperlead/internal/engine"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

var errLoopTimeout = errors.New("the loop has not come to it in time, or is ending")

// adminOperations carries out operators' commands, and shares drained endpoints and learned state with the other
// processes of the instance.
type adminOperations struct {
	*httpproxy.Proxy
	group  *hotrestart.ProcessGroup // nil: there is no command server and no other process
	lists  *listSharing
	memory int // bytes that the processes of the instance may use together
}

// start drains the endpoints that were drained before this process started, and starts to answer requests of the other
// processes of the instance. It must be called before the proxy runs.
func (o *adminOperations) start() error {
	uids, err := o.group.Drained()
	if err != nil {
		return err
	}
	o.Engine.SetDrained(o.Clock.Now(), uids)
	o.lists = newListSharing(o.Proxy, o.group)
	o.lists.start()
	o.group.Serve(o.applyDrained, o.exportState, o.shareLimits)
	if o.group.Processes() > 1 {
		go o.lists.request()
	}
	return nil
}

// shareLimits sets how many processes of the instance share its limits, this one included.
func (o *adminOperations) shareLimits(processes int) {
	limitHeap(o.memory, processes)
	o.ShareLimits(processes)
	if processes == 1 {
		o.lists.notify() // from now on this process vouches for the saved list
	}
}

// applyDrained replaces the set of drained endpoints. It returns false if the loop didn't do so within loopTimeout.
func (o *adminOperations) applyDrained(uids []string) bool {
	return o.RunOnLoopWithin(loopTimeout, func() { o.Engine.SetDrained(o.Clock.Now(), uids) })
}

// SetDrained drains an endpoint or returns it to service, in all processes of the instance.
func (o *adminOperations) SetDrained(uid string, drained bool) error {
	listed := false
	if !o.RunOnLoopWithin(loopTimeout, func() { listed = o.WasListed(uid) }) {
		return errLoopTimeout
	}
	if !listed {
		return engine.ErrNeverListed
	}
	return o.group.SetDrained(uid, drained)
}

// learnedState is the state that a process hands over to its successor.
type learnedState struct {
	// LearnedState is embedded without a tag, so that its keys are encoded beside Seen.
	policy.LearnedState
	// Seen are the ids of all endpoints that any list has named. The successor needs them to accept a command to drain
	// an endpoint that is no longer listed.
	Seen []policy.EndpointID `json:"Seen"`
	// ClockBase is the time of the engine's clock when the machine was booted. The successor's differs if the system
	// clock has been set in between. 0: unknown.
	ClockBase policy.Time `json:"ClockBase"`
}

// exportState returns the encoded learned state, or nil if it can't be encoded or the loop doesn't export it within
// loopTimeout.
func (o *adminOperations) exportState() []byte {
	var state learnedState
	export := func() {
		state.LearnedState = o.Module.ExportState(o.Clock.Now())
		state.Seen = o.SeenEndpoints()
		state.ClockBase = o.ClockBase()
	}
	if !o.RunOnLoopWithin(loopTimeout, export) {
		return nil
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		o.Logger.WithError(err).Error("hot restart: learned state cannot be encoded")
		return nil
	}
	return encoded
}

// importState imports the learned states of the other processes. The module must have an endpoint list already. States
// that come late are imported when they come.
func (o *adminOperations) importState() {
	states, complete := o.group.LearnedStates()
	o.importStates(states)
	if len(states) == 0 {
		o.Logger.Warn("hot restart: learned state of the other process missing: its limits, ejections and budgets " +
			"of cold endpoints are not known")
		o.RunOnLoop(func() {
			o.Counters.HandoversMissing++
			o.Module.StateMissing(o.Clock.Now())
		})
	}
	if !complete {
		go o.importLateStates()
	}
}

// importLateStates imports the learned states that the other processes have not sent in time.
func (o *adminOperations) importLateStates() {
	for range maxListRequests {
		if o.group.Processes() == 1 {
			return
		}
		states, complete := o.group.LearnedStates()
		o.importStates(states)
		if complete || len(states) > 0 {
			return
		}
		select {
		case <-time.After(listRequestInterval):
		case <-o.Stopped():
			return
		}
	}
}

// importStates imports encoded learned states.
func (o *adminOperations) importStates(states [][]byte) {
	for _, encoded := range states {
		var state learnedState
		if err := json.Unmarshal(encoded, &state); err != nil {
			o.Logger.WithError(err).
				Warn("hot restart: learned state of the other process cannot be decoded, ignored")
			o.RunOnLoop(func() { o.Counters.HandoversRefused++ })
			continue
		}
		o.RunOnLoop(func() {
			o.ImportSeen(state.Seen)
			state.ShiftTimes(o.ClockAhead(state.ClockBase))
			o.Module.ImportState(o.Clock.Now(), state.LearnedState)
		})
		o.Logger.WithField("endpoints", len(state.Endpoints)).
			Info("hot restart: learned state of the other process imported")
	}
}
