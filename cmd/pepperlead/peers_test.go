package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/links"
)

// member is one process of the program, reached by its peers through links alone.
type member struct {
	name, pages string
	proc        *exec.Cmd
	log         *logged
}

// logged is what a process has said so far.
type logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logged) has(line string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), line)
}

// alive is how many peers it says are there; -1: it does not answer.
func (m *member) alive() int {
	var out bytes.Buffer
	if run([]string{"peers", "--at", m.pages}, &out) != nil {
		return -1
	}
	return strings.Count(out.String(), " alive ")
}

// Five processes find each other; one is killed, one stands still, two are cut off, and all that are left find each other again. Budgets are never
// shared among fewer than are configured.
func TestProcessesKnowWhoIsThere(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "pepperlead")
	if built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, built)
	}
	for name, key := range map[string]string{"key": "MDEyMzQ1Njc4OWFiY2RlZg==\n", "other": "ZmVkY2JhOTg3NjU0MzIxMA=="} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(key), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	between := links.New(1)
	defer between.Close()
	port := func(ip string) int {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	own, meets := port("127.6.0.1"), port("127.7.0.1")
	var all []*member
	for i := range 7 { // the last two are strangers: one has another key, one is of another cluster
		m := &member{name: fmt.Sprint("n", i+1), log: &logged{}}
		m.pages = fmt.Sprintf("127.6.0.%d:%d", i+1, own)
		listen, door := fmt.Sprintf("127.6.0.%d:%d", i+1, meets), fmt.Sprintf("127.7.0.%d:%d", i+1, meets)
		at := netip.MustParseAddrPort(listen)
		between.At(links.Place(m.name), at.Addr())
		if _, err := between.TCP(door, links.Place(m.name), listen); err != nil {
			t.Fatal(err)
		}
		if _, err := between.UDP(door, links.Place(m.name), at); err != nil {
			t.Fatal(err)
		}
		config := filepath.Join(dir, m.name+".toml")
		text := fmt.Sprintf("[instance]\nname = %q\ninstances = 3\n[front.http]\nlisten = \"127.6.0.%d:%d\"\n[pages]\nlisten = %q\n", m.name, i+1,
			port("127.6.0.1"), m.pages) + fmt.Sprintf("[peers]\nlisten = %q\nadvertise = %q\ncluster = %q\nkey_file = %q\n"+
			"join = [\"127.7.0.1:%d\"]\n[[offering]]\nname = \"step\"\nquoted_time = \"1s\"\ncut_off = \"2s\"\n"+
			"[source]\nkind = \"fixed\"\n[[source.server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n", listen, door, map[bool]string{true: "another"}[i == 6]+"drill", map[bool]string{false: "key", true: "other"}[i == 5], meets)
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.proc = exec.Command(program, "serve", "--config", config)
		m.proc.Stderr = m.log
		if err := m.proc.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { m.proc.Process.Signal(syscall.SIGCONT); m.proc.Process.Kill(); m.proc.Wait() }()
		all = append(all, m)
	}
	until := func(what string, some []*member, many int) {
		t.Helper()
		start := time.Now()
		for _, m := range some {
			for m.alive() != many {
				if time.Since(start) > 60*time.Second {
					t.Fatalf("%s: %s knows of %d, not %d\n%s", what, m.name, m.alive(), many, m.log.text.String())
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		t.Logf("%s: %d know of %d after %.1f s", what, len(some), many, time.Since(start).Seconds())
	}
	strangers := all[5:]
	all = all[:5]
	until("start", all, 5)
	// A link that fails one way is walked round: others ask for the one that does not hear.
	between.Set(links.Way{From: "n1", To: "n2"}, links.State{Cut: true})
	time.Sleep(3 * time.Second)
	if between.Counted(links.Way{From: "n1", To: "n2"}).Lost == 0 {
		t.Error("nothing was tried one way")
	}
	until("a link cut one way", all, 5)
	between.Heal()
	for _, m := range strangers {
		if m.alive() != 1 || between.Counted(links.Way{From: links.Place(m.name), To: "n1"}).Connections == 0 {
			t.Errorf("%s knows of %d, or has not tried", m.name, m.alive())
		}
	}
	if !all[0].log.has("budgets are shared among 5, 3 are configured") {
		t.Error("budgets are not shared among all")
	}
	var out bytes.Buffer
	if run([]string{"peers", "--at", all[2].pages}, &out); strings.Count(out.String(), "table=") != 5 {
		t.Error(out.String())
	}
	all[3].proc.Process.Kill()
	between.Part([]links.Place{"n1", "n2"}, []links.Place{"n3", "n4", "n5"})
	left := []*member{all[0], all[1], all[2], all[4]}
	until("one killed, two cut off", left, 2)
	if between.Counted(links.Way{From: "n1", To: "n3"}).Lost == 0 || between.Counted(links.Way{From: "n3", To: "n1"}).Lost == 0 {
		t.Error("one side has not tried to pass the cut")
	}
	between.Heal()
	until("healed", left, 4)
	all[4].proc.Process.Signal(syscall.SIGSTOP)
	until("one stands still", left[:3], 3)
	all[4].proc.Process.Signal(syscall.SIGCONT)
	until("it goes on", left, 4)
	for _, m := range all[:3] {
		if m.log.has("shared among 2") || m.log.has("shared among 1,") {
			t.Errorf("%s: budgets shared among fewer than are configured", m.name)
		}
	}
	all[2].proc.Process.Signal(syscall.SIGTERM)
	if err := all[2].proc.Wait(); err != nil {
		t.Errorf("the end: %v", err)
	}
	until("one has left", all[:2], 3)
}
