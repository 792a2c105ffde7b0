package policy

// DiscardFront is a Front whose methods do nothing. It is for a Balancer that handles no requests, such as
// one that only assigns slots.
type DiscardFront struct{}

var _ Front = DiscardFront{}

// Attempt does nothing.
func (DiscardFront) Attempt(Handle, EndpointID, Time) {}

// Cancel does nothing.
func (DiscardFront) Cancel(Handle, AttemptNo) {}

// Succeed does nothing.
func (DiscardFront) Succeed(Handle, AttemptNo) {}

// Reject does nothing.
func (DiscardFront) Reject(Handle, Time) {}

// Fail does nothing.
func (DiscardFront) Fail(Handle) {}

// Wake does nothing.
func (DiscardFront) Wake(Time) {}

// FollowList does nothing.
func (DiscardFront) FollowList(bool) {}

// ReleaseConnections does nothing.
func (DiscardFront) ReleaseConnections(EndpointID) {}

// Forget does nothing.
func (DiscardFront) Forget(EndpointID) {}

// Log does nothing.
func (DiscardFront) Log(string) {}
