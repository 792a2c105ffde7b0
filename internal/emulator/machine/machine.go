// Package machine models one endpoint: shared cores or workers with a queue, I/O waits, warm-up, a cache of keys,
// congestion, pauses, overload, the cost of connections. It knows no clock and no sockets: its caller, in virtual
// time or in real time, passes the time and asks when the next event is due.
package machine

import (
	"math"

	"pepperlead/policy"
)

// Traits describe an endpoint. Times are those of one core at speed 1.
type Traits struct {
	Cores            float64
	Speed            float64     // of a core
	Workers          int         // requests in work at once, also during their I/O wait; 0: all share the cores
	QueueSize        int         // requests that may wait for a worker or, where cores are shared, be in work
	ColdSpeed        float64     // part of the speed just after a start, rising evenly
	WarmUpTime       policy.Time // until the speed is reached
	CacheSize        int         // keys cached, the latest ones; 0: none
	CacheDiscount    float64     // part of the work that a cached key saves
	CacheColdTime    policy.Time // after a start no cached key counts for so long
	CongestAt        int         // requests in the endpoint from which on it is congested; 0: never
	CongestedSpeed   float64     // part of the speed then, until half of them are left
	OverloadMultiple float64     // times its capacity that, for OverloadWindow, overload it while cold; 0: never
	OverloadWindow   policy.Time
	ConnectWork      policy.Time // work of a new connection
	FreeConnections  int         // connections that cost nothing; 0: all
	MaxConnections   int         // connections that may be open; 0: any number
	ConnectionCost   float64     // part of the speed lost when twice the free connections are open, and so on
}

// JobID names a job in the machine; ids are used again.
type JobID int32

// NoJob is no job.
const NoJob JobID = -1

type phase uint8

const (
	unused phase = iota
	waiting
	working
	inIO
)

type job struct {
	phase     phase
	owner     uint64
	key       uint64
	work      float64 // ns of a core at speed 1
	io        policy.Time
	order     uint64
	due       float64 // working: the work per job at which it is done; in I/O: the time
	heapIndex int
	behind    JobID // in the queue
	ahead     JobID
}

// FinishedJob is a job that is finished.
type FinishedJob struct {
	Job   JobID
	Owner uint64
}

// Machine is the state of one endpoint.
type Machine struct {
	Traits
	started     policy.Time // 0: long ago
	now         policy.Time
	jobs        []job
	free        []JobID
	order       uint64
	queueHead   JobID
	queueTail   JobID
	queued      int
	working     jobHeap // by the work per job at which they are done
	inIO        jobHeap // by time
	workPerJob  float64 // done so far for each job in work, in ns of a core at speed 1
	faultSpeed  float64 // part of the speed that a fault leaves
	podSpeed    float64 // part of the speed that the pod leaves
	pausedUntil policy.Time
	congested   bool
	connections int
	cache       keyCache
	recentWork  slidingSum
	overloaded  bool
	workDone    float64 // in ns of a core at speed 1
}

// New makes a machine that started at the time given; 0: long ago.
func New(t Traits, started policy.Time) *Machine {
	m := &Machine{Traits: t, faultSpeed: 1, podSpeed: 1}
	m.working.machine = m
	m.inIO.machine = m
	m.Restart(started)
	return m
}

// Restart empties the machine: all jobs and cached keys are lost.
func (m *Machine) Restart(started policy.Time) {
	m.started = started
	m.now = max(m.now, started)
	m.jobs = m.jobs[:0]
	m.free = m.free[:0]
	m.queueHead = NoJob
	m.queueTail = NoJob
	m.queued = 0
	m.working.ids = m.working.ids[:0]
	m.inIO.ids = m.inIO.ids[:0]
	m.congested = false
	m.overloaded = false
	m.connections = 0
	m.pausedUntil = 0
	m.cache.reset(m.CacheSize)
	m.recentWork.reset(m.OverloadWindow)
}

// Jobs returns how many jobs are in the machine.
func (m *Machine) Jobs() int { return m.queued + m.inWork() }

// inWork returns how many jobs have a worker.
func (m *Machine) inWork() int { return len(m.working.ids) + len(m.inIO.ids) }

// Queued returns how many jobs want a core, or a worker, beyond those that have one.
func (m *Machine) Queued() int { return m.queued + max(0, len(m.working.ids)-int(math.Ceil(m.Cores))) }

// Busy returns how many cores its jobs could use at once, at most its own.
func (m *Machine) Busy() float64 { return min(float64(len(m.working.ids)), m.Cores) }

// Overloaded reports whether it was sent too much while cold.
func (m *Machine) Overloaded() bool { return m.overloaded }

// WorkDone returns the work done so far, in ns of a core at speed 1.
func (m *Machine) WorkDone() float64 { return m.workDone }

// Cold reports whether it is still warming up.
func (m *Machine) Cold(now policy.Time) bool { return m.started > 0 && now < m.started+m.WarmUpTime }

// Warmth returns the part of its speed that it has reached.
func (m *Machine) Warmth(now policy.Time) float64 {
	if !m.Cold(now) {
		return 1
	}
	return m.ColdSpeed + (1-m.ColdSpeed)*float64(now-m.started)/float64(m.WarmUpTime)
}

// speed is that of a core now, with all that slows it down.
func (m *Machine) speed() float64 {
	if m.now < m.pausedUntil {
		return 0
	}
	s := m.Speed * m.Warmth(m.now) * m.faultSpeed * m.podSpeed
	if m.congested {
		s *= m.CongestedSpeed
	}
	if m.FreeConnections > 0 && m.connections > m.FreeConnections {
		s /= 1 + m.ConnectionCost*float64(m.connections-m.FreeConnections)/float64(m.FreeConnections)
	}
	return s
}

// rate is the work done for each job in work in a ns.
func (m *Machine) rate() float64 {
	n := float64(len(m.working.ids))
	if n == 0 {
		return 0
	}
	return m.speed() * min(1, m.Cores/n)
}

// warmUpStep is how long the speed is taken as constant while warming up.
const warmUpStep = 50 * policy.Millisecond

// advance brings the work up to the time. Between two calls nothing changes but the warmth.
func (m *Machine) advance(now policy.Time) {
	for m.now < now {
		to := now
		if m.now < m.pausedUntil {
			to = min(to, m.pausedUntil)
		}
		if m.Cold(m.now) {
			to = min(to, (m.now/warmUpStep+1)*warmUpStep)
		}
		done := m.rate() * float64(to-m.now)
		m.workPerJob += done
		m.workDone += done * float64(len(m.working.ids))
		m.now = to
	}
}

// Next returns when the next event is due, or false if none is.
func (m *Machine) Next() (at policy.Time, pending bool) {
	at = policy.Time(math.MaxInt64)
	if len(m.inIO.ids) > 0 {
		at = policy.Time(m.jobs[m.inIO.ids[0]].due)
	}
	if len(m.working.ids) > 0 {
		if m.now < m.pausedUntil {
			at = min(at, m.pausedUntil)
		} else if r := m.rate(); r > 0 {
			left := math.Ceil(max(0, m.jobs[m.working.ids[0]].due-m.workPerJob) / r)
			if left < 1e18 {
				at = min(at, m.now+policy.Time(left))
			}
		}
		if m.Cold(m.now) {
			at = min(at, (m.now/warmUpStep+1)*warmUpStep)
		}
	}
	return at, at < math.MaxInt64
}

// Run brings the machine to the time and appends the jobs that are finished.
func (m *Machine) Run(now policy.Time, done []FinishedJob) []FinishedJob {
	m.advance(now)
	for len(m.inIO.ids) > 0 && policy.Time(m.jobs[m.inIO.ids[0]].due) <= now {
		id := m.inIO.ids[0]
		m.inIO.remove(0)
		done = append(done, m.finishJob(id))
	}
	// Half a ns of work may be missing, as times are rounded up.
	for len(m.working.ids) > 0 && m.jobs[m.working.ids[0]].due <= m.workPerJob+0.5 {
		id := m.working.ids[0]
		m.working.remove(0)
		if j := &m.jobs[id]; j.io > 0 {
			j.phase = inIO
			j.due = float64(now + j.io)
			m.inIO.add(id)
			continue
		}
		done = append(done, m.finishJob(id))
	}
	m.admit()
	return done
}

func (m *Machine) finishJob(id JobID) FinishedJob {
	d := FinishedJob{id, m.jobs[id].owner}
	m.freeJob(id)
	return d
}

func (m *Machine) freeJob(id JobID) {
	m.jobs[id] = job{}
	m.free = append(m.free, id)
}

// admit starts queued jobs where workers are free, and updates whether the machine is congested.
func (m *Machine) admit() {
	for m.queueHead != NoJob && (m.Workers == 0 || m.inWork() < m.Workers) {
		id := m.queueHead
		m.removeFromQueue(id)
		m.begin(id)
	}
	if m.CongestAt > 0 {
		if n := m.Jobs(); n >= m.CongestAt {
			m.congested = true
		} else if n < (m.CongestAt+1)/2 {
			m.congested = false
		}
	}
}

func (m *Machine) begin(id JobID) {
	j := &m.jobs[id]
	cacheUsed := j.key != 0 && m.CacheSize > 0 && (m.started == 0 || m.now >= m.started+m.CacheColdTime)
	if cacheUsed && m.cache.touch(j.key) {
		j.work *= 1 - m.CacheDiscount
	}
	j.phase = working
	j.due = m.workPerJob + j.work
	m.working.add(id)
}

// SetFaultSpeed sets the part of its speed that a fault leaves.
func (m *Machine) SetFaultSpeed(now policy.Time, part float64) {
	m.advance(now)
	m.faultSpeed = part
}

// PodSpeed returns the part of its speed that its pod leaves.
func (m *Machine) PodSpeed() float64 { return m.podSpeed }

// SetPodSpeed sets the part of its speed that its pod leaves.
func (m *Machine) SetPodSpeed(now policy.Time, part float64) {
	m.advance(now)
	m.podSpeed = part
}

// PauseUntil stops all work until the time given.
func (m *Machine) PauseUntil(now, until policy.Time) {
	m.advance(now)
	m.pausedUntil = max(m.pausedUntil, until)
}

// AddConnections counts connections that were opened or, below 0, closed.
func (m *Machine) AddConnections(now policy.Time, more int) {
	m.advance(now)
	m.connections += more
}

// AcceptsConnection reports whether one more connection may be opened.
func (m *Machine) AcceptsConnection() bool {
	return m.MaxConnections == 0 || m.connections < m.MaxConnections
}

// Connections returns how many are open.
func (m *Machine) Connections() int { return m.connections }

// EstimateTime estimates how long a job of that work would stay if it arrived now and nothing came after it.
func (m *Machine) EstimateTime(now policy.Time, key uint64, work, io policy.Time) policy.Time {
	if m.CacheSize > 0 && key != 0 && m.cache.has(key) {
		work = policy.Time(float64(work) * (1 - m.CacheDiscount))
	}
	s := m.Speed * m.Warmth(now) * m.faultSpeed * m.podSpeed
	if m.congested {
		s *= m.CongestedSpeed
	}
	if s <= 0 {
		return math.MaxInt64 / 4
	}
	n := float64(len(m.working.ids) + 1)
	span := float64(work) / (s * min(1, m.Cores/n))
	if m.Workers > 0 {
		// Those ahead of it are taken to need as long as it does.
		if over := float64(m.Jobs()+1) - float64(m.Workers); over > 0 {
			span += over / float64(m.Workers) * (float64(work)/(s*min(1, m.Cores/float64(m.Workers))) + float64(io))
		}
	}
	stop := max(0, m.pausedUntil-now)
	return stop + policy.Time(span) + io
}
