package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/fakebackend"
)

// startAgent starts a fake discovery agent. It answers each request for the whole list with list, sends the time of the
// request to the channel requests unless the channel is full, and leaves watches unanswered.
func startAgent(t *testing.T, listen, list string, requests chan<- time.Time) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
		select {
		case requests <- time.Now():
		default:
		}
	})}
	go server.Serve(listener)
	return listener.Addr().String(), func() { server.Close() }
}

// Idle clients use up all descriptors for clients while discovery is down. Once discovery is back, the daemon must
// still request the new list and apply it.
func TestDiscoveryIsReachedWhileIdleClientsUseUpDescriptors(t *testing.T) {
	dir := t.TempDir()
	program, config := filepath.Join(dir, "pepperlead"), filepath.Join(dir, "config.json")
	build(t, program)
	var servers [2]*fakebackend.Server
	for i := range servers {
		s, err := fakebackend.Start("127.0.0.1:0", fakebackend.Traits{Cores: 4, Queue: 16, Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		servers[i] = s
	}
	list := func(rev int, states ...string) string {
		var targets []string
		for i, state := range states {
			targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"a","pod_group":1,"state":%q,"boot_ms":0}`, i, servers[i].Addr(), state))
		}
		return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(targets, ","))
	}
	requests := make(chan time.Time, 16)
	agent, stopAgent := startAgent(t, "127.0.0.1:0", list(7, "Ready"), requests)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1.0,"memory_mb":64,"sockets":48},"known":%s,
"settings":{"balancers":3,"zone":"a","zones":["a"],"weight_kind":"nominal","membership_mode":"pushed","tick_s":0.005,"limits":{"cancel":true,
"max_pushes":3,"retry_after":true,"max_retry_after_s":3.0,"connect_timeout_s":0.2,"conn_idle_s":60.0},"prices":{"cross_zone":0.0},
"rules":{"cold_from":0.13,"cold_s":24.0,"fall_multiple":3.0,"fall_s":1.0,"drain_grace_s":0.5},
"offerings":[{"name":"step","credit":1.0,"overdue_credit":0.2,"quoted_time_s":1.0,"cut_off_s":2.0,"idempotency":"retryable"}]}}`, address, agent, list(7, "Ready"))
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program, "serve", "--config", config)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { c.Process.Signal(syscall.SIGTERM); c.Wait() }()
	select {
	case <-requests:
	case <-time.After(10 * time.Second):
		t.Fatal("discovery received no request")
	}
	stopAgent()
	// There are more clients than descriptors: when the daemon closes the connection of a silent client, another silent
	// client takes the descriptor.
	var idle sync.WaitGroup
	stopClients := make(chan struct{})
	for range 60 {
		idle.Go(func() {
			for {
				if client, err := net.Dial("tcp", address); err == nil {
					client.SetReadDeadline(time.Now().Add(10 * time.Second))
					gone := make(chan struct{})
					go func() { io.Copy(io.Discard, client); close(gone) }()
					select {
					case <-gone:
					case <-stopClients:
					}
					client.Close()
				}
				select {
				case <-stopClients:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for len(requests) > 0 {
		<-requests
	}
	restarted := time.Now()
	_, stopAgent = startAgent(t, agent, list(2, "Terminating", "Ready"), requests)
	defer stopAgent()
	select {
	case <-requests:
	case <-time.After(5500 * time.Millisecond):
		t.Error("discovery received no request within 5.5 s of its restart")
	}
	t.Logf("discovery received a request %v after its restart", time.Since(restarted))
	close(stopClients)
	idle.Wait()
	time.Sleep(500 * time.Millisecond) // the drain grace
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + address + "/_servers")
		if err == nil {
			page, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			if strings.Contains(string(page), "s-0 ") && strings.Contains(string(page), " leaving") && strings.Contains(string(page), "s-1 ") {
				break
			}
			err = fmt.Errorf("%s", page)
		}
		if time.Now().After(end) {
			t.Fatalf("/_servers did not show s-0 as draining and s-1 within 5 s: %v", err)
		}
	}
}
