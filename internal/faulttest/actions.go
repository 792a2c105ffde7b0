package faulttest

import (
	"context"
	"math"
	"sync"
	"time"

	"pepperlead/internal/faultproxy"
)

// Kinds of actions of a script.
const (
	actionApply     = "apply"
	actionRollback  = "rollback"
	actionWithdraw  = "withdraw"
	actionPartition = "part"
	actionBlock     = "cut"
	actionWeather   = "weather"
	actionList      = "list"
	actionHeal      = "heal"
	actionStall     = "stall"
	actionContinue  = "go"
	actionKill      = "kill"
	actionStart     = "start"
	actionThrottle  = "throttle"
	actionFillDisk  = "fill-disk"
	actionDamage    = "damage"
)

// revisionInterval is the time between two reads of the sidecars' active revisions.
const revisionInterval = 10 * time.Millisecond

// waitFor waits until an action is due: at its time plus a random jitter or, if it waits for a revision, its
// delay After once enough sidecars apply that revision.
func (p *player) waitFor(ctx context.Context, action Action) error {
	var jitter time.Duration
	if p.script.Jitter > 0 {
		jitter = time.Duration(p.random.Int64N(int64(p.script.Jitter)))
	}
	if action.At >= 0 {
		_ = sleep(ctx, action.At+jitter-time.Since(p.start)) // the context's error is returned below
		return ctx.Err()
	}
	p.waitForRevision(ctx, action)
	_ = sleep(ctx, action.After) // the context's error is returned below
	return ctx.Err()
}

// waitForRevision waits until the action's share of the sidecars applies its revision, for convergeTimeout at most.
func (p *player) waitForRevision(ctx context.Context, action Action) {
	required := int(math.Ceil(action.Share * float64(len(p.instances))))
	atRevision := map[*Process]bool{}
	end := time.Now().Add(convergeTimeout)
	for len(atRevision) < required && ctx.Err() == nil && time.Now().Before(end) {
		for _, instance := range p.instances {
			if len(atRevision) == required {
				break
			}
			if !atRevision[instance] && instance.Metric(metricRevision) >= float64(action.AwaitedRevision) {
				atRevision[instance] = true
			}
		}
		_ = sleep(ctx, revisionInterval) // the loop's condition checks the context
	}
}

// do carries out an action.
func (p *player) do(ctx context.Context, action Action) {
	targets := p.processes(action.Targets)
	switch action.Kind {
	case actionApply, actionRollback, actionWithdraw:
		p.startChange(ctx, action, targets)
	case actionPartition:
		p.Links.Partition(p.nodes(action.From), p.nodes(action.To))
	case actionBlock:
		p.blockLinks(p.nodes(action.From), p.nodes(action.To))
	case actionWeather:
		p.disturbAll(action)
	case actionList:
		p.announce(action.Ready, action.Draining)
	case actionHeal:
		p.Links.Heal()
	case actionStall:
		p.stall(targets)
	case actionKill:
		p.kill(targets)
	case actionContinue, actionStart:
		p.forEach(action, targets, p.resume)
	case actionThrottle:
		for _, target := range targets {
			p.background.Go(func() { target.throttle(ctx, p.scriptEnded) })
		}
	case actionFillDisk:
		p.forEach(action, targets, (*Process).fillDisk)
	case actionDamage:
		p.forEach(action, targets, (*Process).damage)
	}
}

// forEach calls do for each process and records the errors.
func (p *player) forEach(action Action, targets []*Process, do func(*Process) error) {
	for _, target := range targets {
		if err := do(target); err != nil {
			p.fail(action.Kind + ": " + err.Error())
		}
	}
}

// fail adds a failure to the result.
func (p *player) fail(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Failed = append(p.result.Failed, text)
}

// startChange starts a change of the rule set in the background, at the first target or, without targets, at a
// coordinator that can be reached.
func (p *player) startChange(ctx context.Context, action Action, targets []*Process) {
	target := p.reachableCoordinator()
	if len(targets) > 0 {
		target = targets[0]
	}
	p.background.Go(func() { p.changeRules(ctx, action, target) })
}

// blockLinks blocks the links from some nodes to others, but not those in the opposite direction.
func (p *player) blockLinks(from, to []faultproxy.Node) {
	for _, source := range from {
		for _, target := range to {
			p.Links.Set(faultproxy.Link{From: source, To: target}, faultproxy.Faults{Blocked: true})
		}
	}
}

// disturbAll sets the action's loss, duplication and delay on all links between processes.
func (p *player) disturbAll(action Action) {
	faults := faultproxy.Faults{
		Drop:      action.Drop,
		Duplicate: action.Duplicate,
		Delay:     action.Delay,
		Jitter:    action.DelayJitter,
	}
	for _, from := range p.Processes {
		for _, to := range p.Processes {
			if from != to {
				p.Links.Set(faultproxy.Link{From: from.Name, To: to.Name}, faults)
			}
		}
	}
}

func (p *player) stall(targets []*Process) {
	for _, target := range targets {
		p.noteDown(target)
		target.SetStalled(true)
	}
}

// kill kills all targets at the same time.
func (p *player) kill(targets []*Process) {
	for _, target := range targets {
		p.noteDown(target)
	}
	var killing sync.WaitGroup
	for _, target := range targets {
		killing.Go(target.Kill)
	}
	killing.Wait()
}
