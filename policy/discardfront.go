package policy

// DiscardFront is a Front for a Balancer that carries no requests, as one that only assigns slots.
type DiscardFront struct{}

var _ Front = DiscardFront{}

// Attempt makes no attempt.
func (DiscardFront) Attempt(Handle, EndpointID, Time) {}

// Cancel cancels nothing.
func (DiscardFront) Cancel(Handle, AttemptNo) {}

// Succeed answers nobody.
func (DiscardFront) Succeed(Handle, AttemptNo) {}

// Reject answers nobody.
func (DiscardFront) Reject(Handle, Time) {}

// Fail answers nobody.
func (DiscardFront) Fail(Handle) {}

// Wake plans no call.
func (DiscardFront) Wake(Time) {}

// FollowList follows no list.
func (DiscardFront) FollowList(bool) {}

// Release closes nothing.
func (DiscardFront) Release(EndpointID) {}

// Forget forgets nothing.
func (DiscardFront) Forget(EndpointID) {}

// Log drops the line.
func (DiscardFront) Log(string) {}
