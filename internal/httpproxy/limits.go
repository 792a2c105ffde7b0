package httpproxy

import "pepperlead/policy"

// Share has the process keep to its share of the limits while it is one of so many processes of the instance. Any
// goroutine may call it.
func (p *Proxy) Share(processes int) {
	p.processes.Store(int64(processes))
	p.Signal()
}

// applyShare applies a new share of the limits. Excess connections are closed as they become idle.
func (p *Proxy) applyShare(now policy.Time) {
	processes := int(p.processes.Load())
	if processes == p.sharedBy {
		return
	}
	p.sharedBy = processes
	p.conns.SetLimits(p.config.Descriptors-p.config.ReservedDescriptors, processes)
	p.buffers.SetLimit(p.config.MessageMemory / processes)
	p.sockets.maxClients.Store(int64(p.conns.AcceptLimit))
	p.sockets.signalRoom()
	p.makeRoom(now)
	p.Logger.WithField("processes", processes).Info("hot restart: limits shared by processes")
}
