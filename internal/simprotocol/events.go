package simprotocol

import (
	"fmt"

	"pepperlead/policy"
)

// retriedOption marks, in a request's options, one that its client has sent before.
const retriedOption = 2

// eventHandler handles an event of an instance. Events of an instance that has stopped (nil) are ignored, but their
// fields must be readable.
type eventHandler func(a *adapter, i *instance) error

// events are the handlers by the keyword of the line.
var events = map[string]eventHandler{
	"fleet":       (*adapter).updateEndpoints,
	"req":         (*adapter).admit,
	"completed":   (*adapter).attemptEnded,
	"client_gone": (*adapter).clientLeft,
	"first_byte":  (*adapter).responseBegun,
	"wake":        (*adapter).wake,
	"killed":      (*adapter).stop,
	"checked":     (*adapter).ignore,
	"from_peer":   (*adapter).ignore,
}

func (a *adapter) ignore(*instance) error { return nil }

// admit hands a new request to the instance.
func (a *adapter) admit(i *instance) error {
	id, err := a.requestID()
	if err != nil {
		return err
	}
	timeLeft, err := a.duration("patience_left_s")
	if err != nil {
		return err
	}
	className, err := a.text("band")
	if err != nil || i == nil {
		return err
	}
	class, known := i.classes[string(className)]
	if !known {
		return fmt.Errorf("band=%s is not among the offerings", className)
	}
	tenant := policy.NoTenant
	if name, found := a.lookup("party"); found {
		if known, ok := i.tenants[string(name)]; ok {
			tenant = known
		}
	}
	options := uint64(0)
	if _, found := a.lookup("opts"); found {
		if options, err = a.number("opts"); err != nil {
			return err
		}
	}
	key, _ := a.lookup("item")
	h := i.balancer.Admit(a.now, class, tenant, string(key), options&retriedOption != 0, timeLeft)
	i.setHandle(id, h)
	i.balancer.Begin(a.now, h)
	return nil
}

// outcomes are the outcomes of attempts by their codes.
var outcomes = map[string]policy.Outcome{
	"S": policy.Succeeded,
	"E": policy.Errored,
	"F": policy.Rejected,
	"T": policy.TimedOut,
	"C": policy.NotConnected,
	"R": policy.ConnectionLost,
	"X": policy.Cancelled,
	"N": policy.NotSent,
}

// attemptEnded tells the instance the end of an attempt.
func (a *adapter) attemptEnded(i *instance) error {
	id, err := a.requestID()
	if err != nil {
		return err
	}
	ended, err := a.boolean("ended")
	if err != nil {
		return err
	}
	code, err := a.text("code")
	if err != nil {
		return err
	}
	outcome, known := outcomes[string(code)]
	if !known {
		return fmt.Errorf("code=%s is not known", code)
	}
	endpoint, err := a.number("endpoint")
	if err != nil {
		return err
	}
	attempt, err := a.number("send_no")
	if err != nil {
		return err
	}
	latency, err := a.duration("spent_s")
	if err != nil || i == nil {
		return err
	}
	if h, ok := i.handles[id]; ok {
		i.balancer.AttemptEnded(a.now, h, policy.AttemptNo(attempt), policy.EndpointID(endpoint),
			outcome, latency, ended)
	}
	return nil
}

// clientLeft tells the instance that the client of a request has left.
func (a *adapter) clientLeft(i *instance) error {
	id, err := a.requestID()
	if err != nil || i == nil {
		return err
	}
	if h, ok := i.handles[id]; ok {
		i.balancer.ClientLeft(a.now, h)
	}
	return nil
}

// responseBegun tells the instance that the response to a request has begun to come.
func (a *adapter) responseBegun(i *instance) error {
	id, err := a.requestID()
	if err != nil || i == nil {
		return err
	}
	if h, ok := i.handles[id]; ok {
		i.balancer.SetDeadline(h, 0)
	}
	return nil
}

// wake tells the instance that the time that it asked for has come.
func (a *adapter) wake(i *instance) error {
	if _, err := a.text("cookie"); err != nil || i == nil {
		return err
	}
	i.balancer.Woken(a.now)
	return nil
}

// stop removes the instance.
func (a *adapter) stop(i *instance) error {
	if i != nil {
		delete(a.instances, string(i.name))
	}
	return nil
}
