// Package handover makes the processes of one sidecar, an old version and the new one that follows it, act as one. They meet in a
// folder: what must outlast each of them is a file there, and each listens on a socket there for the others.
package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/snapshot"
)

const (
	kept, keptKind, keptVersion = "out-by-hand", "out-by-hand", 1

	lockIn = 200 * time.Millisecond // for another process to be done with the file
	obeyIn = 350 * time.Millisecond // for the others to say that they have obeyed
	meetIn = 300 * time.Millisecond // for another to have made room for this one, and to tell what it has learned

	mostLine = 8 << 20
	linkEnd  = ".sock"

	// Descriptors are those that meeting takes: the folder, the socket, the file and its lock, and two other processes.
	Descriptors = 6
)

// ErrNotConfirmed says that a process of this sidecar has not obeyed in time. It will as soon as its loop comes to it.
var ErrNotConfirmed = errors.New("kept, but not every process of this sidecar has said in time that it is in force")

// ProcessGroup is this process among those of its sidecar.
type ProcessGroup struct {
	why    error // there is no folder, and nothing is kept nor met
	dir    string
	root   *os.File // the folder: paths of sockets are short, whatever its name
	name   string   // of the own socket
	store  snapshot.Store
	socket net.Listener
	log    *logrus.Logger
	obey   func(uids []string) bool // has the loop take out these servers and no others; true once it has
	tell   func() []byte            // what this process has learned, on one line; nil: nothing now
	share  func(processes int)      // has the process keep to its part of the limits
	change sync.Mutex               // one change at a time is under way here

	obeying sync.Mutex // whoever obeys reads the file within it, so that the last to obey obeys the latest
	inForce []string   // the servers that are out, as last obeyed; under obeying

	mu     sync.Mutex
	alone  map[string]bool // what was done by hand and could not be kept, and so is in force here alone
	others map[*other]struct{}
	asked  uint64
	closed bool
}

// other is another process.
type other struct {
	conn net.Conn
	mu   sync.Mutex // of writing
	met  chan struct{}
	once sync.Once
	told chan []byte
	done map[uint64]chan struct{} // by number of what it was asked; under Kin.mu
	gone chan struct{}
}

// Directory is where the processes of the sidecar of that name and address meet.
func Directory(name, listen string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("pepperlead-%016x", xxhash.Sum64String(name+"\x00"+listen)))
}

// Join opens the folder, and meets those that are there. obey and share are called from now on, obey never before Serve.
func Join(dir string, log *logrus.Logger) (*ProcessGroup, error) {
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, err
	}
	// A folder that is another's could say that any server is out.
	info, err := os.Lstat(dir)
	if err != nil {
		return nil, err
	}
	if own, ok := info.Sys().(*syscall.Stat_t); !ok || !info.IsDir() || info.Mode().Perm()&0o022 != 0 || own.Uid != uint32(os.Geteuid()) {
		return nil, fmt.Errorf("%s: found a folder that others may write to, allowed one of this user alone", dir)
	}
	root, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	k := &ProcessGroup{dir: dir, root: root, name: fmt.Sprintf("%d-%x%s", os.Getpid(), time.Now().UnixNano(), linkEnd), store: snapshot.Store{Dir: dir},
		log: log, others: map[*other]struct{}{}, alone: map[string]bool{}, obey: func([]string) bool { return true }, share: func(int) {},
		tell: func() []byte { return nil }}
	if k.socket, err = net.Listen("unix", k.at(k.name)); err != nil {
		root.Close()
		return nil, err
	}
	k.socket.(*net.UnixListener).SetUnlinkOnClose(false) // its path is not the one that others see
	for _, name := range k.sockets() {
		c, err := net.DialTimeout("unix", k.at(name), meetIn)
		if errors.Is(err, syscall.ECONNREFUSED) {
			os.Remove(filepath.Join(dir, name)) // left by one that was killed
		}
		if err != nil {
			continue
		}
		o := k.meet(c)
		k.say(o, "here")
		select {
		case <-o.met:
		case <-o.gone:
		case <-time.After(meetIn):
			log.Warn("another process of this sidecar has not made room in time")
		}
	}
	return k, nil
}

// Standalone is a process that found no folder, for that reason: what is done by hand is in force in it, and said not to be kept.
func Standalone(why error, log *logrus.Logger) *ProcessGroup {
	return &ProcessGroup{why: why, log: log, alone: map[string]bool{}}
}

func (k *ProcessGroup) at(name string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", k.root.Fd(), name)
}

// sockets are those of the others.
func (k *ProcessGroup) sockets() (names []string) {
	entries, _ := os.ReadDir(k.dir)
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), linkEnd) && e.Name() != k.name {
			names = append(names, e.Name())
		}
	}
	return names
}

// Serve obeys from now on, and tells others what was learned here. obey and tell may wait for the loop, share must not.
func (k *ProcessGroup) Serve(obey func(uids []string) bool, tell func() []byte, share func(processes int)) {
	k.mu.Lock()
	k.obey, k.tell, k.share = obey, tell, share
	k.mu.Unlock()
	k.counted()
	if k.why != nil {
		return
	}
	go func() {
		k.look() // what has changed since the loop was told first
		for {
			c, err := k.socket.Accept()
			if err != nil {
				return
			}
			k.meet(c)
		}
	}()
}

// Processes is how many there are, this one among them.
func (k *ProcessGroup) Processes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return 1 + len(k.others)
}

// LearnedStates is what the others have learned, of each that tells it in time.
func (k *ProcessGroup) LearnedStates() (all [][]byte) {
	k.mu.Lock()
	others := slices.Collect(maps.Keys(k.others))
	k.mu.Unlock()
	late := time.After(meetIn)
	for _, o := range others {
		k.say(o, "tell")
		select {
		case text := <-o.told:
			if len(text) > 0 {
				all = append(all, text)
			}
		case <-o.gone:
		case <-late:
			return all
		}
	}
	return all
}

// Close leaves the others.
func (k *ProcessGroup) Close() {
	if k.why != nil {
		return
	}
	k.mu.Lock()
	k.closed = true
	for o := range k.others {
		o.conn.Close()
	}
	k.mu.Unlock()
	os.Remove(filepath.Join(k.dir, k.name))
	k.socket.Close()
	k.root.Close()
}

func (k *ProcessGroup) say(o *other, line string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn.SetWriteDeadline(time.Now().Add(meetIn))
	fmt.Fprintln(o.conn, line)
}

// meet takes another process in and hears it until it ends.
func (k *ProcessGroup) meet(c net.Conn) *other {
	o := &other{conn: c, met: make(chan struct{}), told: make(chan []byte, 1), done: map[uint64]chan struct{}{}, gone: make(chan struct{})}
	k.mu.Lock()
	k.others[o] = struct{}{}
	k.mu.Unlock()
	k.counted()
	go func() {
		lines := bufio.NewScanner(c)
		for lines.Buffer(nil, mostLine); lines.Scan(); {
			k.heard(o, lines.Text())
		}
		c.Close()
		k.mu.Lock()
		delete(k.others, o)
		k.mu.Unlock()
		close(o.gone)
		k.counted()
	}()
	return o
}

func (k *ProcessGroup) heard(o *other, line string) {
	word, rest, _ := strings.Cut(line, " ")
	no, _ := strconv.ParseUint(rest, 10, 64)
	switch word {
	case "here": // room was made when it was met
		k.say(o, "met")
	case "met":
		o.once.Do(func() { close(o.met) })
	case "look":
		if k.look() == nil {
			k.say(o, "done "+rest)
		}
	case "tell":
		k.mu.Lock()
		tell := k.tell
		k.mu.Unlock()
		k.say(o, "told "+string(tell()))
	case "told":
		select {
		case o.told <- []byte(rest):
		default:
		}
	case "done":
		k.mu.Lock()
		if done := o.done[no]; done != nil {
			close(done)
			delete(o.done, no)
		}
		k.mu.Unlock()
	}
}

// look obeys what is kept, and what could not be. Where the file cannot be read, what is in force stays.
func (k *ProcessGroup) look() error {
	k.obeying.Lock()
	defer k.obeying.Unlock()
	uids, err := k.read()
	if err != nil {
		k.log.WithError(err).Error("servers out by hand: what was kept cannot be read, and what is in force stays")
		uids = k.inForce
	}
	k.mu.Lock()
	for _, uid := range slices.Sorted(maps.Keys(k.alone)) {
		uids = with(uids, uid, k.alone[uid])
	}
	obey := k.obey
	k.mu.Unlock()
	k.inForce = uids
	if !obey(uids) {
		return ErrNotConfirmed
	}
	return err
}

// counted has the process keep to its part.
func (k *ProcessGroup) counted() {
	k.mu.Lock()
	share, n, closed := k.share, 1+len(k.others), k.closed
	k.mu.Unlock()
	if !closed {
		share(n)
	}
}
