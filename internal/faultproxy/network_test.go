package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

var (
	addressA = netip.MustParseAddr("127.3.0.1")
	addressB = netip.MustParseAddr("127.3.0.2")
)

// newNetwork returns a network with the processes a and b.
func newNetwork(t *testing.T) *Network {
	n := New(7)
	n.SetAddress("a", addressA)
	n.SetAddress("b", addressB)
	t.Cleanup(n.Close)
	return n
}

// startServer starts a server at b that answers each byte with its value plus one.
func startServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.3.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for buffer := make([]byte, 1); ; {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					buffer[0]++
					conn.Write(buffer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// dial connects to a server from an address.
func dial(t *testing.T, from netip.Addr, to string) net.Conn {
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}, Timeout: time.Second}).Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// receives reports whether a byte arrives within the time.
func receives(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestBlockedLinkHoldsBytesUntilItHeals(t *testing.T) {
	n := newNetwork(t)
	proxy, err := n.TCP("127.0.0.1:0", "b", startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, addressA, proxy)
	c.Write([]byte{1})
	if !receives(c, time.Second) {
		t.Fatal("no byte passes an open link")
	}
	for _, link := range []Link{{"a", "b"}, {"b", "a"}} {
		before := n.Counters(link)
		n.Set(link, Faults{Blocked: true})
		c.Write([]byte{1})
		if receives(c, 50*time.Millisecond) {
			t.Errorf("%v: a byte passes a blocked link", link)
		}
		late := dial(t, addressA, proxy)
		late.Write([]byte{1})
		if receives(late, 50*time.Millisecond) {
			t.Errorf("%v: a connection is relayed through a blocked link", link)
		}
		n.Heal()
		if !receives(c, time.Second) || !receives(late, time.Second) {
			t.Errorf("%v: no byte passes after the end of the fault", link)
		}
		if now := n.Counters(link); now.Held != before.Held+1 || now.Chunks <= before.Chunks {
			t.Errorf("%v: counters %+v after the fault, %+v before it", link, now, before)
		}
	}
	other := dial(t, netip.MustParseAddr("127.3.0.9"), proxy)
	n.Partition([]Node{"a"}, []Node{"b"})
	other.Write([]byte{1})
	if !receives(other, time.Second) {
		t.Error("a partition of two processes blocks a third")
	}
}

func TestDelaysAndEndsOfConnections(t *testing.T) {
	n := newNetwork(t)
	proxy, err := n.TCP("127.0.0.1:0", "b", startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	n.Set(Link{"a", "b"}, Faults{Delay: 40 * time.Millisecond})
	c := dial(t, addressA, proxy)
	start := time.Now()
	c.Write([]byte{1})
	if !receives(c, time.Second) || time.Since(start) < 40*time.Millisecond {
		t.Errorf("the answer is missing or came too early, %v after the request", time.Since(start))
	}
	if overhead := n.Overhead(50); overhead > 20*time.Millisecond {
		t.Errorf("the overhead of the proxy is %v", overhead)
	}
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the proxy did not pass on the end of the connection: %v", err)
	}
	unreachable, err := n.TCP("127.0.0.1:0", "b", "127.3.0.2:1")
	if err != nil {
		t.Fatal(err)
	}
	if c, err = net.Dial("tcp", unreachable); err == nil { // the reset may come during the handshake
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("the target refuses connections, but the caller gets %v instead of a reset", err)
		}
		c.Close()
	}
}

func TestPacketsAreLostAndReordered(t *testing.T) {
	n := newNetwork(t)
	to, err := net.ListenUDP("udp", &net.UDPAddr{IP: addressB.AsSlice()})
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	proxy, err := n.UDP("127.0.0.1:0", "b", to.LocalAddr().(*net.UDPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	proxyAddress, _ := net.ResolveUDPAddr("udp", proxy)
	from, err := net.DialUDP("udp", &net.UDPAddr{IP: addressA.AsSlice()}, proxyAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	n.Set(Link{"a", "b"}, Faults{Drop: 0.2, Jitter: 20 * time.Millisecond})
	const sent = 250
	for i := range sent {
		from.Write([]byte{byte(i)})
		time.Sleep(100 * time.Microsecond)
	}
	received, reordered, last := 0, 0, -1
	var sender net.Addr
	for p := make([]byte, 9); ; received++ {
		to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, caller, err := to.ReadFrom(p)
		if err != nil {
			break
		}
		if sender = caller; int(p[0]) < last {
			reordered++
		}
		last = int(p[0])
	}
	if c := n.Counters(Link{"a", "b"}); c.Packets != sent || int(c.Lost) != sent-received || received < sent*7/10 ||
		received > sent*9/10 || reordered == 0 {
		t.Errorf("counters %+v, %d packets received, %d of them reordered", c, received, reordered)
	}
	answered := func() bool {
		to.WriteTo([]byte("back"), sender)
		return receives(from, 200*time.Millisecond)
	}
	if !answered() {
		t.Error("no answer to a packet arrived")
	}
	if n.Set(Link{"b", "a"}, Faults{Blocked: true}); answered() {
		t.Error("a packet passed a blocked link")
	}
}
