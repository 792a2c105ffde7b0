package livetest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Instances of the program: their configuration, start, end and lists.

func (s *stage) begin() error {
	for no := range s.Scenario.Instances {
		c := &sidecar{no: judge.InstanceID(no), zone: s.Scenario.Zones[no%len(s.Scenario.Zones)], addr: free()}
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
		strings.Join(zones, ", "), sc.Instances, k.CrossZonePrice, s.Seed*1000+uint64(c.no)+1)
	line("[front.http]\nlisten = %q\nrequest_id = \"demanded\"", c.addr)
	line("[limits]\ndescriptors = 4096\nmemory_mb = 192\npushes = %d\ncancel = %v\nadvice = %q\nconnect = %q\nidle = %q\ntick = %q",
		k.MaxAttempts, k.MayCancel, span(k.MaxRetryAfter), span(sc.Network.ConnectTimeout), span(sc.Network.IdleTimeout), span(k.Tick))
	line("[cold]\nshare = %g\ntime = %q\nfall = %g", max(0.001, k.ColdCapacity), span(k.ColdTime), max(1, k.OverloadMultiple))
	repeats, groups := []string{"reissuable", "numbered", "at-most-once"}, []string{"all", "zone", "pod"}
	for _, o := range sc.Classes {
		line("[[offering]]\nname = %q\ncredit = %g\nlate_credit = %g\nquoted_time = %q\ncut_off = %q\nrepeats = %q", o.Name, o.Value, o.LateValue,
			span(o.Target), span(o.Deadline), repeats[o.Idempotency])
		if o.Idempotency == policy.Keyed {
			line("group = %q\nwindow = %q", groups[o.Group], span(o.Window))
		}
	}
	line("[franchises]\nbeyond_credit = %g", k.OverQuotaValue)
	for _, f := range k.Tenants {
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
		if v.standing == policy.Removed {
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
	text, _, err := endpointfiles.Seal("list", []byte(b.String()), endpointfiles.Issue(s.issue), 10000)
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
		s.judge.EndpointNotified(s.now(), c.no, v.no, v.standing, v.began)
	}
	return nil
}

// noticed has discovery learn how a server stands, and tells every sidecar.
func (s *stage) noticed(v *server, standing policy.EndpointStatus, own bool) {
	d := s.Scenario.Discovery.DetectDelay
	if own {
		d = s.Scenario.Discovery.AnnounceDelay
	}
	s.mu.Lock()
	wait := d[0] + policy.Time(s.lists.Float64()*float64(d[1]-d[0]))
	started := v.Started()
	s.mu.Unlock()
	time.AfterFunc(time.Duration(wait), func() {
		s.mu.Lock()
		if v.Started() != started || standing == policy.Removed && !v.gone.Load() {
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
