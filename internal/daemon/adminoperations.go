package daemon

import (
	"encoding/json"
	"errors"

	"pepperlead/internal/engine"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

var errLoopTimeout = errors.New("the loop has not come to it in time, or is ending")

// adminOperations are what operators and the instance's other processes can have done.
type adminOperations struct {
	*httpproxy.Proxy
	group *hotrestart.ProcessGroup // nil: no commands, and no other processes
}

// start drains the endpoints that were drained before this process began, and serves the other processes from now on.
// It is called before Run.
func (o *adminOperations) start() error {
	uids, err := o.group.Drained()
	if err != nil {
		return err
	}
	o.Engine.SetDrained(o.Clock.Now(), uids)
	o.group.Serve(o.applyDrained, o.exportState, o.ShareLimits)
	return nil
}

// applyDrained makes these endpoints the drained ones and returns false if the loop didn't come to it.
func (o *adminOperations) applyDrained(uids []string) bool {
	return o.RunOnLoopWithin(loopTimeout, func() { o.Engine.SetDrained(o.Clock.Now(), uids) })
}

// SetDrained drains an endpoint or puts it back into use, for all processes of the instance.
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

// learnedState is what a process passes on to the one that takes over.
type learnedState struct {
	// The keys of the embedded state, which has no tag, stand beside the others.
	policy.LearnedState
	// Seen are the ids that lists have named: a process can also drain an endpoint that has left the list.
	Seen []policy.EndpointID `json:"Seen"`
}

// exportState encodes the learned state; nil if the loop can't be reached.
func (o *adminOperations) exportState() []byte {
	var state learnedState
	export := func() {
		state.LearnedState = o.Module.ExportState(o.Clock.Now())
		state.Seen = o.SeenEndpoints()
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

// importState takes over the learned states of the other processes. There must be an endpoint list by then.
func (o *adminOperations) importState() {
	for _, encoded := range o.group.LearnedStates() {
		var state learnedState
		if err := json.Unmarshal(encoded, &state); err != nil {
			o.Logger.WithError(err).
				Warn("hot restart: learned state of the other process cannot be decoded, ignored")
			continue
		}
		o.RunOnLoopWithin(loopTimeout, func() {
			o.ImportSeen(state.Seen)
			o.Module.ImportState(o.Clock.Now(), state.LearnedState)
		})
		o.Logger.WithField("endpoints", len(state.Endpoints)).
			Info("hot restart: learned state of the other process imported")
	}
}
