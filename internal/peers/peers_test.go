package peers

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/links"
)

// company is some sidecars that reach each other through links alone: each listens on an address of its own and is reached by another.
type company struct {
	*testing.T
	net  *links.Net
	port int
	all  map[string]*Company
}

func meet(t *testing.T, names ...string) *company {
	l, err := net.Listen("tcp", "127.4.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	c := &company{T: t, net: links.New(1), port: l.Addr().(*net.TCPAddr).Port, all: map[string]*Company{}}
	t.Cleanup(c.net.Close)
	for _, name := range names {
		c.all[name] = c.open(name, "drill", []byte("0123456789abcdef"))
	}
	return c
}

func (c *company) open(name, cluster string, key []byte) *Company {
	c.Helper()
	no := int(name[0] - 'a' + 1)
	own, door := fmt.Sprintf("127.4.0.%d:%d", no, c.port), fmt.Sprintf("127.5.0.%d:%d", no, c.port)
	c.net.At(links.Place(name), netip.MustParseAddrPort(own).Addr())
	if _, err := c.net.TCP(door, links.Place(name), own); err != nil {
		c.Fatal(err)
	}
	if _, err := c.net.UDP(door, links.Place(name), netip.MustParseAddrPort(own)); err != nil {
		c.Fatal(err)
	}
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	p, err := Open(Post{Name: name, Cluster: cluster, Listen: own, Advertise: door, Join: []string{fmt.Sprintf("127.5.0.1:%d", c.port)}, Key: key,
		Zone: "z" + name, tune: func(m *memberlist.Config) {
			m.ProbeInterval, m.ProbeTimeout, m.GossipInterval, m.SuspicionMult = 100*time.Millisecond, 40*time.Millisecond, 20*time.Millisecond, 2
			m.TCPTimeout = 300 * time.Millisecond
		}}, log)
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(p.Close)
	return p
}

// until waits for one to know of so many, itself among them.
func (c *company) until(name string, many int) {
	c.Helper()
	for end := time.Now().Add(15 * time.Second); c.all[name].Alive() != many; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("%s knows of %d, not %d:\n%s", name, c.all[name].Alive(), many, c.all[name].Report())
		}
	}
}

func TestPartsFindEachOtherAgain(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	c := meet(t, names...)
	for _, n := range names {
		c.until(n, 5)
	}
	// A link that fails one way is walked round: others ask for the one that does not hear.
	one := links.Way{From: "a", To: "b"}
	before := c.net.Counted(one)
	c.net.Set(one, links.State{Cut: true})
	time.Sleep(1500 * time.Millisecond)
	if now := c.net.Counted(one); now.Lost == before.Lost {
		t.Error("nothing was tried one way")
	}
	for _, n := range names {
		c.until(n, 5)
	}
	c.net.Heal()
	some, others := []links.Place{"a", "b"}, []links.Place{"c", "d", "e"}
	c.net.Part(some, others)
	for _, n := range names {
		c.until(n, map[bool]int{true: 2, false: 3}[n < "c"])
	}
	if c.net.Counted(links.Way{From: "c", To: "a"}).Lost == 0 || c.net.Counted(links.Way{From: "a", To: "c"}).Lost == 0 {
		t.Error("one side has not tried to pass the cut")
	}
	c.net.Heal()
	for _, n := range names {
		c.until(n, 5)
	}
	// What one says of itself comes to all, and one that leaves is gone at once.
	c.all["b"].Say(7, 0x1234)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if p := c.all["e"].All()[1]; p.Name == "b" && p.Version == 7 && p.Table == 0x1234 && p.Zone == "zb" && p.Alive {
			break
		} else if time.Now().After(end) {
			t.Fatalf("%+v", p)
		}
	}
	c.all["e"].list.Leave(leaveIn)
	c.until("a", 4)
}

// Another cluster's packets, and such of another key, are dropped.
func TestStrangersAreLeftOut(t *testing.T) {
	c := meet(t, "a", "b")
	c.until("a", 2)
	c.all["c"] = c.open("c", "drill", []byte("fedcba9876543210"))
	c.all["d"] = c.open("d", "another", []byte("0123456789abcdef"))
	time.Sleep(time.Second)
	if c.net.Counted(links.Way{From: "c", To: "a"}).Connections == 0 || c.net.Counted(links.Way{From: "d", To: "a"}).Connections == 0 {
		t.Fatal("they have not tried")
	}
	for name, many := range map[string]int{"a": 2, "b": 2, "c": 1, "d": 1} {
		if n := c.all[name].Alive(); n != many {
			t.Errorf("%s knows of %d", name, n)
		}
	}
}

func TestKeysAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for text, good := range map[string]bool{"MDEyMzQ1Njc4OWFiY2RlZg==\n": true, "MDEy": false, "not base64": false, "": false} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); (err == nil) != good || good && string(key) != "0123456789abcdef" {
			t.Errorf("%q: %q %v", text, key, err)
		}
	}
}
