// Package machine is the model of one server: cores that are shared or slots with a queue, I/O waits, warm-up, memory of keys,
// choking, pauses, falling over, the cost of connections. It knows no clock and no sockets: whoever drives it, in virtual time
// or in real time, tells it the moment and asks when something happens next.
package machine

import (
	"math"

	"pepperlead/policy"
)

// Traits are what a server is like. Times are those of one core at speed 1.
type Traits struct {
	Cores    float64
	Speed    float64     // of a core
	Slots    int         // requests in work at once, each holding its slot through its I/O wait; 0: all share the cores
	Queue    int         // requests that may wait for a slot, or, where cores are shared, be in work; more are turned away
	ColdPart float64     // part of the speed just after a start, rising evenly
	WarmIn   policy.Time // until it is whole
	Keys     int         // keys remembered, the latest ones; 0: none
	Discount float64     // part of the work that a remembered key saves
	Forgets  policy.Time // after a start no key is remembered for so long
	ChokeAt  int         // requests in the server from which on it chokes; 0: never
	Choked   float64     // part of the speed then, until half of them are left
	Fall     float64     // times what it can do that, for FallIn, make it fall over while cold; 0: never
	FallIn   policy.Time
	Connect  policy.Time // work of a new connection
	Conns    int         // connections that cost nothing; 0: all
	MaxConns int         // connections that may be open; 0: any number
	Tax      float64     // part of the speed lost when twice as many are open, and so on
}

// JobID names a job in the machine; ids are used again.
type JobID int32

// None is no job.
const None JobID = -1

type phase uint8

const (
	unused phase = iota
	waiting
	working
	doing // I/O
)

type job struct {
	phase phase
	of    uint64 // whose it is
	key   uint64
	work  float64 // ns of a core at speed 1
	io    policy.Time
	order uint64
	at    float64 // working: the share at which it is done; doing: the moment
	place int     // in its heap
	next  JobID   // waiting: behind it
	prev  JobID
}

// Done is a job that is finished.
type Done struct {
	Job JobID
	Of  uint64
}

// Machine is a server's inside.
type Machine struct {
	Traits
	started  policy.Time // 0: long ago
	now      policy.Time
	jobs     []job
	free     []JobID
	order    uint64
	head     JobID // of those that wait
	tail     JobID
	waits    int
	working  heap // by the share at which they are done
	doing    heap // by time
	share    float64
	slow     float64 // factors on the speed, 1 in health
	pod      float64
	stopTill policy.Time // pause
	choking  bool
	conns    int
	memory   memory
	arrived  window
	fell     bool
	spent    float64 // work done, ns of a core at speed 1
}

// New makes a machine that started at the moment; 0: long ago.
func New(t Traits, started policy.Time) *Machine {
	m := &Machine{Traits: t, slow: 1, pod: 1, head: None, tail: None}
	m.working.m, m.doing.m = m, m
	m.Restart(started)
	return m
}

// Restart empties it: all jobs are lost, and so is what it remembered.
func (m *Machine) Restart(started policy.Time) {
	m.started, m.now = started, max(m.now, started)
	m.jobs, m.free = m.jobs[:0], m.free[:0]
	m.head, m.tail, m.waits = None, None, 0
	m.working.ids, m.doing.ids = m.working.ids[:0], m.doing.ids[:0]
	m.choking, m.fell, m.conns, m.stopTill = false, false, 0, 0
	m.memory.reset(m.Keys)
	m.arrived.reset(m.FallIn)
}

// In is how many jobs are in it.
func (m *Machine) In() int { return m.waits + len(m.working.ids) + len(m.doing.ids) }

// Queued is how many jobs want a core, or a slot, beyond those that have one.
func (m *Machine) Queued() int { return m.waits + max(0, len(m.working.ids)-int(math.Ceil(m.Cores))) }

// Busy is the work that it could do at once, in cores: those of its jobs that want a core, at most its own.
func (m *Machine) Busy() float64 { return min(float64(len(m.working.ids)), m.Cores) }

// Fell tells whether it has fallen over.
func (m *Machine) Fell() bool { return m.fell }

// Spent is the work done so far, in ns of a core at speed 1.
func (m *Machine) Spent() float64 { return m.spent }

// Cold tells whether it is still warming up.
func (m *Machine) Cold(now policy.Time) bool { return m.started > 0 && now < m.started+m.WarmIn }

// Warmth is the part of its speed that it has.
func (m *Machine) Warmth(now policy.Time) float64 {
	if !m.Cold(now) {
		return 1
	}
	return m.ColdPart + (1-m.ColdPart)*float64(now-m.started)/float64(m.WarmIn)
}

// speed is that of a core now, with all that holds it up.
func (m *Machine) speed() float64 {
	if m.now < m.stopTill {
		return 0
	}
	s := m.Speed * m.Warmth(m.now) * m.slow * m.pod
	if m.choking {
		s *= m.Choked
	}
	if m.Conns > 0 && m.conns > m.Conns {
		s /= 1 + m.Tax*float64(m.conns-m.Conns)/float64(m.Conns)
	}
	return s
}

// rate is the work that each job in work gets done in a ns.
func (m *Machine) rate() float64 {
	n := float64(len(m.working.ids))
	if n == 0 {
		return 0
	}
	return m.speed() * min(1, m.Cores/n)
}

// warmStep is how long the speed of one that warms up is taken to hold still.
const warmStep = 50 * policy.Millisecond

// advance brings the work up to the moment. Between two calls of it nothing changes but the warmth.
func (m *Machine) advance(now policy.Time) {
	for m.now < now {
		to := now
		if m.now < m.stopTill {
			to = min(to, m.stopTill)
		}
		if m.Cold(m.now) {
			to = min(to, (m.now/warmStep+1)*warmStep)
		}
		part := m.rate() * float64(to-m.now)
		m.share += part
		m.spent += part * float64(len(m.working.ids))
		m.now = to
	}
}

// Next is when something happens if nothing else does; false: nothing will.
func (m *Machine) Next() (policy.Time, bool) {
	at := policy.Time(math.MaxInt64)
	if len(m.doing.ids) > 0 {
		at = policy.Time(m.jobs[m.doing.ids[0]].at)
	}
	if len(m.working.ids) > 0 {
		if m.now < m.stopTill {
			at = min(at, m.stopTill)
		} else if r := m.rate(); r > 0 {
			left := math.Ceil(max(0, m.jobs[m.working.ids[0]].at-m.share) / r)
			if left < 1e18 {
				at = min(at, m.now+policy.Time(left))
			}
		}
		if m.Cold(m.now) {
			at = min(at, (m.now/warmStep+1)*warmStep)
		}
	}
	return at, at < math.MaxInt64
}

// Run brings it to the moment and adds what is finished to those given.
func (m *Machine) Run(now policy.Time, done []Done) []Done {
	m.advance(now)
	for len(m.doing.ids) > 0 && policy.Time(m.jobs[m.doing.ids[0]].at) <= now {
		id := m.doing.ids[0]
		m.doing.remove(0)
		done = append(done, m.finish(id))
	}
	// Half a ns of work is the fault of rounding a moment up.
	for len(m.working.ids) > 0 && m.jobs[m.working.ids[0]].at <= m.share+0.5 {
		id := m.working.ids[0]
		m.working.remove(0)
		if j := &m.jobs[id]; j.io > 0 {
			j.phase, j.at = doing, float64(now+j.io)
			m.doing.add(id)
			continue
		}
		done = append(done, m.finish(id))
	}
	m.admit()
	return done
}

func (m *Machine) finish(id JobID) Done {
	d := Done{id, m.jobs[id].of}
	m.give(id)
	return d
}

func (m *Machine) give(id JobID) {
	m.jobs[id] = job{}
	m.free = append(m.free, id)
}

// admit lets those that wait begin where there are slots, and sees whether it still chokes.
func (m *Machine) admit() {
	for m.head != None && (m.Slots == 0 || len(m.working.ids)+len(m.doing.ids) < m.Slots) {
		id := m.head
		m.unlink(id)
		m.begin(id)
	}
	if m.ChokeAt > 0 {
		if n := m.In(); n >= m.ChokeAt {
			m.choking = true
		} else if n < (m.ChokeAt+1)/2 {
			m.choking = false
		}
	}
}

func (m *Machine) begin(id JobID) {
	j := &m.jobs[id]
	if j.key != 0 && m.Keys > 0 && (m.started == 0 || m.now >= m.started+m.Forgets) && m.memory.touch(j.key) {
		j.work *= 1 - m.Discount
	}
	j.phase, j.at = working, m.share+j.work
	m.working.add(id)
}

// Arrive hands it a job; false: it is turned away, its queue being full. work is what it takes where nothing is remembered, and
// fresh says that its connection is new. Run must have been called for this moment.
func (m *Machine) Arrive(now policy.Time, of, key uint64, work, io policy.Time, fresh bool) (JobID, bool) {
	m.advance(now)
	m.press(now, work)
	if m.Slots > 0 && m.waits >= m.Queue && len(m.working.ids)+len(m.doing.ids) >= m.Slots ||
		m.Slots == 0 && m.In() >= m.Queue {
		return None, false
	}
	var id JobID
	if n := len(m.free); n > 0 {
		id = m.free[n-1]
		m.free = m.free[:n-1]
	} else {
		id = JobID(len(m.jobs))
		m.jobs = append(m.jobs, job{})
	}
	if fresh {
		work += m.Connect
	}
	m.order++
	m.jobs[id] = job{phase: waiting, of: of, key: key, work: float64(work), io: io, order: m.order, next: None, prev: m.tail}
	if m.tail != None {
		m.jobs[m.tail].next = id
	} else {
		m.head = id
	}
	m.tail = id
	m.waits++
	m.admit()
	return id, true
}

// Bears tells whether it can be sent that much more while it is cold without falling over.
func (m *Machine) Bears(now, work policy.Time) bool {
	return m.arrived.add(now, 0)+float64(work) < 0.9*m.Fall*m.Cores*m.Speed*m.Warmth(now)*float64(m.FallIn)
}

// press counts work that reaches it while it is cold, also what it turns away.
func (m *Machine) press(now policy.Time, work policy.Time) {
	if m.Fall == 0 || !m.Cold(now) {
		return
	}
	if m.arrived.add(now, float64(work)) > m.Fall*m.Cores*m.Speed*m.Warmth(now)*float64(m.FallIn) {
		m.fell = true
	}
}

// Cancel takes a job out; waits says that only one that has not begun is.
func (m *Machine) Cancel(now policy.Time, id JobID, waits bool) bool {
	m.advance(now)
	j := &m.jobs[id]
	switch {
	case j.phase == waiting:
		m.unlink(id)
	case waits || j.phase == unused:
		return false
	case j.phase == working:
		m.working.remove(j.place)
	default:
		m.doing.remove(j.place)
	}
	m.give(id)
	m.admit()
	return true
}

func (m *Machine) unlink(id JobID) {
	j := &m.jobs[id]
	if j.prev != None {
		m.jobs[j.prev].next = j.next
	} else {
		m.head = j.next
	}
	if j.next != None {
		m.jobs[j.next].prev = j.prev
	} else {
		m.tail = j.prev
	}
	m.waits--
}

// Slow sets the part of its speed that a fault leaves.
func (m *Machine) Slow(now policy.Time, part float64) { m.advance(now); m.slow = part }

// PodPart is the part of its speed that its pod leaves.
func (m *Machine) PodPart() float64 { return m.pod }

// Throttle sets the part of its speed that its pod leaves.
func (m *Machine) Throttle(now policy.Time, part float64) { m.advance(now); m.pod = part }

// Pause stops it until the moment.
func (m *Machine) Pause(now, till policy.Time) { m.advance(now); m.stopTill = max(m.stopTill, till) }

// Connected notes connections that were opened, or closed.
func (m *Machine) Connected(now policy.Time, more int) { m.advance(now); m.conns += more }

// TakesConnection tells whether one more connection may be opened.
func (m *Machine) TakesConnection() bool { return m.MaxConns == 0 || m.conns < m.MaxConns }

// Connections is how many are open.
func (m *Machine) Connections() int { return m.conns }

// Left is about how long a job of that work would be in it, were it handed in now and nothing came after it.
func (m *Machine) Left(now policy.Time, key uint64, work, io policy.Time) policy.Time {
	if m.Keys > 0 && key != 0 && m.memory.has(key) {
		work = policy.Time(float64(work) * (1 - m.Discount))
	}
	s := m.Speed * m.Warmth(now) * m.slow * m.pod
	if m.choking {
		s *= m.Choked
	}
	if s <= 0 {
		return math.MaxInt64 / 4
	}
	n := float64(len(m.working.ids) + 1)
	span := float64(work) / (s * min(1, m.Cores/n))
	if m.Slots > 0 {
		// Those before it, each taking about as long as it.
		if over := float64(m.In()+1) - float64(m.Slots); over > 0 {
			span += over / float64(m.Slots) * (float64(work)/(s*min(1, m.Cores/float64(m.Slots))) + float64(io))
		}
	}
	stop := max(0, m.stopTill-now)
	return stop + policy.Time(span) + io
}

// heap holds jobs, the one whose moment is least first, ties by the order in which they came.
type heap struct {
	m   *Machine
	ids []JobID
}

func (h *heap) less(a, b int) bool {
	x, y := &h.m.jobs[h.ids[a]], &h.m.jobs[h.ids[b]]
	return x.at < y.at || x.at == y.at && x.order < y.order
}

func (h *heap) swap(a, b int) {
	h.ids[a], h.ids[b] = h.ids[b], h.ids[a]
	h.m.jobs[h.ids[a]].place, h.m.jobs[h.ids[b]].place = a, b
}

func (h *heap) add(id JobID) {
	h.ids = append(h.ids, id)
	h.m.jobs[id].place = len(h.ids) - 1
	h.up(len(h.ids) - 1)
}

func (h *heap) up(i int) bool {
	moved := false
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i, moved = (i-1)/2, true
	}
	return moved
}

func (h *heap) remove(i int) {
	last := len(h.ids) - 1
	if i != last {
		h.swap(i, last)
	}
	h.ids = h.ids[:last]
	if i == last || h.up(i) {
		return
	}
	for {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// memory keeps the latest keys.
type memory struct {
	most   int
	at     map[uint64]int32
	nodes  []node
	newest int32
	oldest int32
}

type node struct {
	key          uint64
	newer, older int32
}

func (k *memory) reset(most int) {
	k.most, k.newest, k.oldest = most, -1, -1
	k.nodes = k.nodes[:0]
	if most > 0 {
		k.at = make(map[uint64]int32, min(most, 1024))
	}
}

func (k *memory) has(key uint64) bool { _, is := k.at[key]; return is }

// touch remembers a key and tells whether it was remembered.
func (k *memory) touch(key uint64) bool {
	i, known := k.at[key]
	switch {
	case known:
		k.unlink(i)
	case len(k.nodes) < k.most:
		i = int32(len(k.nodes))
		k.nodes = append(k.nodes, node{})
	default:
		i = k.oldest
		k.unlink(i)
		delete(k.at, k.nodes[i].key)
	}
	k.at[key] = i
	k.nodes[i] = node{key: key, newer: -1, older: k.newest}
	if k.newest >= 0 {
		k.nodes[k.newest].newer = i
	} else {
		k.oldest = i
	}
	k.newest = i
	return known
}

func (k *memory) unlink(i int32) {
	n := k.nodes[i]
	if n.newer >= 0 {
		k.nodes[n.newer].older = n.older
	} else {
		k.newest = n.older
	}
	if n.older >= 0 {
		k.nodes[n.older].newer = n.newer
	} else {
		k.oldest = n.newer
	}
}

// window adds up what came in the last span, in sixteenths of it.
type window struct {
	span policy.Time
	sums [16]float64
	at   int64
	sum  float64
}

func (w *window) reset(span policy.Time) { *w = window{span: max(span, 16)} }

func (w *window) add(now policy.Time, v float64) float64 {
	at := int64(now / (w.span / 16))
	if at-w.at >= 16 {
		w.sums, w.sum = [16]float64{}, 0
		w.at = at
	}
	for ; w.at < at; w.at++ {
		i := (w.at + 1) % 16
		w.sum -= w.sums[i]
		w.sums[i] = 0
	}
	w.sums[at%16] += v
	w.sum += v
	return w.sum
}
