package machine

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pepperlead/policy"
)

const ms = policy.Millisecond

// submission is a job to be submitted.
type submission struct {
	at   policy.Time
	key  uint64
	work policy.Time
	io   policy.Time
}

// simulate submits jobs at their times and calls each action at the time that is its key. It returns when each job has
// finished, 0 for a rejected job.
func simulate(m *Machine, submissions []submission, actions map[policy.Time]func()) []policy.Time {
	finishedAt := make([]policy.Time, len(submissions))
	now := policy.Time(0)
	actionTimes := slices.Collect(func(yield func(policy.Time) bool) {
		for at := range actions {
			if !yield(at) {
				return
			}
		}
	})
	slices.Sort(actionTimes)
	i := 0
	for {
		next, pending := m.Next()
		if i < len(submissions) && (!pending || submissions[i].at <= next) {
			next, pending = submissions[i].at, true
		}
		if len(actionTimes) > 0 && (!pending || actionTimes[0] <= next) {
			next, pending = actionTimes[0], true
		}
		if !pending {
			return finishedAt
		}
		now = next
		for _, job := range m.Run(now, nil) {
			finishedAt[job.Owner] = now
		}
		if len(actionTimes) > 0 && actionTimes[0] == now {
			actions[now]()
			actionTimes = actionTimes[1:]
			continue
		}
		if i < len(submissions) && submissions[i].at == now {
			m.Submit(now, uint64(i), submissions[i].key, submissions[i].work, submissions[i].io, false)
			i++
		}
	}
}

// Each case is small enough to calculate the expected times directly.
func TestFinishTimes(t *testing.T) {
	oneCore := Traits{Cores: 1, Speed: 1, QueueSize: 100}
	with := func(change func(*Traits)) Traits { x := oneCore; change(&x); return x }
	hundredMS := submission{work: 100 * ms}
	for _, test := range []struct {
		name        string
		traits      Traits
		started     policy.Time
		submissions []submission
		actions     func(m *Machine) map[policy.Time]func()
		want        []policy.Time
	}{
		{"two jobs share a core", oneCore, 0, []submission{hundredMS, hundredMS}, nil, []policy.Time{200 * ms, 200 * ms}},
		{"two jobs have a core each", with(func(x *Traits) { x.Cores = 2 }), 0, []submission{hundredMS, hundredMS}, nil, []policy.Time{100 * ms, 100 * ms}},
		{"a later job shares the core", oneCore, 0, []submission{hundredMS, {at: 50 * ms, work: 100 * ms}}, nil, []policy.Time{150 * ms, 200 * ms}},
		{"one worker", with(func(x *Traits) { x.Workers = 1 }), 0, []submission{hundredMS, hundredMS, hundredMS}, nil,
			[]policy.Time{100 * ms, 200 * ms, 300 * ms}},
		{"a worker is occupied during I/O", with(func(x *Traits) { x.Workers = 1 }), 0, []submission{{work: 100 * ms, io: 50 * ms}, hundredMS}, nil,
			[]policy.Time{150 * ms, 250 * ms}},
		{"shared cores are not occupied during I/O", oneCore, 0, []submission{{work: 100 * ms, io: 50 * ms}, {at: 100 * ms, work: 100 * ms}}, nil,
			[]policy.Time{150 * ms, 200 * ms}},
		{"the queue is full", with(func(x *Traits) { x.Workers, x.QueueSize = 1, 1 }), 0, []submission{hundredMS, hundredMS, hundredMS}, nil,
			[]policy.Time{100 * ms, 200 * ms, 0}},
		{"twice the speed", with(func(x *Traits) { x.Speed = 2 }), 0, []submission{hundredMS}, nil, []policy.Time{50 * ms}},
		{"half the speed after 50 ms", oneCore, 0, []submission{hundredMS}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.SetFaultSpeed(50*ms, 0.5) }}
		}, []policy.Time{150 * ms}},
		{"a pause", oneCore, 0, []submission{hundredMS}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.PauseUntil(50*ms, 80*ms) }}
		}, []policy.Time{130 * ms}},
		{"the limit of the pod leaves a quarter of the speed after 50 ms", oneCore, 0, []submission{hundredMS}, func(m *Machine) map[policy.Time]func() {
			return map[policy.Time]func(){50 * ms: func() { m.SetPodSpeed(50*ms, 0.25) }}
		}, []policy.Time{250 * ms}},
		{"a cached key saves three quarters of the work", with(func(x *Traits) { x.CacheSize, x.CacheDiscount = 2, 0.75 }), 0,
			[]submission{{key: 7, work: 100 * ms}, {at: 200 * ms, key: 7, work: 100 * ms}}, nil, []policy.Time{100 * ms, 225 * ms}},
		{"the least recently used key is evicted", with(func(x *Traits) { x.CacheSize, x.CacheDiscount = 2, 0.75 }), 0,
			[]submission{{key: 7, work: ms}, {at: 10 * ms, key: 8, work: ms}, {at: 20 * ms, key: 9, work: ms}, {at: 30 * ms, key: 7, work: 100 * ms}},
			nil, []policy.Time{ms, 11 * ms, 21 * ms, 130 * ms}},
		{"keys are not cached until CacheColdTime after a start", with(func(x *Traits) { x.CacheSize, x.CacheDiscount, x.CacheColdTime = 2, 0.75, 200*ms }), ms,
			[]submission{{at: ms, key: 7, work: 100 * ms}, {at: 110 * ms, key: 7, work: 100 * ms}, {at: 300 * ms, key: 7, work: 100 * ms},
				{at: 500 * ms, key: 7, work: 100 * ms}}, nil, []policy.Time{101 * ms, 210 * ms, 400 * ms, 525 * ms}},
		{"three jobs congest the machine until one job is left", with(func(x *Traits) { x.CongestAt, x.CongestedSpeed = 3, 0.5 }), 0,
			[]submission{{work: 50 * ms}, {work: 100 * ms}, {work: 150 * ms}}, nil, []policy.Time{300 * ms, 500 * ms, 550 * ms}},
	} {
		m := New(test.traits, test.started)
		var actions map[policy.Time]func()
		if test.actions != nil {
			actions = test.actions(m)
		}
		got := simulate(m, test.submissions, actions)
		for i := range got {
			if delay := got[i] - test.want[i]; delay < -1 || delay > 1000 {
				t.Errorf("%s: finished at %v, want %v", test.name, got, test.want)
				break
			}
		}
		if m.Jobs() != 0 {
			t.Errorf("%s: %d jobs left in the machine", test.name, m.Jobs())
		}
	}
}

// The speed rises linearly from 0.2 to 1 in one second, so the work done until t is 0.2t + 0.4t².
func TestWarmUpMatchesFormula(t *testing.T) {
	m := New(Traits{Cores: 1, Speed: 1, QueueSize: 9, ColdSpeed: 0.2, WarmUpTime: 1000 * ms}, 1)
	got := simulate(m, []submission{{at: 1, work: 300 * ms}}, nil)
	want := (-0.2 + math.Sqrt(0.04+4*0.4*0.3)) / 0.8
	if took := float64(got[0]) / 1e9; math.Abs(took-want) > 0.03 {
		t.Errorf("the job finished after %.4fs, want %.4fs by the formula", took, want)
	}
}

// meanTime submits n jobs with exponentially distributed gaps and work. It returns the mean time of the jobs in the
// machine, and the margin of a confidence interval on each side of the mean: 3.5 standard errors, from 20 batches.
func meanTime(m *Machine, rate float64, work policy.Time, n int) (mean, margin float64) {
	random := rand.New(rand.NewPCG(5, 6))
	arrivedAt := make([]policy.Time, n)
	batches := make([]float64, 20)
	now, next := policy.Time(0), policy.Time(0)
	for i := 0; ; {
		due, pending := m.Next()
		if i < n && (!pending || next <= due) {
			due, pending = next, true
		}
		if !pending {
			break
		}
		now = due
		for _, job := range m.Run(now, nil) {
			batches[int(job.Owner)*len(batches)/n] += float64(now-arrivedAt[job.Owner]) / float64(n/len(batches)) / 1e9
		}
		if i < n && next == now {
			arrivedAt[i] = now
			m.Submit(now, uint64(i), 0, policy.Time(random.ExpFloat64()*float64(work)), 0, false)
			i++
			next += policy.Time(random.ExpFloat64() / rate * 1e9)
		}
	}
	for _, batch := range batches {
		mean += batch / float64(len(batches))
	}
	squares := 0.0
	for _, batch := range batches {
		squares += (batch - mean) * (batch - mean)
	}
	return mean, 3.5 * math.Sqrt(squares/float64(len(batches)-1)/float64(len(batches)))
}

// Workers with a queue are an M/M/c system, for which the Erlang C formula gives the mean time in the system. A shared
// core is an M/M/1 system with processor sharing, with a mean time of work/(1-load).
func TestMeanTimesMatchQueueingTheory(t *testing.T) {
	const work = 10 * ms
	for _, test := range []struct {
		workers int
		load    float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.8}, {16, 0.9}} {
		rate := test.load * float64(test.workers) / 0.010
		m := New(Traits{Cores: float64(test.workers), Speed: 1, Workers: test.workers, QueueSize: 1 << 30}, 0)
		got, margin := meanTime(m, rate, work, 200000)
		offered := test.load * float64(test.workers)
		sum, term := 0.0, 1.0
		for i := range test.workers {
			sum += term
			term *= offered / float64(i+1)
		}
		waitProbability := term / (1 - test.load) / (sum + term/(1-test.load))
		want := 0.010 + waitProbability*0.010/(float64(test.workers)*(1-test.load))
		if math.Abs(got-want) > margin || margin > want/4 {
			t.Errorf("M/M/%d with a load of %.1f: %.5fs ± %.5f, want %.5fs by the formula", test.workers, test.load, got, margin, want)
		}
	}
	m := New(Traits{Cores: 1, Speed: 1, QueueSize: 1 << 30}, 0)
	if got, margin := meanTime(m, 70, work, 200000); math.Abs(got-0.010/0.3) > margin || margin > 0.01 {
		t.Errorf("a shared core with a load of 0.7: %.5fs ± %.5f, want %.5fs by the formula", got, margin, 0.010/0.3)
	}
}

// A cold machine is overloaded by more than OverloadMultiple times its capacity within the window, a warm one is not.
func TestOverloadOfColdMachines(t *testing.T) {
	traits := Traits{Cores: 1, Speed: 1, QueueSize: 1000, ColdSpeed: 0.2, WarmUpTime: 10000 * ms, OverloadMultiple: 3, OverloadWindow: 1000 * ms}
	overloads := func(interval policy.Time) bool {
		m := New(traits, 1)
		for at := policy.Time(1); at < 3000*ms && !m.Overloaded(); at += interval {
			m.Run(at, nil)
			m.Submit(at, 0, 0, 10*ms, 0, false)
		}
		return m.Overloaded()
	}
	// In these 3 s its speed rises from 0.2 to 0.44, so it can do 20 to 44 of these jobs per second.
	if overloads(20 * ms) {
		t.Error("the cold machine was overloaded by less than twice its capacity")
	}
	if !overloads(8 * ms) {
		t.Error("the cold machine was not overloaded by six times its capacity")
	}
	m := New(traits, 1)
	m.Run(20000*ms, nil)
	for i := range 500 {
		m.Submit(20000*ms, uint64(i), 0, 10*ms, 0, false)
	}
	if m.Overloaded() {
		t.Error("the machine was overloaded although it is warm")
	}
}

func TestCancel(t *testing.T) {
	m := New(Traits{Cores: 1, Speed: 1, Workers: 1, QueueSize: 9}, 0)
	first, _ := m.Submit(0, 0, 0, 100*ms, 0, false)
	second, _ := m.Submit(0, 1, 0, 100*ms, 0, false)
	m.Submit(0, 2, 0, 100*ms, 0, false)
	if m.Cancel(10*ms, first, true) || !m.Cancel(10*ms, second, true) || !m.Cancel(50*ms, first, false) {
		t.Error("Cancel removed the wrong jobs")
	}
	if at, _ := m.Next(); at != 150*ms || m.Jobs() != 1 || math.Abs(m.WorkDone()-50e6) > 1 {
		t.Errorf("next event at %d, %d jobs, %.0f ns of work done", at, m.Jobs(), m.WorkDone())
	}
}
