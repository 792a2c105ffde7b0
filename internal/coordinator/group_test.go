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

// three keepers in one process, at addresses of this run's own.
func three(t *testing.T, log *logrus.Logger) (posts []Config, all []*Coordinator) {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)
	var members []Member
	for i := range 3 {
		at := func() string {
			l, err := net.Listen("tcp", ip+":0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			return l.Addr().String()
		}
		members = append(members, Member{fmt.Sprint("k", i), at(), at()})
	}
	dir := t.TempDir()
	for _, m := range members {
		p := Config{Name: m.Name, Directory: filepath.Join(dir, m.Name), Listen: m.RaftAddress, Cluster: "c", Key: []byte("0123456789abcdef"), Members: members,
			Lease: 600 * policy.Millisecond, Drift: 0.01, Validate: func(text, _ []byte) error {
				if bytes.HasPrefix(text, []byte("bad")) {
					return errors.New("it is bad")
				}
				return nil
			}, AssignSlots: func([]byte, *ruleset.Revision) []byte { return nil }}
		k, err := Open(p, log)
		if err != nil {
			t.Fatal(err)
		}
		posts, all = append(posts, p), append(all, k)
	}
	return posts, all
}

// eventually waits for something that takes the group a moment.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: " + what)
		}
	}
}

// apply applies at whoever leads.
func apply(t *testing.T, all []*Coordinator, text string, back ruleset.RevisionNumber) (n ruleset.RevisionNumber) {
	t.Helper()
	eventually(t, "apply "+text, func() bool {
		for _, k := range all {
			b := k.RevisionLog()
			got, err := k.Apply([]byte(text), back, b.LastNumber, "me")
			if n = got; err == nil {
				return true
			}
		}
		return false
	})
	return n
}

func alone(k *Coordinator, n ruleset.RevisionNumber) func() bool {
	return func() bool { b := k.RevisionLog(); return b.Active == n && b.Next == n }
}

func TestKeepersAgree(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	posts, all := three(t, logger)
	defer func() {
		for _, k := range all {
			k.Close()
		}
	}()
	n := apply(t, all, "one", 0)
	for _, k := range all {
		eventually(t, "the first alone", alone(k, n))
	}
	for _, k := range all {
		if _, err := k.Apply([]byte("bad"), 0, n, "me"); err == nil {
			t.Error("a bad one is taken")
		}
		if _, err := k.Apply([]byte("two"), 0, n+7, "me"); err == nil {
			t.Error("one on top of what nobody has seen is taken")
		}
	}
	// Over HTTP, at one that does not lead.
	for _, k := range all {
		if leader, err := k.Leader(); err != nil || leader.Name == k.post.Name {
			continue
		}
		pages, err := ListenAdmin(k)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.Post("http://"+pages.Address+"/_apply?last=1&author=me", "", strings.NewReader("two"))
		if err != nil || answer.StatusCode != http.StatusMisdirectedRequest || answer.Header.Get(LeaderHeader) == "" {
			t.Errorf("%v %v", answer, err)
		}
		answer, err = http.Get("http://" + pages.Address + "/_versions/1")
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(answer.Body); string(text) != "one" {
			t.Errorf("%q", text)
		}
		pages.Close()
		break
	}
	// The one that leads is gone, and another goes on; what it then missed it learns, from a store that was damaged too.
	leads := 0
	for i, k := range all {
		if leader, err := k.Leader(); err == nil && leader.Name == k.post.Name {
			leads = i
		}
	}
	all[leads].Close()
	rest := append(append([]*Coordinator{}, all[:leads]...), all[leads+1:]...)
	n = apply(t, rest, "two", 0)
	eventually(t, "the second alone", alone(rest[0], n))
	if back := apply(t, rest, "", 1); back != n+1 {
		t.Errorf("gone back as version %d", back)
	}
	eventually(t, "the first again", alone(rest[1], n+1))
	path := filepath.Join(posts[leads].Directory, storeFile)
	if err := os.WriteFile(path, bytes.Repeat([]byte("no page"), 3000), 0o600); err != nil {
		t.Fatal(err)
	}
	store, beside, err := open(posts[leads].Directory, logger, quietly(logger))
	if err != nil || beside == "" || !store.fresh {
		t.Fatalf("%v %q", err, beside)
	}
	if _, _, err := open(posts[leads].Directory, logger, quietly(logger)); err == nil || errors.Is(err, errDamaged) {
		t.Errorf("a store that another process has: %v", err)
	}
	store.Close()
	if all[leads], err = Open(posts[leads], logger); err != nil {
		t.Fatal(err)
	}
	eventually(t, "what was missed", alone(all[leads], n+1))
	// Strangers are let in nowhere.
	for i, p := range posts {
		c, err := net.Dial("tcp", p.Listen)
		if err != nil {
			t.Fatal(err)
		}
		io.ReadFull(c, make([]byte, 16))
		c.Write(bytes.Repeat([]byte{7}, 32))
		if _, err := io.ReadFull(c, make([]byte, 1)); err == nil || all[i].stream.refused.Load() != 1 {
			t.Error("a stranger is heard")
		}
		c.Close()
	}
}
