package machine

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pepperlead/policy"
)

const ms = policy.Millisecond

type put struct {
	at   policy.Time
	key  uint64
	work policy.Time
	io   policy.Time
}

// play hands jobs in at their moments and gives when each is done, 0 for one that was turned away; between plays what
// else happens at a moment.
func play(m *Machine, puts []put, between map[policy.Time]func()) []policy.Time {
	out := make([]policy.Time, len(puts))
	now := policy.Time(0)
	moments := slices.Collect(func(yield func(policy.Time) bool) {
		for at := range between {
			if !yield(at) {
				return
			}
		}
	})
	slices.Sort(moments)
	i := 0
	for {
		next, any := m.Next()
		if i < len(puts) && (!any || puts[i].at <= next) {
			next, any = puts[i].at, true
		}
		if len(moments) > 0 && (!any || moments[0] <= next) {
			next, any = moments[0], true
		}
		if !any {
			return out
		}
		now = next
		for _, d := range m.Run(now, nil) {
			out[d.Owner] = now
		}
		if len(moments) > 0 && moments[0] == now {
			between[now]()
			moments = moments[1:]
			continue
		}
		if i < len(puts) && puts[i].at == now {
			m.Submit(now, uint64(i), puts[i].key, puts[i].work, puts[i].io, false)
			i++
		}
	}
}

func TestSmallCasesWorkedByHand(t *testing.T) {
	usual := Traits{Cores: 1, Speed: 1, QueueSize: 100}
	with := func(change func(*Traits)) Traits { x := usual; change(&x); return x }
	hundred := put{work: 100 * ms}
	for _, k := range []struct {
		name    string
		traits  Traits
		started policy.Time
		puts    []put
		between func(m *Machine) map[policy.Time]func()
		want    []policy.Time
	}{
		{"two share a core", usual, 0, []put{hundred, hundred}, nil, []policy.Time{200 * ms, 200 * ms}},
		{"a core each", with(func(x *Traits) { x.Cores = 2 }), 0, []put{hundred, hundred}, nil, []policy.Time{100 * ms, 100 * ms}},
		{"a late one shares what is left", usual, 0, []put{hundred, {at: 50 * ms, work: 100 * ms}}, nil, []policy.Time{150 * ms, 200 * ms}},
		{"one slot", with(func(x *Traits) { x.Workers = 1 }), 0, []put{hundred, hundred, hundred}, nil,
			[]policy.Time{100 * ms, 200 * ms, 300 * ms}},
		{"a slot is held through I/O", with(func(x *Traits) { x.Workers = 1 }), 0, []put{{work: 100 * ms, io: 50 * ms}, hundred}, nil,
			[]policy.Time{150 * ms, 250 * ms}},
		{"shared cores are not", usual, 0, []put{{work: 100 * ms, io: 50 * ms}, {at: 100 * ms, work: 100 * ms}}, nil,
			[]policy.Time{150 * ms, 200 * ms}},
		{"the queue is full", with(func(x *Traits) { x.Workers, x.QueueSize = 1, 1 }), 0, []put{hundred, hundred, hundred}, nil,
			[]policy.Time{100 * ms, 200 * ms, 0}},
		{"twice the speed", with(func(x *Traits) { x.Speed = 2 }), 0, []put{hundred}, nil, []policy.Time{50 * ms}},
		{"half the speed from the middle on", usual, 0, []put{hundred}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.SetFaultSpeed(50*ms, 0.5) }}
		}, []policy.Time{150 * ms}},
		{"a pause", usual, 0, []put{hundred}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.PauseUntil(50*ms, 80*ms) }}
		}, []policy.Time{130 * ms}},
		{"its pod leaves it a quarter", usual, 0, []put{hundred}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.SetPodSpeed(50*ms, 0.25) }}
		}, []policy.Time{250 * ms}},
		{"a remembered key saves three quarters", with(func(x *Traits) { x.CacheSize, x.CacheDiscount = 2, 0.75 }), 0,
			[]put{{key: 7, work: 100 * ms}, {at: 200 * ms, key: 7, work: 100 * ms}}, nil, []policy.Time{100 * ms, 225 * ms}},
		{"the oldest key is forgotten", with(func(x *Traits) { x.CacheSize, x.CacheDiscount = 2, 0.75 }), 0,
			[]put{{key: 7, work: ms}, {at: 10 * ms, key: 8, work: ms}, {at: 20 * ms, key: 9, work: ms}, {at: 30 * ms, key: 7, work: 100 * ms}},
			nil, []policy.Time{ms, 11 * ms, 21 * ms, 130 * ms}},
		{"nothing is remembered for a while after a start", with(func(x *Traits) { x.CacheSize, x.CacheDiscount, x.CacheColdTime = 2, 0.75, 200*ms }), ms,
			[]put{{at: ms, key: 7, work: 100 * ms}, {at: 110 * ms, key: 7, work: 100 * ms}, {at: 300 * ms, key: 7, work: 100 * ms},
				{at: 500 * ms, key: 7, work: 100 * ms}}, nil, []policy.Time{101 * ms, 210 * ms, 400 * ms, 525 * ms}},
		{"three choke one that chokes at three, until one is left", with(func(x *Traits) { x.CongestAt, x.CongestedSpeed = 3, 0.5 }), 0,
			[]put{{work: 50 * ms}, {work: 100 * ms}, {work: 150 * ms}}, nil, []policy.Time{300 * ms, 500 * ms, 550 * ms}},
	} {
		m := New(k.traits, k.started)
		var between map[policy.Time]func()
		if k.between != nil {
			between = k.between(m)
		}
		got := play(m, k.puts, between)
		for i := range got {
			if d := got[i] - k.want[i]; d < -1 || d > 1000 {
				t.Errorf("%s: done at %v, want %v", k.name, got, k.want)
				break
			}
		}
		if m.Jobs() != 0 {
			t.Errorf("%s: %d left in it", k.name, m.Jobs())
		}
	}
}

// From 0.2 of its speed to all of it in a second, evenly: at t the work done is 0.2t + 0.4t².
func TestWarmUpAgainstItsFormula(t *testing.T) {
	m := New(Traits{Cores: 1, Speed: 1, QueueSize: 9, ColdSpeed: 0.2, WarmUpTime: 1000 * ms}, 1)
	got := play(m, []put{{at: 1, work: 300 * ms}}, nil)
	want := (-0.2 + math.Sqrt(0.04+4*0.4*0.3)) / 0.8
	if is := float64(got[0]) / 1e9; math.Abs(is-want) > 0.03 {
		t.Errorf("done after %.4fs, the formula says %.4fs", is, want)
	}
}

// run plays exponential arrivals and work, and gives the mean time in the machine and its standard error over batches.
func run(m *Machine, rate float64, work policy.Time, n int) (mean, half float64) {
	rnd := rand.New(rand.NewPCG(5, 6))
	at := make([]policy.Time, n)
	batches := make([]float64, 20)
	now, next := policy.Time(0), policy.Time(0)
	for i := 0; ; {
		due, any := m.Next()
		if i < n && (!any || next <= due) {
			due, any = next, true
		}
		if !any {
			break
		}
		now = due
		for _, d := range m.Run(now, nil) {
			batches[int(d.Owner)*len(batches)/n] += float64(now-at[d.Owner]) / float64(n/len(batches)) / 1e9
		}
		if i < n && next == now {
			at[i] = now
			m.Submit(now, uint64(i), 0, policy.Time(rnd.ExpFloat64()*float64(work)), 0, false)
			i++
			next += policy.Time(rnd.ExpFloat64() / rate * 1e9)
		}
	}
	for _, b := range batches {
		mean += b / float64(len(batches))
	}
	sum := 0.0
	for _, b := range batches {
		sum += (b - mean) * (b - mean)
	}
	return mean, 3.5 * math.Sqrt(sum/float64(len(batches)-1)/float64(len(batches)))
}

// M/M/c: the mean time in the system by Erlang's formula for slots with a queue; M/M/1 with a shared core:
// work/(1-load).
func TestQueuesAgainstTheirFormulas(t *testing.T) {
	const work = 10 * ms
	for _, k := range []struct {
		c    int
		load float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.8}, {16, 0.9}} {
		rate := k.load * float64(k.c) / 0.010
		m := New(Traits{Cores: float64(k.c), Speed: 1, Workers: k.c, QueueSize: 1 << 30}, 0)
		got, half := run(m, rate, work, 200000)
		a := k.load * float64(k.c)
		sum, term := 0.0, 1.0
		for i := range k.c {
			sum += term
			term *= a / float64(i+1)
		}
		wait := term / (1 - k.load) / (sum + term/(1-k.load))
		want := 0.010 + wait*0.010/(float64(k.c)*(1-k.load))
		if math.Abs(got-want) > half || half > want/4 {
			t.Errorf("M/M/%d at %.1f: %.5fs ± %.5f, the formula says %.5fs", k.c, k.load, got, half, want)
		}
	}
	m := New(Traits{Cores: 1, Speed: 1, QueueSize: 1 << 30}, 0)
	if got, half := run(m, 70, work, 200000); math.Abs(got-0.010/0.3) > half || half > 0.01 {
		t.Errorf("a shared core at 0.7: %.5fs ± %.5f, the formula says %.5fs", got, half, 0.010/0.3)
	}
}

func TestColdMachinesFallOver(t *testing.T) {
	traits := Traits{Cores: 1, Speed: 1, QueueSize: 1000, ColdSpeed: 0.2, WarmUpTime: 10000 * ms, OverloadMultiple: 3, OverloadWindow: 1000 * ms}
	sent := func(every policy.Time) bool {
		m := New(traits, 1)
		for at := policy.Time(1); at < 3000*ms && !m.Overloaded(); at += every {
			m.Run(at, nil)
			m.Submit(at, 0, 0, 10*ms, 0, false)
		}
		return m.Overloaded()
	}
	// At 0.2 to 0.44 of its speed it can do 20 to 44 of these a second.
	if sent(20 * ms) {
		t.Error("fell over under twice what it can do")
	}
	if !sent(8 * ms) {
		t.Error("stood six times what it can do")
	}
	m := New(traits, 1)
	m.Run(20000*ms, nil)
	for i := range 500 {
		m.Submit(20000*ms, uint64(i), 0, 10*ms, 0, false)
	}
	if m.Overloaded() {
		t.Error("fell over though it is warm")
	}
}

func TestCancelledWorkEnds(t *testing.T) {
	m := New(Traits{Cores: 1, Speed: 1, Workers: 1, QueueSize: 9}, 0)
	first, _ := m.Submit(0, 0, 0, 100*ms, 0, false)
	second, _ := m.Submit(0, 1, 0, 100*ms, 0, false)
	m.Submit(0, 2, 0, 100*ms, 0, false)
	if m.Cancel(10*ms, first, true) || !m.Cancel(10*ms, second, true) || !m.Cancel(50*ms, first, false) {
		t.Error("cancelled the wrong ones")
	}
	if at, _ := m.Next(); at != 150*ms || m.Jobs() != 1 || math.Abs(m.WorkDone()-50e6) > 1 {
		t.Errorf("next at %d, %d in it, %.0f spent", at, m.Jobs(), m.WorkDone())
	}
}
