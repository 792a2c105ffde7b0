package simprotocol

import (
	"fmt"

	"pepperlead/policy"
)

// retryOption is the bit of a request's options that marks a retry by the client.
const retryOption = 2

// eventHandler handles an event for instance i. If the instance is unknown or has stopped, i is nil: the event then has
// no effect, but its required fields must still be valid.
type eventHandler func(a *adapter, i *instance) error

// events maps the keyword of a line to the handler of the event.
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

// ignore handles an event that the module does not need.
func (a *adapter) ignore(*instance) error { return nil }

// admit passes a new request to the instance.
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
		if tenantID, ok := i.tenants[string(name)]; ok {
			tenant = tenantID
		}
	}
	options := uint64(0)
	if _, found := a.lookup("opts"); found {
		if options, err = a.number("opts"); err != nil {
			return err
		}
	}
	key, _ := a.lookup("item")
	handle := i.balancer.Admit(a.now, class, tenant, string(key), options&retryOption != 0, timeLeft)
	i.setHandle(id, handle)
	i.balancer.Begin(a.now, handle)
	return nil
}

// outcomes maps the protocol's codes to the outcomes of attempts.
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

// attemptEnded reports the end of an attempt to the instance.
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
		return fmt.Errorf("code=%s is not a known outcome", code)
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

// clientLeft reports to the instance that the client of a request has left.
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

// responseBegun removes the deadline of a request whose response has begun.
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

// wake reports to the instance that the delay it requested by Wake has passed.
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
