// Package rehearsal plays a scenario on sockets in real time, at a small size: daemons as processes of their own, stand-in
// servers whose inside is the emulator's model, clients that ask for what the emulator's would, and the same judge. It shows
// whether the daemon, sockets and all, does what the module does in virtual time.
package rehearsal

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/listing"
	"pepperlead/internal/standin"
	"pepperlead/policy"
)

// Play is what is to be played.
type Play struct {
	Scenario *emulator.Scenario
	Seed     uint64
	Daemon   string // program
	Record   string // folder for a trace of each sidecar; "": none
	Log      io.Writer
}

const (
	// mostServers and mostRate keep a rehearsal to what one machine can play beside the daemons.
	mostServers  = 2048
	mostSidecars = 2048
	mostRate     = 5000
	// slack is how late a stand-in may hear of what a sidecar did: its handler starts, or learns of a close, that much later.
	slack = 100 * policy.Millisecond
	lead  = 500 * policy.Millisecond // before the first request
)

// stage is a rehearsal under way.
type stage struct {
	Play
	dir      string
	clock    clock.Clock
	start    policy.Time
	campaign policy.Campaign
	servers  []*server
	sidecars []*sidecar
	client   *http.Transport

	mu      sync.Mutex // of what follows
	judge   *judge.Judge
	tickets map[string]*ticket
	credit  *emulator.Credit
	lists   *rand.Rand
	retries *rand.Rand
	issue   int
	busy    sync.WaitGroup
}

type ticket struct {
	of       judge.Ticket
	request  judge.Request
	sidecar  *sidecar
	answered policy.Time // 0: not
	out      chan struct{}
	pushes   int
}

type server struct {
	*standin.Modelled
	no       judge.Server
	uid      string
	zone     policy.Zone
	cell     policy.Cell
	weight   float64
	standing policy.Standing // as discovery knows it
	began    policy.Time
	gone     atomic.Bool
}

type sidecar struct {
	no     judge.Sidecar
	zone   policy.Zone
	addr   string
	list   string
	config string
	life   int
	proc   *exec.Cmd
	up     bool // it has said that it is ready, and was not killed since
	behind policy.Time
}

// fits tells why a scenario with so many requests a second cannot be played on sockets.
func fits(sc *emulator.Scenario, rate float64) error {
	switch {
	case sc.Servers > mostServers || sc.Sidecars > mostSidecars || rate > mostRate:
		return fmt.Errorf("%s: found %d servers, %d sidecars, %.0f requests a second, allowed %d, %d, %d on sockets", sc.Name,
			sc.Servers, sc.Sidecars, rate, mostServers, mostSidecars, mostRate)
	case sc.Discovery.Asked:
		return fmt.Errorf("%s: discovery.asked: lists come by files on sockets", sc.Name)
	}
	return nil
}

// Run plays the scenario and judges it.
func Run(ctx context.Context, p Play) (*judge.Verdict, error) {
	sc := p.Scenario
	plan := emulator.Plan(sc, p.Seed)
	world := emulator.New(sc, p.Seed, emulator.Module, nil) // for what it lays out: rate, campaign, servers
	if err := fits(sc, float64(len(plan))/(float64(sc.Length)/1e9)); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &stage{Play: p, dir: dir, clock: clock.New(), campaign: world.Campaign(), tickets: map[string]*ticket{},
		credit: emulator.NewCredit(sc, world.Rate()), lists: rand.New(rand.NewPCG(p.Seed, 1)), retries: rand.New(rand.NewPCG(p.Seed, 2)),
		client: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer s.client.CloseIdleConnections()
	s.judge = judge.New(world.Facts(slack), world.Franchises())
	if err := s.serve(world); err != nil {
		return nil, err
	}
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	s.start = s.clock.Now() + lead
	faults := s.script()
	ctx, over := context.WithCancel(ctx)
	defer over()
	s.busy.Go(func() { s.glance(ctx, sc.Length) })
	defer func() {
		for _, t := range faults {
			t.Stop()
		}
	}()
	for i := range plan {
		a := &plan[i]
		if !s.until(ctx, s.start+a.At) {
			return nil, ctx.Err()
		}
		s.busy.Go(func() { s.request(a) })
	}
	s.until(ctx, s.start+sc.Length)
	s.busy.Wait()
	s.until(ctx, s.clock.Now()+200*policy.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.Finish(s.clock.Now() - s.start), ctx.Err()
}

// glances is how often the judge is told how the servers stand.
const glances = 250 * policy.Millisecond

// glance tells the judge which servers are there for new work, and who stands idle while others queue.
func (s *stage) glance(ctx context.Context, length policy.Time) {
	for at := s.start; at < s.start+length && s.until(ctx, at); at += glances {
		idle, queues := 0, false
		s.mu.Lock()
		for _, v := range s.servers {
			in, queued, size := v.Stands()
			if v.gone.Load() || v.standing != policy.Ready {
				size = 0
			}
			s.judge.Sized(max(0, s.now()), v.no, size)
			if size > 0 && in == 0 {
				idle++
			}
			queues = queues || queued > 0
		}
		s.judge.Looked(idle, queues, glances)
		s.mu.Unlock()
	}
}

func (s *stage) until(ctx context.Context, at policy.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(at - s.clock.Now())):
		return true
	}
}

// now is the moment of the day. Before the day it is under 0.
func (s *stage) now() policy.Time { return s.clock.Now() - s.start }

func (s *stage) log(format string, a ...any) {
	if s.Log != nil {
		fmt.Fprintf(s.Log, "%8.3f  %s\n", float64(s.now())/1e9, fmt.Sprintf(format, a...))
	}
}

// ---- servers ----

func (s *stage) serve(world *emulator.World) error {
	for no, of := range world.Layout() {
		v := &server{no: judge.Server(no), uid: of.UID, zone: of.Zone, cell: of.Cell, weight: of.Weight}
		if err := s.startServer(v, of.Traits, 0); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) startServer(v *server, traits machine.Traits, started policy.Time) error {
	roll := rand.New(rand.NewPCG(s.Seed, uint64(v.no)+100))
	m, err := standin.StartModelled("127.0.0.1:0", traits, started, s.clock, roll.Float64, &eye{s, v})
	if err != nil {
		return err
	}
	v.Modelled, v.began = m, started
	s.servers = append(s.servers, v)
	return nil
}

// eye watches one server.
type eye struct {
	s *stage
	v *server
}

type seen struct {
	t *ticket
	n int
}

// Arrived tells the judge of a push. An earlier push of the ticket whose connection the sidecar has closed is waited for a
// little, as its server may hear of the close later than the next one of the push.
func (e *eye) Arrived(_ policy.Time, id string, work policy.Time, cold bool, started policy.Time, capacity float64) any {
	s := e.s
	s.mu.Lock()
	t := s.tickets[id]
	if t == nil {
		s.mu.Unlock()
		return nil // of a request that is long over
	}
	at := s.now()
	if before := t.out; before != nil {
		s.mu.Unlock()
		select {
		case <-before:
		case <-time.After(time.Duration(slack)):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if t.answered > 0 && at < t.answered+slack {
		return nil // was on its way already
	}
	n := s.judge.Pushed(at, t.of, e.v.no, e.v.zone, e.v.cell, e.v.zone != t.sidecar.zone)
	s.judge.Written(t.of, n)
	if cold {
		s.judge.Pressed(at, t.sidecar.no, e.v.no, started, float64(work), capacity)
	}
	t.out = make(chan struct{})
	t.pushes++
	return &seen{t, n}
}

// Left tells the judge how a push ended for its server.
func (e *eye) Left(_ policy.Time, of any, never bool) {
	if k, is := of.(*seen); is {
		e.s.mu.Lock()
		defer e.s.mu.Unlock()
		e.s.judge.Ended(k.t.of, k.n, never)
		if k.t.out != nil {
			close(k.t.out)
			k.t.out = nil
		}
	}
}

// ---- sidecars ----

func (s *stage) begin() error {
	for no := range s.Scenario.Sidecars {
		c := &sidecar{no: judge.Sidecar(no), zone: s.Scenario.Zones[no%len(s.Scenario.Zones)], addr: free()}
		dir := filepath.Join(s.dir, fmt.Sprint("n", no))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		c.list, c.config = filepath.Join(dir, "servers.toml"), filepath.Join(dir, "pepperlead.toml")
		if err := os.WriteFile(c.config, s.configuration(c), 0o600); err != nil {
			return err
		}
		s.sidecars = append(s.sidecars, c)
		if err := s.tell(c); err != nil {
			return err
		}
		if err := s.startSidecar(c); err != nil {
			return err
		}
	}
	for _, c := range s.sidecars {
		if err := s.ready(c, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *stage) startSidecar(c *sidecar) error {
	args := []string{"serve", "--config", c.config, "--log", "warning"}
	if s.Record != "" {
		args = append(args, "--record", filepath.Join(s.Record, fmt.Sprintf("n%d-%d.trace", c.no, c.life)))
	}
	p := exec.Command(s.Daemon, args...)
	p.Stderr = s.Log
	if err := p.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	c.proc = p
	s.mu.Unlock()
	return nil
}

func (s *stage) ready(c *sidecar, within time.Duration) error {
	ask := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if answer, err := ask.Get("http://" + c.addr + "/_health"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == 200 {
				s.mu.Lock()
				c.up = c.proc != nil
				s.mu.Unlock()
				return nil
			}
		}
	}
	return fmt.Errorf("the sidecar at %s is not ready within %v", c.addr, within)
}

// end stops all that was started.
func (s *stage) end() {
	for _, c := range s.sidecars {
		s.mu.Lock()
		p := c.proc
		s.mu.Unlock()
		if p != nil {
			p.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, c := range s.sidecars {
		if c.proc == nil {
			continue
		}
		done := make(chan struct{})
		go func() { c.proc.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			c.proc.Process.Kill()
			<-done
		}
	}
	for _, v := range s.servers {
		v.Close()
	}
}

func span(t policy.Time) string { return time.Duration(t).String() }

// configuration is the product's own, for one sidecar.
func (s *stage) configuration(c *sidecar) []byte {
	sc, k := s.Scenario, &s.campaign
	var b strings.Builder
	line := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	var zones []string
	for _, z := range sc.Zones {
		zones = append(zones, strconv.Quote(string(z)))
	}
	line("[instance]\nname = \"n%d\"\nzone = %q\nzones = [%s]\ninstances = %d\ncross_price = %g\nseed = \"%x\"", c.no, c.zone,
		strings.Join(zones, ", "), sc.Sidecars, k.CrossPrice, s.Seed*1000+uint64(c.no)+1)
	line("[front.http]\nlisten = %q\nrequest_id = \"demanded\"", c.addr)
	line("[limits]\ndescriptors = 4096\nmemory_mb = 192\npushes = %d\ncancel = %v\nadvice = %q\nconnect = %q\nidle = %q\ntick = %q",
		k.MaxPushes, k.MayCancel, span(k.Advice), span(sc.Network.ConnectIn), span(sc.Network.IdleFor), span(k.Tick))
	line("[cold]\nshare = %g\ntime = %q\nfall = %g", max(0.001, k.ColdShare), span(k.ColdTime), max(1, k.FallMultiple))
	repeats, groups := []string{"reissuable", "numbered", "at-most-once"}, []string{"all", "zone", "pod"}
	for _, o := range sc.Offerings {
		line("[[offering]]\nname = %q\ncredit = %g\nlate_credit = %g\nquoted_time = %q\ncut_off = %q\nrepeats = %q", o.Name, o.Credit, o.LateCredit,
			span(o.Quoted), span(o.CutOff), repeats[o.Repeats])
		if o.Repeats == policy.Numbered {
			line("group = %q\nwindow = %q", groups[o.Group], span(o.Window))
		}
	}
	line("[franchises]\nbeyond_credit = %g", k.BeyondCredit)
	for _, f := range k.Franchises {
		line("[[franchise]]\nname = %q\nquota = %g", f.Name, f.Quota)
	}
	line("[source]\nkind = \"files\"\nfiles = [\"servers.toml\"]\nmay_take_away = 1.0\n[state]\nfolder = \"state\"")
	return []byte(b.String())
}

// tell writes a sidecar's list as discovery knows it now. The judge counts it as told from then on.
func (s *stage) tell(c *sidecar) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	ready := 0
	for _, v := range s.servers {
		if v.standing == policy.Gone {
			continue
		}
		fmt.Fprintf(&b, "[[server]]\nid = %q\naddress = %q\nzone = %q\npod = %d\nweight = %g\n", v.uid, v.Addr(), v.zone, v.cell, v.weight)
		if v.standing == policy.Draining {
			b.WriteString("state = \"draining\"\n")
		} else {
			ready++
		}
		if v.began > 0 {
			fmt.Fprintf(&b, "started = %s\n", time.Unix(0, int64(v.began)).UTC().Format("2006-01-02T15:04:05.000000000Z"))
		}
	}
	if ready == 0 {
		return nil // a list of none is never taken
	}
	s.issue++
	text, _, err := listing.Seal("list", []byte(b.String()), listing.Issue(s.issue), 10000)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.list+".tmp", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(c.list+".tmp", c.list); err != nil {
		return err
	}
	for _, v := range s.servers {
		s.judge.Told(s.now(), c.no, v.no, v.standing, v.began)
	}
	return nil
}

// noticed has discovery learn how a server stands, and tells every sidecar.
func (s *stage) noticed(v *server, standing policy.Standing, own bool) {
	d := s.Scenario.Discovery.Silent
	if own {
		d = s.Scenario.Discovery.Delay
	}
	s.mu.Lock()
	wait := d[0] + policy.Time(s.lists.Float64()*float64(d[1]-d[0]))
	started := v.Started()
	s.mu.Unlock()
	time.AfterFunc(time.Duration(wait), func() {
		s.mu.Lock()
		if v.Started() != started || standing == policy.Gone && !v.gone.Load() {
			s.mu.Unlock()
			return // it has changed again meanwhile
		}
		v.standing, v.began = standing, started
		all := slices.Clone(s.sidecars)
		s.mu.Unlock()
		for _, c := range all {
			s.mu.Lock()
			later := max(0, c.behind-s.clock.Now())
			s.mu.Unlock()
			time.AfterFunc(time.Duration(later), func() { s.tell(c) })
		}
	})
}

// ---- clients ----

// request plays what a client wants, over its tries.
func (s *stage) request(a *emulator.Arrival) {
	sc := s.Scenario
	o := &sc.Offerings[a.Offering]
	c := s.sidecars[a.Sidecar]
	from := s.now()
	s.mu.Lock()
	r := s.judge.Asked(from, a.Offering, a.Franchise, s.credit.Of(from, a.Offering, a.Franchise))
	s.mu.Unlock()
	cutOff := from + a.Left
	for try := 1; ; try++ {
		answer, advice, sent := s.try(a, c, r, cutOff, try)
		harmless := !sent || answer == judge.TurnedBack
		if sent && answer == judge.Honoured || try > sc.Clients.Retries || !harmless && o.Repeats == policy.AtMostOnce {
			break
		}
		s.mu.Lock()
		pause := policy.Time(float64(sc.Clients.Backoff<<(try-1)) * (0.5 + s.retries.Float64()))
		if s.retries.Float64() < sc.Clients.Heed {
			pause = max(pause, advice)
		}
		s.mu.Unlock()
		if s.now()+pause >= cutOff {
			break
		}
		time.Sleep(time.Duration(pause))
	}
	s.mu.Lock()
	s.judge.Given(r)
	s.mu.Unlock()
}

// try sends one try. sent is false where the sidecar was not there, or died with it.
func (s *stage) try(a *emulator.Arrival, c *sidecar, r judge.Request, cutOff policy.Time, try int) (judge.Answer, policy.Time, bool) {
	o := &s.Scenario.Offerings[a.Offering]
	left := cutOff - s.now()
	if left <= 0 {
		return 0, 0, false
	}
	s.mu.Lock()
	life, up := c.life, c.up
	if !up {
		s.mu.Unlock()
		return 0, 0, false
	}
	t := &ticket{sidecar: c, request: r, of: s.judge.Accepted(s.now(), r, c.no, a.Offering, cutOff+slack)}
	s.judge.About(t.of, a.Key)
	id := fmt.Sprintf("%d-%d-%d", r, try, s.now())
	s.tickets[id] = t
	s.mu.Unlock()
	method := http.MethodPost
	if o.Repeats == policy.Reissuable {
		method = http.MethodGet
	}
	ctx, end := context.WithTimeout(context.Background(), time.Duration(left+slack/2))
	defer end()
	call, _ := http.NewRequestWithContext(ctx, method, "http://"+c.addr+"/"+o.Name, nil)
	h := call.Header
	h.Set("X-Request-ID", id)
	h.Set("X-Timeout", strconv.FormatFloat(float64(left)/1e9, 'f', 4, 64))
	h.Set("X-Work", fmt.Sprintf("%d,%d", int64(float64(o.Work)*a.Size), int64(float64(o.IO)*a.SizeIO)))
	if a.Key != 0 {
		h.Set("X-Route-Key", "k"+strconv.FormatUint(a.Key, 36))
	}
	if a.Franchise >= 0 {
		h.Set("X-Tenant-Id", s.Scenario.Franchise[a.Franchise].Name)
	}
	if o.Repeats == policy.Numbered {
		h.Set("Idempotency-Key", "i-"+id)
	}
	if s.Scenario.Clients.Marks && try > 1 {
		h.Set("X-Retried", "1")
	}
	status, advice, err := s.round(call)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	answer := judge.GivenUp
	switch {
	case err != nil && (c.life != life || !c.up):
		s.judge.Left(t.of, r) // its sidecar died with it
	case err != nil:
		s.log("%s: no answer: %v", id, err)
		// Nothing is told to the judge: the cut-off will show that an answer was owed.
	case status == 200:
		answer = judge.Honoured
	case status == 503 || status == 429:
		answer = judge.TurnedBack
	}
	if err == nil {
		s.judge.Answered(now, t.of, r, answer)
		t.answered = max(now, 1)
	}
	time.AfterFunc(time.Duration(max(0, cutOff+2*slack-now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.judge.Passed(s.now(), t.of, r)
		delete(s.tickets, id)
	})
	return answer, advice, err == nil
}

func (s *stage) round(call *http.Request) (status int, advice policy.Time, err error) {
	answer, err := s.client.RoundTrip(call)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, 0, err
	}
	if v, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		advice = policy.Time(v * 1e9)
	}
	return answer.StatusCode, advice, nil
}
