// Package machine models one endpoint: shared cores or workers with a queue, I/O waits, warm-up, a cache of keys,
// congestion, pauses, overload and the cost of connections. It has no clock and no sockets: the caller, in virtual or
// real time, passes the current time and asks when the next event is due.
package machine

import (
	"math"

	"pepperlead/policy"
)

// Traits describes an endpoint. Amounts of work are times of one core at speed 1.
type Traits struct {
	Cores            float64
	Speed            float64     // speed of each core
	Workers          int         // jobs processed at once, including those that wait for I/O; 0: all share the cores
	QueueSize        int         // jobs that may wait for a worker; without workers, jobs that may be in the machine
	ColdSpeed        float64     // part of the speed just after a start; rises linearly to 1
	WarmUpTime       policy.Time // time from a start until the full speed is reached
	CacheSize        int         // most recently used keys that are cached; 0: none
	CacheDiscount    float64     // part of the work that a cached key saves
	CacheColdTime    policy.Time // time after a start during which the cache is not used
	CongestAt        int         // number of jobs at which the machine becomes congested; 0: never
	CongestedSpeed   float64     // part of the speed while congested, until fewer than half of those jobs are left
	OverloadMultiple float64     // while cold, more work than this multiple of the capacity overloads it; 0: never
	OverloadWindow   policy.Time // span over which that work is added up
	ConnectWork      policy.Time // work of a new connection
	FreeConnections  int         // open connections that do not cost speed; 0: all
	MaxConnections   int         // connections that may be open; 0: no limit
	ConnectionCost   float64     // slowdown with twice FreeConnections open: the speed is divided by 1 plus this
}

// JobID identifies a job in the machine. IDs of jobs that have ended are used again.
type JobID int32

// NoJob is a JobID that no job has.
const NoJob JobID = -1

// phase is the state of an entry of Machine.jobs.
type phase uint8

const (
	unused  phase = iota // the entry is free
	waiting              // in the queue
	working              // uses the cores
	inIO                 // waits for I/O
)

type job struct {
	phase     phase
	owner     uint64  // the caller's identification of the job
	key       uint64  // 0: none
	work      float64 // ns of a core at speed 1
	io        policy.Time
	order     uint64  // number of its arrival
	due       float64 // working: value of workPerJob at which its work is done; in I/O: time at which it ends
	heapIndex int
	behind    JobID // next job in the queue
	ahead     JobID // previous job in the queue
}

// FinishedJob identifies a job that has finished. Owner is the value that was passed to Submit.
type FinishedJob struct {
	Job   JobID
	Owner uint64
}

// Machine is the state of one endpoint.
type Machine struct {
	Traits
	started     policy.Time // time of the last start; 0: long ago, so the machine is warm
	now         policy.Time
	jobs        []job
	free        []JobID
	order       uint64 // number of jobs that have arrived
	queueHead   JobID
	queueTail   JobID
	queued      int
	working     jobHeap // by the value of workPerJob at which they are done
	inIO        jobHeap // by the time at which they end
	workPerJob  float64 // sum of the work done for each working job, in ns of a core at speed 1
	faultSpeed  float64 // part of the speed that is left by faults
	podSpeed    float64 // part of the speed that is left by the limit of the pod
	pausedUntil policy.Time
	congested   bool
	connections int
	cache       keyCache
	recentWork  slidingSum // work that arrived while cold
	overloaded  bool
	workDone    float64 // for all jobs, in ns of a core at speed 1
}

// New returns a machine that started at the given time. 0 means long ago: the machine is warm.
func New(t Traits, started policy.Time) *Machine {
	m := &Machine{Traits: t, faultSpeed: 1, podSpeed: 1}
	m.working.machine = m
	m.inIO.machine = m
	m.Restart(started)
	return m
}

// Restart starts the machine anew: all jobs, connections and cached keys are lost.
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

// inWork returns how many jobs are working or wait for I/O.
func (m *Machine) inWork() int { return len(m.working.ids) + len(m.inIO.ids) }

// Queued returns how many jobs wait for a worker, plus the working jobs beyond the number of cores.
func (m *Machine) Queued() int { return m.queued + max(0, len(m.working.ids)-int(math.Ceil(m.Cores))) }

// Busy returns how many cores the working jobs use.
func (m *Machine) Busy() float64 { return min(float64(len(m.working.ids)), m.Cores) }

// Overloaded reports whether the machine received too much work while it was cold.
func (m *Machine) Overloaded() bool { return m.overloaded }

// WorkDone returns the work done so far for all jobs, in ns of a core at speed 1.
func (m *Machine) WorkDone() float64 { return m.workDone }

// Cold reports whether the machine is still warming up.
func (m *Machine) Cold(now policy.Time) bool { return m.started > 0 && now < m.started+m.WarmUpTime }

// Warmth returns the part of the full speed that the machine has reached while warming up, 1 when it is warm.
func (m *Machine) Warmth(now policy.Time) float64 {
	if !m.Cold(now) {
		return 1
	}
	return m.ColdSpeed + (1-m.ColdSpeed)*float64(now-m.started)/float64(m.WarmUpTime)
}

// speed returns the current speed of a core, 0 during a pause.
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

// rate returns the work that is done for each working job per ns.
func (m *Machine) rate() float64 {
	n := float64(len(m.working.ids))
	if n == 0 {
		return 0
	}
	return m.speed() * min(1, m.Cores/n)
}

// warmUpStep is the interval at which the speed is recomputed during the warm-up.
const warmUpStep = 50 * policy.Millisecond

// advance accounts for the work done until now. Between two calls, only the warm-up and the end of a pause change the
// speed.
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
			wait := math.Ceil(max(0, m.jobs[m.working.ids[0]].due-m.workPerJob) / r)
			if wait < 1e18 {
				at = min(at, m.now+policy.Time(wait))
			}
		}
		if m.Cold(m.now) {
			at = min(at, (m.now/warmUpStep+1)*warmUpStep)
		}
	}
	return at, at < math.MaxInt64
}

// Run advances the machine to now and appends the jobs that have finished to done.
func (m *Machine) Run(now policy.Time, done []FinishedJob) []FinishedJob {
	m.advance(now)
	for len(m.inIO.ids) > 0 && policy.Time(m.jobs[m.inIO.ids[0]].due) <= now {
		id := m.inIO.ids[0]
		m.inIO.remove(0)
		done = append(done, m.finishJob(id))
	}
	// Times are rounded to whole ns, so a job counts as done when at most half a ns of its work is missing.
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
	finished := FinishedJob{id, m.jobs[id].owner}
	m.freeJob(id)
	return finished
}

func (m *Machine) freeJob(id JobID) {
	m.jobs[id] = job{}
	m.free = append(m.free, id)
}

// admit starts queued jobs while workers are free, and updates whether the machine is congested.
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

// begin starts the work of a job, which is less if its key is cached.
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

// SetFaultSpeed sets the part of the speed that is left by faults.
func (m *Machine) SetFaultSpeed(now policy.Time, part float64) {
	m.advance(now)
	m.faultSpeed = part
}

// PodSpeed returns the part of the speed that is left by the limit of the pod.
func (m *Machine) PodSpeed() float64 { return m.podSpeed }

// SetPodSpeed sets the part of the speed that is left by the limit of the pod.
func (m *Machine) SetPodSpeed(now policy.Time, part float64) {
	m.advance(now)
	m.podSpeed = part
}

// PauseUntil pauses all work until the given time. Waits for I/O go on.
func (m *Machine) PauseUntil(now, until policy.Time) {
	m.advance(now)
	m.pausedUntil = max(m.pausedUntil, until)
}

// AddConnections adds to the number of open connections; change is negative for closed ones.
func (m *Machine) AddConnections(now policy.Time, change int) {
	m.advance(now)
	m.connections += change
}

// AcceptsConnection reports whether one more connection may be opened.
func (m *Machine) AcceptsConnection() bool {
	return m.MaxConnections == 0 || m.connections < m.MaxConnections
}

// Connections returns the number of open connections.
func (m *Machine) Connections() int { return m.connections }

// EstimateTime estimates how long a job would stay in the machine if it arrived now and no other job followed.
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
		// Each job ahead of this one in the queue is assumed to take as long as this one.
		if ahead := float64(m.Jobs()+1) - float64(m.Workers); ahead > 0 {
			span += ahead / float64(m.Workers) * (float64(work)/(s*min(1, m.Cores/float64(m.Workers))) + float64(io))
		}
	}
	pause := max(0, m.pausedUntil-now)
	return pause + policy.Time(span) + io
}
