package fakebackend

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func post(t *testing.T, s *Server) (status int, notProcessed bool) {
	t.Helper()
	response, err := http.Post("http://"+s.Addr()+"/x", "text/plain", strings.NewReader("b"))
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("X-Not-Processed") == "1"
}

func TestFullAndDrainingServersReject(t *testing.T) {
	s, err := Start("127.0.0.1:0", Traits{Cores: 1, Queue: 1, Work: time.Second, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var rejected, served sync.WaitGroup
	count := make(chan int, 8)
	rejected.Add(3)
	for range 5 {
		served.Go(func() {
			if status, notProcessed := post(t, s); status == 503 && notProcessed {
				rejected.Done()
				count <- 1
			}
		})
	}
	rejected.Wait() // of the five requests, one is worked on and one waits
	s.Drain()
	if status, notProcessed := post(t, s); status != 503 || !notProcessed {
		t.Errorf("status of a request to a draining server: %d", status)
	}
	served.Wait()
	if c := s.Counts(); len(count) != 3 || c.Served != 2 || c.Rejected != 4 || c.Requests != 6 || c.AfterDrain != 0 {
		t.Errorf("unexpected counters: %+v", c)
	}
}

// The same seed gives the same sequence of faults.
func TestFaultsComeFromTheSeed(t *testing.T) {
	var runs [2]string
	for i := range runs {
		s, err := Start("127.0.0.1:0", Traits{Cores: 1, Work: 0, Seed: 9, Faults: Faults{Errors: 0.3, Resets: 0.3}})
		if err != nil {
			t.Fatal(err)
		}
		for range 60 {
			switch status, _ := post(t, s); status {
			case 200:
				runs[i] += "."
			case 500:
				runs[i] += "E"
			default:
				runs[i] += "R"
			}
		}
		s.Close()
	}
	if runs[0] != runs[1] || strings.Count(runs[0], "E") < 8 || strings.Count(runs[0], "R") < 8 ||
		strings.Count(runs[0], ".") < 8 {
		t.Errorf("faults drawn in each run: %v", runs)
	}
	if _, err := Start("127.0.0.1:0", Traits{Cores: 1, Faults: Faults{Errors: 0.6, Silent: 0.6}}); err == nil {
		t.Error("a server started with fault shares that add up to more than 1")
	}
}
