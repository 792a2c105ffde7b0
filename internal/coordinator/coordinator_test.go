package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// startThree starts a group of three coordinators in one process, at addresses of this run's own.
func startThree(t *testing.T, log *logrus.Logger) ([]Config, []*Coordinator) {
	t.Helper()
	var configs []Config
	var coordinators []*Coordinator
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)
	var members []Member
	for i := range 3 {
		freeAddress := func() string {
			l, err := net.Listen("tcp", ip+":0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			return l.Addr().String()
		}
		members = append(members, Member{fmt.Sprint("k", i), freeAddress(), freeAddress()})
	}
	dir := t.TempDir()
	for _, m := range members {
		config := Config{Name: m.Name, Directory: filepath.Join(dir, m.Name), Listen: m.RaftAddress, Cluster: "c",
			Key: []byte("0123456789abcdef"), Members: members,
			LeaseDuration: 600 * policy.Millisecond, ClockDrift: 0.01, Validate: func(text, _ []byte) error {
				if bytes.HasPrefix(text, []byte("bad")) {
					return errors.New("it is bad")
				}
				return nil
			}, AssignSlots: func([]byte, *ruleset.Revision) []byte { return nil }}
		coordinator, err := Open(config, log)
		if err != nil {
			t.Fatal(err)
		}
		configs = append(configs, config)
		coordinators = append(coordinators, coordinator)
	}
	return configs, coordinators
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out: " + what)
		}
	}
}

// propose proposes a text, or a rollback, at the leader.
func propose(t *testing.T, coordinators []*Coordinator, text string,
	rollbackOf ruleset.RevisionNumber) ruleset.RevisionNumber {
	t.Helper()
	var number ruleset.RevisionNumber
	eventually(t, "propose "+text, func() bool {
		for _, c := range coordinators {
			log := c.RevisionLog()
			got, err := c.Propose(Proposal{
				Text: []byte(text), RollbackOf: rollbackOf, Last: log.LastNumber, Author: "me",
			})
			if number = got; err == nil {
				return true
			}
		}
		return false
	})
	return number
}

// inForceAlone returns a condition for eventually.
func inForceAlone(c *Coordinator, number ruleset.RevisionNumber) func() bool {
	return func() bool {
		log := c.RevisionLog()
		return log.Active == number && log.Next == number
	}
}

func TestCoordinatorsAgree(t *testing.T) {
	log := quietLog()
	configs, coordinators := startThree(t, log)
	defer func() {
		for _, c := range coordinators {
			c.Close()
		}
	}()
	number := propose(t, coordinators, "one", 0)
	for _, c := range coordinators {
		eventually(t, "the first alone", inForceAlone(c, number))
	}
	for _, c := range coordinators {
		if _, err := c.Propose(Proposal{Text: []byte("bad"), Last: number, Author: "me"}); err == nil {
			t.Error("a bad one is taken")
		}
		if _, err := c.Propose(Proposal{Text: []byte("two"), Last: number + 7, Author: "me"}); err == nil {
			t.Error("one on top of what nobody has seen is taken")
		}
	}
	// Over HTTP, at one that does not lead.
	for _, c := range coordinators {
		if known, err := c.Leader(); err != nil || known.Name == c.config.Name {
			continue
		}
		server, err := ListenAdmin(c)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.Post("http://"+server.Address+"/_apply?last=1&author=me", "", strings.NewReader("two"))
		if err != nil || answer.StatusCode != http.StatusMisdirectedRequest || answer.Header.Get(LeaderHeader) == "" {
			t.Errorf("%v %v", answer, err)
		}
		answer, err = http.Get("http://" + server.Address + "/_versions/1")
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(answer.Body); string(text) != "one" {
			t.Errorf("%q", text)
		}
		server.Close()
		break
	}
	// The leader stops and another takes over; restarted with a damaged store, the first catches up.
	leader := 0
	for i, c := range coordinators {
		if known, err := c.Leader(); err == nil && known.Name == c.config.Name {
			leader = i
		}
	}
	coordinators[leader].Close()
	rest := append(append([]*Coordinator{}, coordinators[:leader]...), coordinators[leader+1:]...)
	number = propose(t, rest, "two", 0)
	eventually(t, "the second alone", inForceAlone(rest[0], number))
	if back := propose(t, rest, "", 1); back != number+1 {
		t.Errorf("rolled back as revision %d", back)
	}
	eventually(t, "the first again", inForceAlone(rest[1], number+1))
	path := filepath.Join(configs[leader].Directory, storeFile)
	if err := os.WriteFile(path, bytes.Repeat([]byte("no page"), 3000), 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := openStore(configs[leader].Directory, log, newRaftLogger(log))
	if err != nil || store.damagedCopy == "" || !store.fresh {
		t.Fatalf("%v %+v", err, store)
	}
	if _, err := openStore(configs[leader].Directory, log, newRaftLogger(log)); err == nil ||
		errors.Is(err, errDamaged) {
		t.Errorf("a store that another process has: %v", err)
	}
	store.Close()
	if coordinators[leader], err = Open(configs[leader], log); err != nil {
		t.Fatal(err)
	}
	eventually(t, "what was missed", inForceAlone(coordinators[leader], number+1))
	// No coordinator accepts connections without the key.
	for i, config := range configs {
		conn, err := net.Dial("tcp", config.Listen)
		if err != nil {
			t.Fatal(err)
		}
		io.ReadFull(conn, make([]byte, 16))
		conn.Write(bytes.Repeat([]byte{7}, 32))
		if _, err := io.ReadFull(conn, make([]byte, 1)); err == nil || coordinators[i].stream.rejected.Load() != 1 {
			t.Error("an unauthenticated connection is accepted")
		}
		conn.Close()
	}
}
