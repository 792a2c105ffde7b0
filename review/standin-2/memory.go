package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the pages.
const (
	memoryMB    = 32       // 32 to 192 MB
	descriptors = 1024     // 256 to 1,024
	senders     = 300      // clients hold a third of the descriptors at most for requests: 341
	longBody    = 32 << 20 // answers and bodies reach 32 MB, many at a time
	shortBody   = 2 << 10
	part        = 64 << 10
	partEvery   = 100 * time.Millisecond // 640 kB a second, ten times the slowest that the pages name
	readEvery   = 100 * time.Millisecond // an endpoint reads 160 kB a second
	readPart    = 16 << 10
)

// memoryOf returns what a process has in memory: all of it, and without the pages of files, in bytes.
func memoryOf(pid int) (resident, anonymous int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kB, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			resident = kB << 10
		case "RssAnon:":
			anonymous = kB << 10
		}
	}
	return resident, anonymous
}

// slowBody is a body that is read slowly.
type slowBody struct{ io.Reader }

func (s slowBody) Read(b []byte) (int, error) {
	time.Sleep(readEvery)
	return s.Reader.Read(b[:min(len(b), readPart)])
}

// manyLongBodies: many clients send long bodies at a time, to endpoints that read them slowly.
func manyLongBodies(s *scene) {
	var targets []target
	for i := range 6 {
		e := startEndpoint(s, fmt.Sprintf("s-%d", i+1), []string{"oslo-nord", "trondheim"}[i%2], i%2, 0)
		e.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := io.Reader(r.Body)
			if r.ContentLength > part {
				body = slowBody{r.Body}
			}
			if _, err := io.Copy(io.Discard, body); err == nil {
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(w, "made for "+r.Header.Get("X-Request-ID"))
			}
		})
		targets = append(targets, e.target())
	}
	a := startAgent(s, targets)
	listen := freeAddress()
	config := s.writeConfig("n3", listen, a.address, a.snapshot())
	text, err := os.ReadFile(config)
	must(err)
	limited := strings.Replace(string(text), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB), 1)
	limited = strings.Replace(limited, `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, descriptors), 1)
	must(os.WriteFile(config, []byte(limited), 0o600))
	p := s.startSidecar("sidecar", "", []string{"GW_NAME=n3", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + a.address,
		"GW_CONFIG=" + config, "TMPDIR=" + s.dir}, nil)
	if !waitHealthy(listen, 10*time.Second) {
		s.unable("the sidecar is not ready")
	}
	size := shortBody
	if s.trouble {
		size = longBody
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var answers [3]atomic.Int64 // served, refused, others
	for n := range senders {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			for {
				status := sendBody(s, listen, size, stop)
				switch status {
				case 200:
					answers[0].Add(1)
				case 429, 503:
					answers[1].Add(1)
				default:
					answers[2].Add(1)
				}
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		})
	}
	most, mostAnonymous := 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resident, anonymous := memoryOf(p.cmd.Process.Pid)
		if resident > most {
			s.logf("the sidecar has %d kB in memory, %d kB of it its own", resident>>10, anonymous>>10)
		}
		most, mostAnonymous = max(most, resident), max(mostAnonymous, anonymous)
	}
	close(stop)
	running.Wait()
	limit := memoryMB << 20
	s.say("%d clients with bodies of %d bytes; answered: %d served, %d refused, %d in other ways; at most %d kB in memory, "+
		"%d kB without pages of files; limit %d kB", senders, size, answers[0].Load(), answers[1].Load(), answers[2].Load(),
		most>>10, mostAnonymous>>10, limit>>10)
	if most == 0 {
		s.unable("the memory of the sidecar cannot be read")
	}
	if p.hasEnded() || mostAnonymous > limit {
		s.say("BROKEN: over memory_mb, where the platform kills the sidecar")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}

// sendBody sends one request with a body of this size, on a connection of its own, and returns the status of its answer, 0
// if there was none until stop was closed.
func sendBody(s *scene, address string, size int, stop <-chan struct{}) (status int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	answered := make(chan struct{})
	id := newID()
	go func() {
		defer close(answered)
		head := make([]byte, 16)
		if _, err := io.ReadFull(conn, head); err == nil {
			status, _ = strconv.Atoi(string(head[9:12]))
		}
		s.logf("client: %s of %d bytes: status %d", id, size, status)
	}()
	fmt.Fprintf(conn, "POST /lagre-utfall HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: lagre-utfall\r\n"+
		"Idempotency-Key: k%s\r\nX-Tenant-Id: nordkyst-salg\r\nX-Timeout: 2.500\r\nContent-Length: %d\r\n\r\n", id, id, size)
	piece := make([]byte, part)
	for left := size; left > 0; left -= len(piece) {
		piece = piece[:min(left, part)]
		if _, err := conn.Write(piece); err != nil {
			break
		}
		select {
		case <-answered:
			return status
		case <-stop:
			conn.Close()
			<-answered
			return status
		case <-time.After(partEvery):
		}
	}
	select {
	case <-answered:
	case <-stop:
		conn.Close()
		<-answered
	}
	return status
}
