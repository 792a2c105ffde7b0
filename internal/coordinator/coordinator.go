// Package coordinator replicates the revision log of a cluster's settings and issues leases on it. A few coordinators
// agree on the log with hashicorp/raft; the leader answers the lease requests of the instances.
//
// Package ruleset implements the decisions; this package adds the replicated log, storage, authentication and the admin
// interface. The design is described in docs/agreement.md.
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
	// leader fails.
	heartbeatTimeout   = 500 * time.Millisecond
	leaderLeaseTimeout = 400 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
	applyTimeout       = 5 * time.Second
	// snapshotEntries is both the number of new log entries that trigger a snapshot and the number of entries that stay
	// in the log after one.
	snapshotEntries = 64

	transportPoolSize = 2 // connections kept open to each other coordinator
	transportTimeout  = 2 * time.Second

	// damagedStorePause is how long a coordinator whose store was damaged waits before it joins the group. It has lost
	// the record of its votes, so it must not vote before every election in which it may have voted is over.
	damagedStorePause = 10 * time.Second
)

// Errors of requests to a coordinator. Their texts are shown to operators.
var (
	ErrNotLeader      = errors.New("this coordinator is not the leader")
	errOutcomeUnknown = errors.New("outcome unknown: the change may have been committed, check the revision log")
	errNoLeader       = errors.New("no leader: there is no quorum of coordinators that can reach each other")
)

// Member describes one coordinator of the group. All coordinators have the same list of members.
type Member struct {
	Name         string
	RaftAddress  string
	AdminAddress string
}

// Config configures a coordinator.
type Config struct {
	Name          string // name of this coordinator's entry in Members
	Directory     string // directory of the store
	Listen        string // address for connections of the other coordinators
	Cluster       string
	Key           []byte // key that all coordinators and instances of the cluster share
	Members       []Member
	LeaseDuration policy.Time
	ClockDrift    float64 // maximum difference between the rates of two clocks, as a fraction
	// Validate returns the reason why a text can't replace the one in force, or nil. inForce is nil if no revision is
	// in force.
	Validate func(text, inForce []byte) error
	// AssignSlots returns the slot assignment of a text that replaces the revision in force, or nil for a text that
	// names no endpoints. inForce is nil if no revision is in force.
	AssignSlots func(text []byte, inForce *ruleset.Revision) []byte
}

// member returns the member entry of this coordinator.
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
	revisionsSentAt map[string]time.Time // when revisions were last sent to an instance, by its address
	changeBegan     policy.Time          // when the change in progress began

	requestsPending chan struct{} // holds a signal while pendingRequests may hold requests
	revisionSends   chan struct{} // semaphore of concurrent transfers of revisions
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

// startRaft joins the group. A coordinator with a fresh store bootstraps the group, unless the store is fresh because
// the previous one was damaged: its contents then come from the other coordinators. After an error the coordinator's
// stream is closed.
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

// JoinCluster sets the cluster through which the coordinator answers instances.
func (c *Coordinator) JoinCluster(cluster *membership.Cluster) { c.cluster.Store(cluster) }

// Close stops the coordinator. A leader transfers its leadership first, so that the others need not wait for the
// election timeout.
func (c *Coordinator) Close() {
	close(c.stop)
	if c.raft.State() == raft.Leader && len(c.config.Members) > 1 {
		_ = c.raft.LeadershipTransfer().Error() // after a failure the others hold an election
	}
	_ = c.raft.Shutdown().Error() // waits for the shutdown; the error is always nil
	c.loops.Wait()
	_ = c.stream.Close() // already closed by raft's transport, unless that failed to start
	if err := c.store.Close(); err != nil {
		c.log.WithError(err).Warn("close of the coordinator's store failed")
	}
}

// Leader returns the leader as far as this coordinator knows, or an error if it knows of none.
func (c *Coordinator) Leader() (Member, error) {
	_, id := c.raft.LeaderWithID()
	i := slices.IndexFunc(c.config.Members, func(member Member) bool { return member.Name == string(id) })
	if i < 0 {
		return Member{}, errNoLeader
	}
	return c.config.Members[i], nil
}

// RevisionLog returns a copy of the revision log as far as this coordinator knows it to be committed.
func (c *Coordinator) RevisionLog() ruleset.RevisionLog {
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.revisionLog
	log.Revisions = slices.Clone(log.Revisions)
	return log
}

// commit replicates a command to the group and returns the error of applying it. The error is ErrNotLeader if this
// coordinator can't commit it, and wraps errOutcomeUnknown if it may or may not have been committed.
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
