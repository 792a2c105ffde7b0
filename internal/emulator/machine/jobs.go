package machine

import "pepperlead/policy"

// Submit adds a job, or rejects it if the queue is full. owner identifies the job when it has finished. work is the
// work of the job if its key is not cached; newConnection adds ConnectWork to it. Run must have been called with the
// same now before.
func (m *Machine) Submit(now policy.Time, owner, key uint64, work, io policy.Time,
	newConnection bool) (id JobID, accepted bool) {
	m.advance(now)
	m.countColdWork(now, work)
	if m.full() {
		return NoJob, false
	}
	if newConnection {
		work += m.ConnectWork
	}
	m.order++
	id = m.newJob()
	m.jobs[id] = job{
		phase:  waiting,
		owner:  owner,
		key:    key,
		work:   float64(work),
		io:     io,
		order:  m.order,
		behind: NoJob,
		ahead:  m.queueTail,
	}
	if m.queueTail != NoJob {
		m.jobs[m.queueTail].behind = id
	} else {
		m.queueHead = id
	}
	m.queueTail = id
	m.queued++
	m.admit()
	return id, true
}

// full reports whether the machine rejects a job that arrives now.
func (m *Machine) full() bool {
	if m.Workers > 0 {
		return m.queued >= m.QueueSize && m.inWork() >= m.Workers
	}
	return m.Jobs() >= m.QueueSize
}

// newJob returns the ID of an unused entry of jobs.
func (m *Machine) newJob() JobID {
	if n := len(m.free); n > 0 {
		id := m.free[n-1]
		m.free = m.free[:n-1]
		return id
	}
	m.jobs = append(m.jobs, job{})
	return JobID(len(m.jobs) - 1)
}

// CanTake reports whether a cold machine can receive the given work, in addition to what arrived recently, without an
// overload. It keeps a tenth of the allowed work in reserve.
func (m *Machine) CanTake(now, work policy.Time) bool {
	const usablePart = 0.9
	return m.recentWork.add(now, 0)+float64(work) <
		usablePart*m.OverloadMultiple*m.Cores*m.Speed*m.Warmth(now)*float64(m.OverloadWindow)
}

// countColdWork counts work that arrives while the machine is cold, including work that is then rejected, and detects
// an overload.
func (m *Machine) countColdWork(now policy.Time, work policy.Time) {
	if m.OverloadMultiple == 0 || !m.Cold(now) {
		return
	}
	allowed := m.OverloadMultiple * m.Cores * m.Speed * m.Warmth(now) * float64(m.OverloadWindow)
	if m.recentWork.add(now, float64(work)) > allowed {
		m.overloaded = true
	}
}

// Cancel removes a job and reports whether it did. With onlyQueued, it removes only a job that has not begun.
func (m *Machine) Cancel(now policy.Time, id JobID, onlyQueued bool) bool {
	m.advance(now)
	j := &m.jobs[id]
	switch {
	case j.phase == waiting:
		m.removeFromQueue(id)
	case onlyQueued || j.phase == unused:
		return false
	case j.phase == working:
		m.working.remove(j.heapIndex)
	default:
		m.inIO.remove(j.heapIndex)
	}
	m.freeJob(id)
	m.admit()
	return true
}

func (m *Machine) removeFromQueue(id JobID) {
	j := &m.jobs[id]
	if j.ahead != NoJob {
		m.jobs[j.ahead].behind = j.behind
	} else {
		m.queueHead = j.behind
	}
	if j.behind != NoJob {
		m.jobs[j.behind].ahead = j.ahead
	} else {
		m.queueTail = j.ahead
	}
	m.queued--
}
