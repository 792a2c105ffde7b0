package httpproxy

import "pepperlead/policy"

// Share has the process keep to its part of the limits while it is one of so many that are one instance. Any goroutine may call it.
func (s *Proxy) Share(processes int) {
	s.processes.Store(int64(processes))
	s.Signal()
}

// applyShare goes over to the part that holds now. Connections beyond it go as any that are too many.
func (s *Proxy) applyShare(now policy.Time) {
	n := int(s.processes.Load())
	if n == s.sharedBy {
		return
	}
	s.sharedBy = n
	s.conns.SetLimits(s.config.Descriptors-s.config.ReservedDescriptors, n)
	s.buffers.SetLimit(s.config.MessageMemory / n)
	s.sockets.maxClients.Store(int64(s.conns.AcceptLimit))
	s.sockets.signalRoom()
	s.makeRoom(now)
	s.Logger.WithField("processes", n).Info("handover: the limits are shared by so many processes")
}
