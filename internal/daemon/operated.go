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

const loopIn = 250 * time.Millisecond // for the loop to come to what an operator wants

// operated is the sidecar as the door has it.
type operated struct {
	*httpproxy.Proxy
	kin *hotrestart.ProcessGroup
}

// begin takes over what was done by hand before this process, and obeys what is done from now on. It is called before Run.
func (o operated) begin() error {
	uids, err := o.kin.Drained()
	if err != nil {
		return err
	}
	o.Engine.SetDrained(o.Clock.Now(), uids)
	o.kin.Serve(func(uids []string) bool {
		return o.RunOnLoopWithin(loopIn, func() { o.Engine.SetDrained(o.Clock.Now(), uids) })
	}, o.tell, o.Share)
	return nil
}

// heritage is what a process tells the one that follows it.
type heritage struct {
	policy.LearnedState                     // without a tag: its keys stand beside the others
	Seen                []policy.EndpointID `json:"Seen"` // ids that lists have named: also one that has gone can be taken out by hand
}

// tell gives what this process has learned.
func (o operated) tell() []byte {
	var h heritage
	if !o.RunOnLoopWithin(loopIn, func() { h = heritage{o.Module.ExportState(o.Clock.Now()), o.SeenEndpoints()} }) {
		return nil
	}
	text, _ := json.Marshal(h)
	return text
}

// learn takes over what the process before this one tells. It must know the list by then.
func (o operated) learn() {
	for _, text := range o.kin.LearnedStates() {
		var h heritage
		if err := json.Unmarshal(text, &h); err != nil {
			o.Logger.WithError(err).Warn("handover: what the other process has learned cannot be read, and is left out")
			continue
		}
		o.RunOnLoopWithin(loopIn, func() {
			o.ImportSeen(h.Seen)
			o.Module.ImportState(o.Clock.Now(), h.LearnedState)
		})
		o.Logger.WithField("servers", len(h.Endpoints)).Info("handover: goes on from what the other process has learned")
	}
}

// Out takes a server out by hand, or calls it back.
func (o operated) SetDrained(uid string, out bool) error {
	listed := false
	if !o.RunOnLoopWithin(loopIn, func() { listed = o.Listed(uid) }) {
		return errors.New("the loop has not come to it in time, or is ending")
	}
	if !listed {
		return engine.ErrNeverListed
	}
	return o.kin.SetDrained(uid, out)
}
