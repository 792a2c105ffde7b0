// Package group keeps versions: a few keepers agree on their order by hashicorp/raft, and the one that leads grants leases on what is in force.
// What is decided stands in internal/agreement; here stand the log, the disk and the network. docs/agreement.md.
package coordinator

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/membership"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// Member is one keeper, as all of them are told.
type Member struct {
	Name         string
	RaftAddress  string // address of its log
	AdminAddress string // address at which versions are applied and shown
}

// Config is what a keeper is told.
type Config struct {
	Name      string
	Directory string
	Listen    string // for other keepers
	Cluster   string
	Key       []byte
	Members   []Member // this one too
	Lease     policy.Time
	Drift     float64
	Validate  func(text, inForce []byte) error // whether a version can follow on another; nil: there is none
	// AssignSlots gives the slots' owners of a text that follows on a version, nil: there is none; nothing where it names no servers.
	AssignSlots func(text []byte, inForce *ruleset.Revision) []byte
}

const (
	// A leader is looked for after half a second of silence: shorter than a lease, so that its loss costs few of them.
	silence   = 500 * time.Millisecond
	leadSpan  = 400 * time.Millisecond
	commitIn  = 20 * time.Millisecond
	applyIn   = 5 * time.Second
	dropEvery = 50 * time.Millisecond
	entries   = 64 // of the log before it is folded into a snapshot
	// A keeper whose log was damaged no longer knows whom it has voted for. It says nothing until every election of that time is long over.
	quietFor  = 10 * time.Second
	mostAsked = 4096 // questions that wait for one round
	mostPages = 32   // versions being sent at once
	tellEvery = time.Second
)

// Errors of what a keeper is asked.
var (
	ErrNotLeader = errors.New("another keeper leads")
	errUnknown   = errors.New("it is not known whether the group has agreed, see what is in force")
	errNoLeader  = errors.New("no keeper leads: most of them are not there, or cannot reach each other")
)

type question struct {
	from  string
	ask   uint64
	knows []ruleset.RevisionNumber
	came  policy.Time
}

// Coordinator is one of the group.
type Coordinator struct {
	post   Config
	log    *logrus.Logger
	raft   *raft.Raft
	kept   kept
	stream *stream
	stop   chan struct{}
	ended  sync.WaitGroup

	company atomic.Pointer[membership.Cluster]

	mu      sync.Mutex
	book    ruleset.RevisionLog
	granter *ruleset.LeaseIssuer // nil: it does not lead
	asked   []question
	told    map[string]time.Time // when a sidecar was last sent pages
	begun   policy.Time          // of the change under way

	rung                         chan struct{}
	room                         chan struct{}
	grants, rounds, failed, sent atomic.Uint64
	sentBytes, unreadable        atomic.Uint64
}

// Open begins to keep. Errors: the address or the folder cannot be used.
func Open(p Config, log *logrus.Logger) (k *Coordinator, err error) {
	k = &Coordinator{post: p, log: log, stop: make(chan struct{}), told: map[string]time.Time{}, rung: make(chan struct{}, 1),
		room: make(chan struct{}, mostPages)}
	quiet := quietly(log)
	var beside string
	if k.kept, beside, err = open(p.Directory, log, quiet); err != nil {
		return nil, err
	}
	if beside != "" {
		log.Warnf("keep: says nothing for %v, until no election is under way that it may have voted in", quietFor)
		time.Sleep(quietFor)
	}
	if k.stream, err = listen(p); err != nil {
		return nil, errors.Join(err, k.kept.Close())
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(p.Name), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = silence, silence, leadSpan, commitIn
	c.SnapshotThreshold, c.TrailingLogs = entries, entries
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: at{k.stream, k.own()}, MaxPool: 2, Timeout: 2 * time.Second,
		Logger: quiet})
	if k.kept.fresh && beside == "" {
		var servers []raft.Server
		for _, m := range p.Members {
			servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.RaftAddress)})
		}
		if err := raft.BootstrapCluster(c, k.kept, k.kept, k.kept.snaps, transport, raft.Configuration{Servers: servers}); err != nil {
			return nil, errors.Join(err, transport.Close(), k.kept.Close())
		}
	}
	if k.raft, err = raft.NewRaft(c, (*pen)(k), k.kept, k.kept, k.kept.snaps, transport); err != nil {
		return nil, errors.Join(err, transport.Close(), k.kept.Close())
	}
	k.ended.Go(k.lead)
	k.ended.Go(k.answer)
	k.ended.Go(k.drop)
	return k, nil
}

func (k *Coordinator) own() string {
	i := slices.IndexFunc(k.post.Members, func(m Member) bool { return m.Name == k.post.Name })
	return k.post.Members[i].RaftAddress
}

// JoinCluster tells the company by which sidecars are answered.
func (k *Coordinator) JoinCluster(c *membership.Cluster) { k.company.Store(c) }

// Close ends it; who leads hands that over first, so that nobody need find out.
func (k *Coordinator) Close() {
	close(k.stop)
	if k.raft.State() == raft.Leader && len(k.post.Members) > 1 {
		k.raft.LeadershipTransfer().Error() // if none can take it, the others find out
	}
	k.raft.Shutdown().Error()
	k.ended.Wait()
	k.stream.Close()
	k.kept.Close()
}

// HandleMessage takes what a sidecar has sent; it does not wait.
func (k *Coordinator) HandleMessage(b []byte) {
	ears := ruleset.MessageHandler{LeaseRequest: func(from string, ask uint64, knows []ruleset.RevisionNumber) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.granter == nil || len(k.asked) >= mostAsked {
			return // who leads is asked too
		}
		k.asked = append(k.asked, question{from, ask, knows, clock.LeaseTime()})
		k.ring()
	}}
	if !ears.Handle(b) {
		k.unreadable.Add(1)
	}
}

// write has the group agree on a line of the log.
func (k *Coordinator) write(verb string, of ...any) error {
	b, err := cbor.Marshal(append([]any{verb}, of...))
	if err != nil {
		return err
	}
	f := k.raft.Apply(b, applyIn)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	case err != nil:
		return errors.Join(errUnknown, err)
	}
	if err, is := f.Response().(error); is {
		return err
	}
	return nil
}

// Leader is who leads, as far as this one knows.
func (k *Coordinator) Leader() (Member, error) {
	_, id := k.raft.LeaderWithID()
	i := slices.IndexFunc(k.post.Members, func(m Member) bool { return m.Name == string(id) })
	if i < 0 {
		return Member{}, errNoLeader
	}
	return k.post.Members[i], nil
}

// Apply proposes a text on top of the latest version that its author saw; back is the number of a version that it has the text of, or 0.
// Errors: ErrNotLeading, why it is refused, or that its fate is not known.
func (k *Coordinator) Apply(text []byte, back, last ruleset.RevisionNumber, author string) (ruleset.RevisionNumber, error) {
	if _, err := k.Leader(); err != nil {
		return 0, err
	}
	if k.raft.State() != raft.Leader {
		return 0, ErrNotLeader
	}
	text, inForce, on, err := k.check(text, back)
	if err != nil {
		return 0, err
	}
	if err := k.write("apply", text, k.post.AssignSlots(text, inForce), uint64(back), uint64(last), uint64(on), author, time.Now().UnixNano()); err != nil {
		return 0, err
	}
	return last + 1, nil
}

// check tells why the text, or that of the version gone back to, cannot follow on what is in force; and gives the text and what that is.
func (k *Coordinator) check(text []byte, back ruleset.RevisionNumber) ([]byte, *ruleset.Revision, ruleset.RevisionNumber, error) {
	b := k.RevisionLog()
	var inForce *ruleset.Revision
	var follows []byte
	for i, p := range b.Revisions {
		if p.Number == b.Active {
			inForce, follows = &b.Revisions[i], p.Text
		}
		if back > 0 && p.Number == back {
			text = p.Text
		}
	}
	return text, inForce, b.Active, k.post.Validate(text, follows)
}

// dry tells why it would be refused.
func (k *Coordinator) dry(text []byte, back, last ruleset.RevisionNumber) error {
	text, _, on, err := k.check(text, back)
	if err != nil {
		return err
	}
	b := k.RevisionLog()
	if back > 0 {
		return b.ProposeRollback(back, ruleset.Revision{}, last, on)
	}
	return b.Propose(ruleset.Revision{Text: text}, last, on)
}

// Withdraw ends the change to that version while it is under way.
func (k *Coordinator) Withdraw(n ruleset.RevisionNumber) error {
	if k.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	return k.write("withdraw", uint64(n))
}

// RevisionLog is what this keeper knows to be agreed on.
func (k *Coordinator) RevisionLog() ruleset.RevisionLog {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.book
	b.Revisions = slices.Clone(b.Revisions)
	return b
}

// EachMetric hands over what is counted.
func (k *Coordinator) EachMetric(each func(name string, value float64, rises bool)) {
	k.mu.Lock()
	old, coming, leads := k.book.Active, k.book.Next, k.granter != nil
	k.mu.Unlock()
	each("keep_version", float64(old), false)
	each("keep_coming", float64(coming), false)
	each("keep_leads", map[bool]float64{true: 1}[leads], false)
	each("keep_grants", float64(k.grants.Load()), true)
	each("keep_rounds", float64(k.rounds.Load()), true)
	each("keep_rounds_failed", float64(k.failed.Load()), true)
	each("keep_versions_sent", float64(k.sent.Load()), true)
	each("keep_versions_sent_bytes", float64(k.sentBytes.Load()), true)
	each("keep_unreadable", float64(k.unreadable.Load()), true)
	each("keep_strangers", float64(k.stream.refused.Load()), true)
}
