package fakebackend

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func ask(t *testing.T, s *Server) (status int, notRun bool) {
	t.Helper()
	answer, err := http.Post("http://"+s.Addr()+"/x", "text/plain", strings.NewReader("b"))
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	return answer.StatusCode, answer.Header.Get("X-Not-Processed") == "1"
}

func TestFullAndDrainingServersTurnAway(t *testing.T) {
	s, err := Start("127.0.0.1:0", Traits{Cores: 1, Queue: 1, Work: time.Second, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var turnedAway, served sync.WaitGroup
	count := make(chan int, 8)
	turnedAway.Add(3)
	for range 5 {
		served.Go(func() {
			if status, notRun := ask(t, s); status == 503 && notRun {
				turnedAway.Done()
				count <- 1
			}
		})
	}
	turnedAway.Wait() // one works, one waits
	s.Drain()
	if status, notRun := ask(t, s); status != 503 || !notRun {
		t.Errorf("draining: %d", status)
	}
	served.Wait()
	if c := s.Counts(); len(count) != 3 || c.Served != 2 || c.TurnedAway != 4 || c.Requests != 6 || c.AfterDrain != 0 {
		t.Errorf("%+v", c)
	}
}

// One seed is one sequence of faults.
func TestFaultsComeFromTheSeed(t *testing.T) {
	var runs [2]string
	for i := range runs {
		s, err := Start("127.0.0.1:0", Traits{Cores: 1, Work: 0, Seed: 9, Faults: Faults{Errors: 0.3, Resets: 0.3}})
		if err != nil {
			t.Fatal(err)
		}
		for range 60 {
			switch status, _ := ask(t, s); status {
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
	if runs[0] != runs[1] || strings.Count(runs[0], "E") < 8 || strings.Count(runs[0], "R") < 8 || strings.Count(runs[0], ".") < 8 {
		t.Errorf("%v", runs)
	}
	if _, err := Start("127.0.0.1:0", Traits{Cores: 1, Faults: Faults{Errors: 0.6, Silent: 0.6}}); err == nil {
		t.Error("started with more faults than requests")
	}
}
