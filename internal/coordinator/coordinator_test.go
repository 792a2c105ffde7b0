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

// startThree starts a group of three coordinators in this process. Their IP address depends on the process ID, so that
// concurrent runs don't collide.
func startThree(t *testing.T, log *logrus.Logger) ([]Config, []*Coordinator) {
	t.Helper()
	var configs []Config
	var coordinators []*Coordinator
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)
	var members []Member
	for i := range 3 {
		freeAddress := func() string {
			listener, err := net.Listen("tcp", ip+":0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			return listener.Addr().String()
		}
		members = append(members, Member{fmt.Sprint("k", i), freeAddress(), freeAddress()})
	}
	dir := t.TempDir()
	for _, member := range members {
		config := Config{Name: member.Name, Directory: filepath.Join(dir, member.Name), Listen: member.RaftAddress,
			Cluster: "c", Key: []byte("0123456789abcdef"), Members: members,
			LeaseDuration: 600 * policy.Millisecond, ClockDrift: 0.01, Validate: func(text, _ []byte) error {
				if bytes.HasPrefix(text, []byte("bad")) {
					return errors.New("invalid text")
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

// eventually waits until a condition holds, and fails the test after a timeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting: " + description)
		}
	}
}

// propose proposes a text, or a rollback, to whichever coordinator is the leader.
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

// inForceAlone returns a condition that holds while the given revision is in force and no change is in progress.
func inForceAlone(c *Coordinator, number ruleset.RevisionNumber) func() bool {
	return func() bool {
		log := c.RevisionLog()
		return log.Active == number && log.Next == number
	}
}

// Three coordinators agree on one revision log: invalid proposals are rejected, followers redirect to the leader, a new
// leader takes over, a coordinator with a damaged store catches up, and unauthenticated connections are rejected.
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
		eventually(t, "the first revision is in force alone", inForceAlone(c, number))
	}
	for _, c := range coordinators {
		if _, err := c.Propose(Proposal{Text: []byte("bad"), Last: number, Author: "me"}); err == nil {
			t.Error("an invalid text is accepted")
		}
		if _, err := c.Propose(Proposal{Text: []byte("two"), Last: number + 7, Author: "me"}); err == nil {
			t.Error("a proposal on top of an unknown revision is accepted")
		}
	}
	// A follower's admin interface redirects proposals to the leader, and serves the texts of revisions itself.
	for _, c := range coordinators {
		if leader, err := c.Leader(); err != nil || leader.Name == c.config.Name {
			continue
		}
		server, err := ListenAdmin(c)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.Post("http://"+server.Address+"/_apply?last=1&author=me", "", strings.NewReader("two"))
		if err != nil || response.StatusCode != http.StatusMisdirectedRequest ||
			response.Header.Get(LeaderHeader) == "" {
			t.Errorf("proposal to a follower: response %v, error %v", response, err)
		}
		response, err = http.Get("http://" + server.Address + "/_versions/1")
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(response.Body); string(text) != "one" {
			t.Errorf("text of revision 1: got %q, want %q", text, "one")
		}
		server.Close()
		break
	}
	// The leader stops and another takes over. The former leader restarts with a damaged store and catches up.
	leader := 0
	for i, c := range coordinators {
		if member, err := c.Leader(); err == nil && member.Name == c.config.Name {
			leader = i
		}
	}
	coordinators[leader].Close()
	others := append(append([]*Coordinator{}, coordinators[:leader]...), coordinators[leader+1:]...)
	number = propose(t, others, "two", 0)
	eventually(t, "the second revision is in force alone", inForceAlone(others[0], number))
	if rollback := propose(t, others, "", 1); rollback != number+1 {
		t.Errorf("the rollback has number %d, want %d", rollback, number+1)
	}
	eventually(t, "the rollback is in force alone", inForceAlone(others[1], number+1))
	path := filepath.Join(configs[leader].Directory, storeFile)
	if err := os.WriteFile(path, bytes.Repeat([]byte("no page"), 3000), 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := openStore(configs[leader].Directory, log, newRaftLogger(log))
	if err != nil || store.damagedCopy == "" || !store.fresh {
		t.Fatalf("opening a damaged store: error %v, store %+v", err, store)
	}
	if _, err := openStore(configs[leader].Directory, log, newRaftLogger(log)); err == nil ||
		errors.Is(err, errDamaged) {
		t.Errorf("opening a store that is already open: error %v", err)
	}
	store.Close()
	if coordinators[leader], err = Open(configs[leader], log); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the restarted coordinator catches up", inForceAlone(coordinators[leader], number+1))
	// Coordinators reject connections that don't prove knowledge of the key.
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
