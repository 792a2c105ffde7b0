// Package coordinator replicates the revision log of a cluster's settings and issues leases on it. A few coordinators
// agree on the log with hashicorp/raft; the leader answers the lease requests of the instances.
//
// Package ruleset decides; this package adds the replicated log, storage, authentication and the admin pages. The
// design is in docs/agreement.md.
package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/membership"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

const (
	// heartbeatTimeout is also the election timeout. It is shorter than a lease, so that few leases expire when the
	// leader is lost.
	heartbeatTimeout   = 500 * time.Millisecond
	leaderLeaseTimeout = 400 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
	applyTimeout       = 5 * time.Second
	// snapshotEntries is both how many log entries lead to a snapshot and how many are kept behind it.
	snapshotEntries = 64

	transportPoolSize = 2 // connections kept to each coordinator
	transportTimeout  = 2 * time.Second

	// damagedStorePause is how long a coordinator waits after its store was damaged. It no longer knows whom it voted
	// for, so it must not vote before every election of that time is over.
	damagedStorePause = 10 * time.Second
)

// Errors of requests to a coordinator. Operators see their texts.
var (
	ErrNotLeader      = errors.New("another keeper leads")
	errOutcomeUnknown = errors.New("it is not known whether the group has agreed, see what is in force")
	errNoLeader       = errors.New("no keeper leads: most of them are not there, or cannot reach each other")
)

// Member is one coordinator of the group. All coordinators have the same list of members.
type Member struct {
	Name         string
	RaftAddress  string
	AdminAddress string
}

// Config configures a coordinator.
type Config struct {
	Name          string // the member that this coordinator is
	Directory     string // of its store
	Listen        string // for the other coordinators
	Cluster       string
	Key           []byte // shared by all coordinators and instances of the cluster
	Members       []Member
	LeaseDuration policy.Time
	ClockDrift    float64 // how much faster or slower any two clocks may run, as a fraction
	// Validate returns why a text can't follow the one in force, which is nil if there is none.
	Validate func(text, inForce []byte) error
	// AssignSlots returns the slot assignment of a text that follows the revision in force, nil if there is none. It
	// returns nil for a text that names no endpoints.
	AssignSlots func(text []byte, inForce *ruleset.Revision) []byte
}

// member returns the group's entry for this coordinator.
func (c *Config) member() Member {
	i := slices.IndexFunc(c.Members, func(member Member) bool { return member.Name == c.Name })
	return c.Members[i]
}

// Coordinator is one member of the group.
type Coordinator struct {
	config Config
	log    *logrus.Logger
	raft   *raft.Raft
	store  *store
	stream *streamLayer
	stop   chan struct{}
	loops  sync.WaitGroup

	cluster atomic.Pointer[membership.Cluster] // nil until JoinCluster

	mu              sync.Mutex // guards the fields below
	revisionLog     ruleset.RevisionLog
	leaseIssuer     *ruleset.LeaseIssuer // nil unless this coordinator leads
	pendingRequests []pendingRequest
	revisionsSentAt map[string]time.Time // by the instance's address
	changeBegan     policy.Time

	requestsPending chan struct{} // has an element while pendingRequests may not be empty
	revisionSends   chan struct{} // semaphore of concurrent transfers
	metrics         metrics
}

// Open starts a coordinator. It fails if the address or the directory can't be used.
func Open(config Config, log *logrus.Logger) (*Coordinator, error) {
	c := &Coordinator{
		config:          config,
		log:             log,
		stop:            make(chan struct{}),
		revisionsSentAt: map[string]time.Time{},
		requestsPending: make(chan struct{}, 1),
		revisionSends:   make(chan struct{}, maxRevisionSends),
	}
	raftLogger := newRaftLogger(log)
	var err error
	if c.store, err = openStore(config.Directory, log, raftLogger); err != nil {
		return nil, err
	}
	if c.store.damagedCopy != "" {
		log.WithField("pause", damagedStorePause).
			Warn("waiting until every election this coordinator may have voted in is over")
		time.Sleep(damagedStorePause)
	}
	if c.stream, err = listen(&config); err != nil {
		return nil, errors.Join(err, c.store.Close())
	}
	if err := c.startRaft(raftLogger); err != nil {
		return nil, errors.Join(err, c.store.Close())
	}
	c.loops.Go(c.followLeadership)
	c.loops.Go(c.answerLeaseRequests)
	c.loops.Go(c.completeChanges)
	return c, nil
}

// startRaft joins the group. A coordinator with a fresh store bootstraps it, unless the store is fresh because the
// previous one was damaged. After an error the stream is closed.
func (c *Coordinator) startRaft(logger hclog.Logger) error {
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID = raft.ServerID(c.config.Name)
	raftConfig.Logger = logger
	raftConfig.HeartbeatTimeout = heartbeatTimeout
	raftConfig.ElectionTimeout = heartbeatTimeout
	raftConfig.LeaderLeaseTimeout = leaderLeaseTimeout
	raftConfig.CommitTimeout = commitTimeout
	raftConfig.SnapshotThreshold = snapshotEntries
	raftConfig.TrailingLogs = snapshotEntries
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  advertisedStream{c.stream, advertisedAddress(c.config.member().RaftAddress)},
		MaxPool: transportPoolSize,
		Timeout: transportTimeout,
		Logger:  logger,
	})
	if c.store.fresh && c.store.damagedCopy == "" {
		group := raft.Configuration{Servers: raftServers(c.config.Members)}
		err := raft.BootstrapCluster(raftConfig, c.store, c.store, c.store.snapshots, transport, group)
		if err != nil {
			return errors.Join(err, transport.Close())
		}
	}
	var err error
	c.raft, err = raft.NewRaft(raftConfig, (*stateMachine)(c), c.store, c.store, c.store.snapshots, transport)
	if err != nil {
		return errors.Join(err, transport.Close())
	}
	return nil
}

func raftServers(members []Member) []raft.Server {
	var servers []raft.Server
	for _, member := range members {
		servers = append(servers, raft.Server{
			ID:      raft.ServerID(member.Name),
			Address: raft.ServerAddress(member.RaftAddress),
		})
	}
	return servers
}

// JoinCluster sets the membership through which instances are answered.
func (c *Coordinator) JoinCluster(cluster *membership.Cluster) { c.cluster.Store(cluster) }

// Close stops the coordinator. A leader transfers its leadership first, so that the others need no election timeout.
func (c *Coordinator) Close() {
	close(c.stop)
	if c.raft.State() == raft.Leader && len(c.config.Members) > 1 {
		_ = c.raft.LeadershipTransfer().Error() // if no other can take it, they hold an election
	}
	_ = c.raft.Shutdown().Error() // it waits for the end, and is always nil
	c.loops.Wait()
	_ = c.stream.Close() // raft's transport has closed it, unless it failed to start
	if err := c.store.Close(); err != nil {
		c.log.WithError(err).Warn("close of the coordinator's store failed")
	}
}

// Leader returns the leader that this coordinator knows of.
func (c *Coordinator) Leader() (Member, error) {
	_, id := c.raft.LeaderWithID()
	i := slices.IndexFunc(c.config.Members, func(member Member) bool { return member.Name == string(id) })
	if i < 0 {
		return Member{}, errNoLeader
	}
	return c.config.Members[i], nil
}

// RevisionLog returns a copy of the log as far as this coordinator knows it to be committed.
func (c *Coordinator) RevisionLog() ruleset.RevisionLog {
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.revisionLog
	log.Revisions = slices.Clone(log.Revisions)
	return log
}

// commit has the group commit a command and returns the state machine's error.
func (c *Coordinator) commit(command command) error {
	encoded, err := command.encode()
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	future := c.raft.Apply(encoded, applyTimeout)
	err = future.Error()
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		return ErrNotLeader
	}
	if err != nil {
		return errors.Join(errOutcomeUnknown, err)
	}
	if err, ok := future.Response().(error); ok {
		return err
	}
	return nil
}
