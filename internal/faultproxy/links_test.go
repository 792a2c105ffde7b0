package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

var a, b = netip.MustParseAddr("127.3.0.1"), netip.MustParseAddr("127.3.0.2")

func linked(t *testing.T) *Net {
	n := New(7)
	n.At("a", a)
	n.At("b", b)
	t.Cleanup(n.Close)
	return n
}

// echo answers each byte with the next one.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.3.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for one := make([]byte, 1); ; {
					if _, err := c.Read(one); err != nil {
						return
					}
					one[0]++
					c.Write(one)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func call(t *testing.T, from netip.Addr, at string) net.Conn {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}, Timeout: time.Second}).Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// said tells whether a byte comes within the time.
func said(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestCutsHoldOneWayUntilTheyHeal(t *testing.T) {
	n := linked(t)
	at, err := n.TCP("127.0.0.1:0", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c := call(t, a, at)
	c.Write([]byte{1})
	if !said(c, time.Second) {
		t.Fatal("nothing passes")
	}
	for _, w := range []Way{{"a", "b"}, {"b", "a"}} {
		before := n.Counted(w)
		n.Set(w, State{Cut: true})
		c.Write([]byte{1})
		if said(c, 50*time.Millisecond) {
			t.Errorf("%v: passes a cut", w)
		}
		late := call(t, a, at)
		late.Write([]byte{1})
		if said(late, 50*time.Millisecond) {
			t.Errorf("%v: a connection came up through a cut", w)
		}
		n.Heal()
		if !said(c, time.Second) || !said(late, time.Second) {
			t.Errorf("%v: nothing after the cut healed", w)
		}
		if now := n.Counted(w); now.Held != before.Held+1 || now.Chunks <= before.Chunks {
			t.Errorf("%v: %+v after %+v", w, now, before)
		}
	}
	other := call(t, netip.MustParseAddr("127.3.0.9"), at)
	n.Part([]Place{"a"}, []Place{"b"})
	other.Write([]byte{1})
	if !said(other, time.Second) {
		t.Error("a cut between two holds a third")
	}
}

func TestEndsAndDelaysPass(t *testing.T) {
	n := linked(t)
	at, err := n.TCP("127.0.0.1:0", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	n.Set(Way{"a", "b"}, State{Delay: 40 * time.Millisecond})
	c := call(t, a, at)
	start := time.Now()
	c.Write([]byte{1})
	if !said(c, time.Second) || time.Since(start) < 40*time.Millisecond {
		t.Errorf("answered after %v", time.Since(start))
	}
	if own := n.Own(50); own > 20*time.Millisecond {
		t.Errorf("the relay itself took %v", own)
	}
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the end does not pass: %v", err)
	}
	nobody, err := n.TCP("127.0.0.1:0", "b", "127.3.0.2:1")
	if err != nil {
		t.Fatal(err)
	}
	if c, err = net.Dial("tcp", nobody); err == nil { // the reset may come while it is still dialled
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("refused there, %v here", err)
		}
		c.Close()
	}
}

func TestPacketsAreLostAndOvertakeEachOther(t *testing.T) {
	n := linked(t)
	to, err := net.ListenUDP("udp", &net.UDPAddr{IP: b.AsSlice()})
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	at, err := n.UDP("127.0.0.1:0", "b", to.LocalAddr().(*net.UDPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	where, _ := net.ResolveUDPAddr("udp", at)
	from, err := net.DialUDP("udp", &net.UDPAddr{IP: a.AsSlice()}, where)
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	n.Set(Way{"a", "b"}, State{Drop: 0.2, Spread: 20 * time.Millisecond})
	const all = 250
	for i := range all {
		from.Write([]byte{byte(i)})
		time.Sleep(100 * time.Microsecond)
	}
	come, over, last := 0, 0, -1
	var back net.Addr
	for p := make([]byte, 9); ; come++ {
		to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, caller, err := to.ReadFrom(p)
		if err != nil {
			break
		}
		if back = caller; int(p[0]) < last {
			over++
		}
		last = int(p[0])
	}
	if c := n.Counted(Way{"a", "b"}); c.Packets != all || int(c.Lost) != all-come || come < all*7/10 || come > all*9/10 || over == 0 {
		t.Errorf("%+v, %d came, %d overtaken", c, come, over)
	}
	answered := func() bool {
		to.WriteTo([]byte("back"), back)
		return said(from, 200*time.Millisecond)
	}
	if !answered() {
		t.Error("no way back")
	}
	if n.Set(Way{"b", "a"}, State{Cut: true}); answered() {
		t.Error("a packet passed a cut")
	}
}
