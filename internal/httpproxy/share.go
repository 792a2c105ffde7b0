package httpproxy

import "pepperlead/policy"

// Share has the process keep to its part of the limits while it is one of so many that are one instance. Any goroutine may call it.
func (s *Proxy) Share(processes int) {
	s.processes.Store(int64(processes))
	s.Signal()
}

// keepToShare goes over to the part that holds now. Connections beyond it go as any that are too many.
func (s *Proxy) keepToShare(now policy.Time) {
	n := int(s.processes.Load())
	if n == s.shared {
		return
	}
	s.shared = n
	s.conns.SetLimits(s.post.Descriptors-s.post.ReservedDescriptors, n)
	s.buffers.SetLimit(s.post.MessageMemory / n)
	s.sockets.most.Store(int64(s.conns.AcceptLimit))
	s.sockets.roomAgain()
	s.makeRoom(now)
	s.Logger.WithField("processes", n).Info("handover: the limits are shared by so many processes")
}
