package daemon

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/liststate"
)

const (
	// bootIDPath is a file that has another content after each boot of the machine.
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	// publishRetryInterval is the time between attempts to publish a list.
	publishRetryInterval = time.Second
	// listRequestInterval is the time between requests for the lists of other processes, and maxListRequests is how
	// often they are requested.
	listRequestInterval = 300 * time.Millisecond
	maxListRequests     = 20
)

// listSharing hands the endpoint list of this process over to the other processes of the instance and takes over
// theirs. The list is sent to those that run and saved for those that start later.
type listSharing struct {
	proxy    *httpproxy.Proxy
	group    *hotrestart.ProcessGroup
	log      *logrus.Logger
	bootID   string
	changed  chan struct{} // receives a value after the list has changed
	answered chan struct{} // closed once the list of another process has come
	once     sync.Once     // closes answered
	failing  bool          // the last attempt to publish the list has failed
}

func newListSharing(proxy *httpproxy.Proxy, group *hotrestart.ProcessGroup) *listSharing {
	bootID, _ := os.ReadFile(bootIDPath) // without it, lists count as those of the same boot
	return &listSharing{
		proxy:    proxy,
		group:    group,
		log:      proxy.Logger,
		bootID:   strings.TrimSpace(string(bootID)),
		changed:  make(chan struct{}, 1),
		answered: make(chan struct{}),
	}
}

// start sets the functions by which the group exchanges lists, and makes the engine begin with the saved list. While
// another process serves, the saved list is only read if that process doesn't answer in time, or if the source has to
// resume from it. start must be called before the engine and the group run.
func (s *listSharing) start() {
	if s.group.Name() == "" {
		return // there is no directory
	}
	s.proxy.ListChanged = s.notify
	_, resumes := s.proxy.Source.(discovery.Resumer)
	if s.group.Processes() == 1 || resumes {
		s.proxy.HandedOver = s.load(func() { s.proxy.Counters.HandoversRefused++ })
	}
	s.group.ShareLists(s.export, s.receive)
	go s.publishChanges()
}

// notify notes that the list has changed. It doesn't block.
func (s *listSharing) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// load returns the saved list. Its State is nil if there is none that can be used; refused is called if one is refused.
func (s *listSharing) load(refused func()) engine.HandedOver {
	encoded, err := s.group.SavedList()
	if err == nil && encoded == nil {
		return engine.HandedOver{}
	}
	var state *liststate.State
	if err == nil {
		state, err = liststate.Decode(encoded)
	}
	if err != nil {
		s.logRefusal(err)
		refused()
		return engine.HandedOver{}
	}
	if state.BootID != s.bootID {
		state.AfterReboot()
	}
	s.log.WithFields(logrus.Fields{"endpoints": len(state.Endpoints), "revision": state.Revision}).
		Info("hot restart: saved endpoint list of an earlier process loaded")
	return engine.HandedOver{State: state, Serving: s.group.IsServing(state.Writer)}
}

// countRefusal counts a refused list while the loop runs.
func (s *listSharing) countRefusal() {
	s.proxy.RunOnLoop(func() { s.proxy.Counters.HandoversRefused++ })
}

// logRefusal logs why a list of another process is not used.
func (s *listSharing) logRefusal(err error) {
	s.log.WithError(err).
		Error("hot restart: endpoint list of the other process refused: what it was told is known only as far as " +
			"this process is told it too")
}

// export returns the encoded list of this process, or nil if it has none.
func (s *listSharing) export() []byte {
	var state *liststate.State
	if !s.proxy.RunOnLoop(func() { state = s.proxy.ExportList() }) || state == nil {
		return nil
	}
	state.BootID = s.bootID
	state.Writer = s.group.Name()
	encoded, err := state.Encode()
	if err != nil {
		s.log.WithError(err).Error("hot restart: endpoint list cannot be encoded")
		return nil
	}
	return encoded
}

// receive takes over the encoded list of another process. An empty one means that the process has none.
func (s *listSharing) receive(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	state, err := liststate.Decode(encoded)
	if err != nil {
		s.logRefusal(err)
		s.countRefusal()
		return
	}
	s.once.Do(func() { close(s.answered) })
	s.importList(engine.HandedOver{State: state, Serving: true})
}

// importList passes the list of another process to the engine.
func (s *listSharing) importList(list engine.HandedOver) {
	replaced := false
	s.proxy.RunOnLoop(func() { replaced = s.proxy.ImportList(s.proxy.Clock.Now(), list) })
	if replaced {
		s.log.WithFields(logrus.Fields{"endpoints": len(list.Endpoints), "revision": list.Revision}).
			Info("hot restart: endpoint list of the other process in force")
	}
}

// request requests the lists of the other processes until one has handed over its list. If that takes long, or no
// other process is left, the saved list is used meanwhile.
func (s *listSharing) request() {
	for n := range maxListRequests {
		s.group.RequestLists()
		select {
		case <-s.answered:
			return
		case <-time.After(listRequestInterval):
		case <-s.proxy.Stopped():
			return
		}
		if n == 0 {
			s.importSaved()
		}
		if s.group.Processes() == 1 {
			return
		}
	}
}

// importSaved uses the saved list, if there is one.
func (s *listSharing) importSaved() {
	if list := s.load(s.countRefusal); list.State != nil {
		s.importList(list)
	}
}

// publishChanges publishes the list whenever it has changed, until the loop has stopped.
func (s *listSharing) publishChanges() {
	for {
		select {
		case <-s.changed:
		case <-s.proxy.Stopped():
			return
		}
		if s.publish() {
			continue
		}
		select {
		case <-time.After(publishRetryInterval):
			s.notify()
		case <-s.proxy.Stopped():
			return
		}
	}
}

// publish sends the list to the other processes and saves it. It returns false if one of the two has failed.
func (s *listSharing) publish() bool {
	encoded := s.export()
	if encoded == nil {
		return true
	}
	sent := s.group.SendList(encoded)
	err := s.group.SaveList(encoded)
	if err != nil && !s.failing {
		s.log.WithError(err).Error("hot restart: endpoint list cannot be saved, trying again every second")
	}
	s.failing = err != nil
	return sent && err == nil
}
