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

// ReadCoordinatorConfig takes what a keeper is told from the file.
func ReadCoordinatorConfig(path string) (*config.CoordinatorConfig, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.ReadCoordinator(path, b)
}

// ValidateRules tells why a text can be no version, or can none follow on the one that is in force, nil where there is none yet. The error has a
// line for each fault.
func ValidateRules(file string, text, inForce []byte) error {
	next, err := config.ReadRules(file, text)
	if err != nil || inForce == nil || next.Endpoints == nil {
		return err
	}
	now, err := config.ReadRules("in force", inForce)
	if err != nil || now.Endpoints == nil {
		return nil // what is in force was taken in by an older keeper
	}
	ready := map[policy.EndpointID]bool{}
	for _, s := range now.Endpoints {
		ready[s.ID] = s.Status == policy.Ready
	}
	for _, s := range next.Endpoints {
		if s.Status == policy.Ready && ready[s.ID] && !slices.Contains(next.Drained, s.ID) && !slices.Contains(now.Drained, s.ID) {
			return nil
		}
	}
	// While a change is under way only servers that both name are used: it would be an outage.
	return fmt.Errorf("%s: server: found none that the version in force has ready too, allowed a change that keeps one: make it in two", file)
}

// dealt gives the slots' owners of a version that follows on another.
func dealt(text []byte, inForce *ruleset.Revision) []byte {
	next, err := config.ReadRules("version", text)
	if err != nil || next.Endpoints == nil {
		return nil
	}
	var was []policy.Member
	var table []policy.EndpointID
	if inForce != nil {
		if v, err := config.ReadRules("in force", inForce.Text); err == nil {
			was = members(v.Endpoints)
			table = policy.DecodeTable(inForce.Table, was)
		}
	}
	return policy.EncodeTable(policy.AssignSlots(table, was, members(next.Endpoints)), members(next.Endpoints))
}

// RunCoordinator runs a keeper of versions until it is told to end.
func RunCoordinator(k *config.CoordinatorConfig, log *logrus.Logger) error {
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	key, err := membership.ReadKey(k.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	post := coordinator.Config{Name: k.Name, Directory: k.Directory, Listen: k.Listen, Cluster: k.Peers.Cluster, Key: key, LeaseDuration: k.Lease, ClockDrift: k.Drift,
		Validate: func(text, inForce []byte) error { return ValidateRules("version", text, inForce) }, AssignSlots: dealt}
	for _, m := range k.Members {
		post.Members = append(post.Members, coordinator.Member{Name: m.Name, RaftAddress: m.RaftAddress, AdminAddress: m.AdminAddress})
	}
	keeper, err := coordinator.Open(post, log)
	if err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	defer keeper.Close()
	pages, err := coordinator.ListenAdmin(keeper)
	if err != nil {
		return fmt.Errorf("pages: %w", err)
	}
	defer pages.Close()
	company, err := membership.Open(membership.Config{Name: k.Name, Cluster: k.Peers.Cluster, Listen: k.Peers.Listen, Advertise: k.Peers.Advertise,
		Join: k.Peers.Join, Key: key, Coordinator: true, OnMessage: keeper.HandleMessage}, log)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer company.Close()
	keeper.JoinCluster(company)
	log.WithField("pages", pages.Address).Info("keeping")
	<-stop
	log.Info("keep: ends")
	return nil
}
