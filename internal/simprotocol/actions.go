package simprotocol

import (
	"strconv"

	"pepperlead/policy"
)

// The methods of policy.Front write what the module asks for as lines of the reply.

// beginLine begins a line about the instance.
func (i *instance) beginLine(keyword string) {
	i.reply.WriteString(keyword)
	i.reply.WriteString(" sidecar_id=")
	i.reply.Write(i.name)
}

// beginRequestLine begins a line about a request.
func (i *instance) beginRequestLine(keyword string, h policy.Handle) {
	i.beginLine(keyword)
	i.reply.WriteString(" tid=")
	i.reply.Write(i.ids[h.Index()][:])
}

func (i *instance) endLine() { i.reply.WriteByte('\n') }

func (i *instance) writeNumber(name string, n uint64) {
	i.reply.WriteByte(' ')
	i.reply.WriteString(name)
	i.reply.WriteByte('=')
	i.reply.Write(strconv.AppendUint(i.reply.AvailableBuffer(), n, 10))
}

// writeDuration writes a duration in seconds, with nine decimals.
func (i *instance) writeDuration(name string, t policy.Time) {
	i.writeNumber(name, uint64(t/policy.Second))
	i.reply.WriteByte('.')
	fraction := t % policy.Second
	for unit := policy.Second / 10; unit > 0; unit /= 10 {
		i.reply.WriteByte(byte('0' + fraction/unit%10))
	}
}

// Attempt sends a request to an endpoint.
func (i *instance) Attempt(h policy.Handle, endpoint policy.EndpointID, timeout policy.Time) {
	i.beginRequestLine("route", h)
	i.writeNumber("endpoint", uint64(endpoint))
	if timeout > 0 {
		i.writeDuration("max_wait_s", timeout)
	}
	i.endLine()
}

// Cancel cancels an attempt.
func (i *instance) Cancel(h policy.Handle, attempt policy.AttemptNo) {
	i.beginRequestLine("undo_send", h)
	i.writeNumber("send_no", uint64(attempt))
	i.endLine()
}

// Succeed writes nothing: the simulator forwards an endpoint's response by itself.
func (i *instance) Succeed(policy.Handle, policy.AttemptNo) {}

// ReleaseConnections closes idle connections to an endpoint.
func (i *instance) ReleaseConnections(endpoint policy.EndpointID) {
	i.beginLine("release")
	i.writeNumber("endpoint", uint64(endpoint))
	i.endLine()
}

// Forget does nothing: endpoints have no state here.
func (i *instance) Forget(policy.EndpointID) {}

// Reject rejects a request, with the time after which it may be tried again.
func (i *instance) Reject(h policy.Handle, retryAfter policy.Time) {
	i.beginRequestLine("busy", h)
	if retryAfter > 0 {
		i.writeDuration("backoff_s", retryAfter)
	}
	i.endLine()
}

// Fail fails a request.
func (i *instance) Fail(h policy.Handle) {
	i.beginRequestLine("drop_request", h)
	i.endLine()
}

// Wake asks for a wake event after a delay.
func (i *instance) Wake(delay policy.Time) {
	i.beginLine("wake_at")
	i.writeDuration("delay_s", delay)
	i.reply.WriteString(" cookie=w")
	i.endLine()
}

// FollowList subscribes to the list of endpoints, or ends the subscription.
func (i *instance) FollowList(on bool) {
	want := uint64(0)
	if on {
		want = 1
	}
	i.beginLine("subscribe")
	i.writeNumber("want", want)
	i.endLine()
}

// Log writes a line to the simulator's log.
func (i *instance) Log(line string) {
	i.beginLine("emit")
	i.reply.WriteString(" what=")
	i.reply.WriteString(line)
	i.endLine()
}
