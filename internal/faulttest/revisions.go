package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	revisionsInterval = 100 * time.Millisecond
	leaseInterval     = 20 * time.Millisecond

	// commandTimeout limits a command that may fail.
	commandTimeout = 5 * time.Second
)

// reachableCoordinator returns a coordinator that knows the leader or, if none does, one that runs.
func (c *Cluster) reachableCoordinator() *Process {
	running := c.coordinators[0]
	for _, coordinator := range c.coordinators {
		if !coordinator.Running() || coordinator.stopped {
			continue
		}
		running = coordinator
		knowsLeader := false
		err := coordinator.fetchLines(pathVersions, func(line string) {
			knowsLeader = knowsLeader || strings.Contains(line, "leader \"k")
		})
		if err == nil && knowsLeader {
			return coordinator
		}
	}
	return running
}

// leader returns the leader of the coordinators. If no coordinator names one now, it returns the leader that was named
// last, or the first coordinator if there was none yet.
func (c *Cluster) leader() *Process {
	// Without an answer, the latest known leader is kept.
	_ = c.reachableCoordinator().fetchLines(pathVersions, func(line string) {
		_, text, _ := strings.Cut(line, "leader \"")
		name, _, _ := strings.Cut(text, "\"")
		for _, coordinator := range c.coordinators {
			if string(coordinator.Name) == name {
				c.lastLeader = coordinator
			}
		}
	})
	if c.lastLeader == nil {
		return c.coordinators[0]
	}
	return c.lastLeader
}

// revisions are the revisions that a coordinator knows.
type revisions struct {
	active int
	next   int // differs from active while a change is in progress
	last   int // the highest that was proposed
}

// revisions gets the revisions that the coordinator knows.
func (p *Process) revisions() (revisions, error) {
	var known revisions
	err := p.fetchLines(pathVersions, func(line string) {
		// The page has other lines too, which do not match.
		_, _ = fmt.Sscanf(line, "in force %d, coming %d, last %d,", &known.active, &known.next, &known.last)
	})
	return known, err
}

// readRevisions waits until no change is in progress, and stores the active and the latest revision.
func (c *Cluster) readRevisions() error {
	for end := time.Now().Add(convergeTimeout); time.Now().Before(end); time.Sleep(revisionsInterval) {
		changing := false
		for _, coordinator := range c.coordinators {
			if !coordinator.Running() {
				continue
			}
			known, err := coordinator.revisions()
			if err != nil || known.last < c.lastRevision {
				continue // a coordinator that has just started may not have caught up
			}
			c.upToDate = coordinator
			c.activeRevision = known.active
			c.lastRevision = known.last
			changing = known.next != known.active
		}
		if c.upToDate != nil && !changing {
			return nil
		}
	}
	return errors.New("no coordinator answers, or a change of the rules does not end")
}

// waitForLeases waits until every sidecar has a lease on the active revision.
func (c *Cluster) waitForLeases(ctx context.Context, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, instance := range c.instances {
		for {
			values := instance.Metrics(metricRevision, metricLeased)
			revision := values[0]
			leased := values[1]
			if int(revision) == c.activeRevision && leased == 1 {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s applies revision %.0f (lease %.0f), want revision %d",
					instance.Name, revision, leased, c.activeRevision)
			}
			time.Sleep(leaseInterval)
		}
	}
	return nil
}

// activeRuleSet returns the script's rule set that is active, nil if none is.
func (c *Cluster) activeRuleSet() *RuleSet {
	text, _ := c.revisionText(c.activeRevision) // without an answer no rule set is known
	name := ""
	for line := range strings.Lines(text) {
		if comment, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "# "); found {
			name = comment
		}
	}
	for i := range c.script.RuleSets {
		if c.script.RuleSets[i].Name == name {
			return &c.script.RuleSets[i]
		}
	}
	return nil
}

// countTables counts the different slot tables that the sidecars have. It reads the table of each sidecar from that
// sidecar's own page, as the other sidecars' knowledge of its table may be half a minute old.
func (c *Cluster) countTables() int {
	tables := map[string]bool{}
	for _, instance := range c.instances {
		_ = instance.fetchLines(pathPeers, func(line string) { // the caller tries again until there is one table
			if strings.HasPrefix(line, string(instance.Name)+" ") {
				_, table, _ := strings.Cut(line, "table=")
				tables[table] = true
			}
		})
	}
	return len(tables)
}

// changeRules runs the program's command for an action and records its result as a change.
func (p *player) changeRules(ctx context.Context, action Action, target *Process) {
	args := p.commandArguments(action)
	applied := RuleChange{Version: action.RuleSet, At: time.Since(p.start).Seconds()}
	if applied.Version == "" {
		applied.Version = strings.Join(args[:2], " ")
	}
	args = append(args, "--to", target.metricsAddress)
	start := time.Now()
	p.mu.Lock()
	p.result.Applied = append(p.result.Applied, applied)
	index := len(p.result.Applied) - 1
	p.mu.Unlock()
	if action.MayFail {
		limited, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		ctx = limited
	}
	output, err := exec.CommandContext(ctx, p.program, args...).CombinedOutput()
	p.mu.Lock()
	defer p.mu.Unlock()
	result := &p.result.Applied[index]
	_, _ = fmt.Sscanf(string(output), "version %d", &result.Number) // a command that failed names no revision
	result.Agreed = time.Since(start).Seconds()
	if err == nil {
		return
	}
	result.Failed = strings.TrimSpace(string(output)) + " " + err.Error()
	if !action.MayFail {
		p.result.Failed = append(p.result.Failed, strings.Join(args, " ")+": "+result.Failed)
	}
}

// commandArguments returns the command of the program that carries out an action.
func (c *Cluster) commandArguments(action Action) []string {
	switch action.Kind {
	case actionRollback:
		return []string{"rollback", strconv.Itoa(action.Revision), "--wait", "30s"}
	case actionWithdraw:
		return []string{"withdraw", strconv.Itoa(action.Revision)}
	default:
		return []string{"apply", c.ruleSetPath(action.RuleSet), "--wait", "30s"}
	}
}
