package httpproxy

import "pepperlead/policy"

// ShareLimits sets how many processes of the instance share its limits, this one included. Each process keeps to an
// equal share. Any goroutine may call it.
func (p *Proxy) ShareLimits(processes int) {
	p.processes.Store(int64(processes))
	p.Signal()
}

// applyShare computes the limits of this process anew if the number of processes that share them has changed. Excess
// connections are closed as they become idle.
func (p *Proxy) applyShare(now policy.Time) {
	processes := int(p.processes.Load())
	if processes == p.limitsSharedBy {
		return
	}
	p.limitsSharedBy = processes
	p.conns.SetLimits(p.config.Descriptors-p.config.ReservedDescriptors, processes)
	p.buffers.SetLimit(p.config.MessageMemory / processes)
	p.sockets.listener.maxClients.Store(int64(p.conns.AcceptLimit))
	p.sockets.listener.signal()
	p.enforceClientLimit(now)
	p.Logger.WithField("processes", processes).Info("hot restart: limits shared by processes")
}
