package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/config"
	"pepperlead/internal/coordinator"
	"pepperlead/internal/membership"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// ReadCoordinatorConfig reads a coordinator's settings file.
func ReadCoordinatorConfig(path string) (*config.CoordinatorConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.ReadCoordinator(path, text)
}

// ValidateRules checks that a text is a valid revision and can follow the revision in force, whose text is inForce, or
// nil if no revision is in force. The error has a line for each fault.
func ValidateRules(file string, text, inForce []byte) error {
	next, err := config.ReadRules(file, text)
	if err != nil || inForce == nil || next.Endpoints == nil {
		return err
	}
	active, err := config.ReadRules("in force", inForce)
	if err != nil || active.Endpoints == nil {
		return nil // an older coordinator accepted a text that this one can't read
	}
	if !hasReadyEndpoint(active, next) {
		return fmt.Errorf("%s: server: found no endpoint that is also ready in the revision in force, "+
			"allowed a change that keeps at least one: make this change in two revisions", file)
	}
	return nil
}

// hasReadyEndpoint reports whether at least one endpoint is ready and not drained in both the active and the next
// rules. While a change is in progress only such endpoints are used, so a change without any would be an outage.
func hasReadyEndpoint(active, next *config.Rules) bool {
	ready := map[policy.EndpointID]bool{}
	for _, endpoint := range active.Endpoints {
		ready[endpoint.ID] = endpoint.Status == policy.Ready
	}
	for _, endpoint := range next.Endpoints {
		drained := slices.Contains(next.Drained, endpoint.ID) || slices.Contains(active.Drained, endpoint.ID)
		if endpoint.Status == policy.Ready && ready[endpoint.ID] && !drained {
			return true
		}
	}
	return false
}

// assignSlots returns the encoded slot table for the rules in a text. The table is derived from that of inForce, the
// revision in force, which is nil if there is none. assignSlots returns nil if the text can't be read or names no
// endpoints.
func assignSlots(text []byte, inForce *ruleset.Revision) []byte {
	next, err := config.ReadRules("version", text)
	if err != nil || next.Endpoints == nil {
		return nil
	}
	var previousMembers []policy.Member
	var previousTable []policy.EndpointID
	if inForce != nil {
		if active, err := config.ReadRules("in force", inForce.Text); err == nil {
			previousMembers = membersOf(active.Endpoints)
			previousTable = policy.DecodeTable(inForce.Table, previousMembers)
		}
	}
	members := membersOf(next.Endpoints)
	return policy.EncodeTable(policy.AssignSlots(previousTable, previousMembers, members), members)
}

// RunCoordinator runs a coordinator until the process receives SIGTERM or SIGINT.
func RunCoordinator(settings *config.CoordinatorConfig, log *logrus.Logger) error {
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	key, err := membership.ReadKey(settings.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	member, err := coordinator.Open(coordinatorConfig(settings, key), log)
	if err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	defer member.Close()
	server, err := coordinator.ListenAdmin(member)
	if err != nil {
		return fmt.Errorf("pages: %w", err)
	}
	defer func() { _ = server.Close() }() // an error doesn't matter: the process is about to end
	cluster, err := membership.Open(membership.Config{
		Name:        settings.Name,
		Cluster:     settings.Peers.Cluster,
		Listen:      settings.Peers.Listen,
		Advertise:   settings.Peers.Advertise,
		Join:        settings.Peers.Join,
		Key:         key,
		Coordinator: true,
		OnMessage:   member.HandleMessage,
	}, log)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer cluster.Close()
	member.JoinCluster(cluster)
	log.WithField("admin_address", server.Address).Info("coordinator started")
	<-stop
	log.Info("coordinator shutting down")
	return nil
}

// coordinatorConfig builds a coordinator's configuration from its settings file and the cluster's key.
func coordinatorConfig(settings *config.CoordinatorConfig, key []byte) coordinator.Config {
	result := coordinator.Config{
		Name:          settings.Name,
		Directory:     settings.Directory,
		Listen:        settings.Listen,
		Cluster:       settings.Peers.Cluster,
		Key:           key,
		LeaseDuration: settings.Lease,
		ClockDrift:    settings.Drift,
		Validate: func(text, inForce []byte) error {
			return ValidateRules("version", text, inForce)
		},
		AssignSlots: assignSlots,
	}
	for _, entry := range settings.Members {
		result.Members = append(result.Members, coordinator.Member{
			Name:         entry.Name,
			RaftAddress:  entry.RaftAddress,
			AdminAddress: entry.AdminAddress,
		})
	}
	return result
}
