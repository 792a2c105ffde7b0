package simprotocol

import (
	"strconv"

	"pepperlead/policy"
)

func (i *instance) action(word string) {
	i.out.WriteString(word)
	i.out.WriteString(" sidecar_id=")
	i.out.Write(i.name)
}

func (i *instance) about(word string, h policy.Handle) {
	i.action(word)
	i.out.WriteString(" tid=")
	i.out.Write(i.ids[h.Place()][:])
}

func (i *instance) whole(name string, n uint64) {
	i.out.WriteByte(' ')
	i.out.WriteString(name)
	i.out.WriteByte('=')
	i.out.Write(strconv.AppendUint(i.out.AvailableBuffer(), n, 10))
}

// span writes nanoseconds as seconds.
func (i *instance) span(name string, t policy.Time) {
	i.whole(name, uint64(t/policy.Second))
	i.out.WriteByte('.')
	rest := t % policy.Second
	for unit := policy.Second / 10; unit > 0; unit /= 10 {
		i.out.WriteByte(byte('0' + rest/unit%10))
	}
}

func (i *instance) Attempt(h policy.Handle, s policy.EndpointID, wait policy.Time) {
	i.about("route", h)
	i.whole("endpoint", uint64(s))
	if wait > 0 {
		i.span("max_wait_s", wait)
	}
	i.out.WriteByte('\n')
}

func (i *instance) Cancel(h policy.Handle, n policy.AttemptNo) {
	i.about("undo_send", h)
	i.whole("send_no", uint64(n))
	i.out.WriteByte('\n')
}

// Succeed has nothing to write: the bench passes a server's answer on by itself.
func (i *instance) Succeed(policy.Handle, policy.AttemptNo) {}

// Release gives the connections to a server back.
func (i *instance) Release(s policy.EndpointID) {
	i.action("release")
	i.whole("endpoint", uint64(s))
	i.out.WriteByte('\n')
}

// Forget has nothing to do: servers are named by their ids alone.
func (i *instance) Forget(policy.EndpointID) {}

func (i *instance) Reject(h policy.Handle, retryIn policy.Time) {
	i.about("busy", h)
	if retryIn > 0 {
		i.span("backoff_s", retryIn)
	}
	i.out.WriteByte('\n')
}

func (i *instance) Fail(h policy.Handle) {
	i.about("drop_request", h)
	i.out.WriteByte('\n')
}

func (i *instance) Wake(in policy.Time) {
	i.action("wake_at")
	i.span("delay_s", in)
	i.out.WriteString(" cookie=w\n")
}

func (i *instance) FollowList(on bool) {
	i.action("subscribe")
	n := uint64(0)
	if on {
		n = 1
	}
	i.whole("want", n)
	i.out.WriteByte('\n')
}

func (i *instance) Log(line string) {
	i.action("emit")
	i.out.WriteString(" what=")
	i.out.WriteString(line)
	i.out.WriteByte('\n')
}
