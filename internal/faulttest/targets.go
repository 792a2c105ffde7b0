package faulttest

import (
	"slices"

	"pepperlead/internal/faultproxy"
)

// Names that stand in scripts for groups of processes, or for single processes that are chosen at run time.
const (
	targetInstances    = "sidecars"
	targetCoordinators = "keepers"
	targetEndpoints    = "servers"
	targetAll          = "all"
	targetOne          = "one"     // a sidecar
	targetAnother      = "another" // a sidecar other than "one"
	targetHalf         = "half"    // half of the sidecars, among them "one"
	targetOthers       = "others"  // the sidecars that are not in "half"
	targetLeader       = "leader"
	targetFollowers    = "followers"
)

// processes returns the processes that the names of a script stand for.
func (p *player) processes(names []string) []*Process {
	var found []*Process
	for _, name := range names {
		found = append(found, p.processesNamed(name)...)
	}
	return found
}

func (p *player) processesNamed(name string) []*Process {
	half := (len(p.shuffled) + 1) / 2
	switch name {
	case targetInstances:
		return p.instances
	case targetCoordinators:
		return p.coordinators
	case targetAll:
		return p.Processes
	case targetOne:
		return p.shuffled[:1]
	case targetAnother:
		return p.shuffled[len(p.shuffled)-1:]
	case targetHalf:
		return p.shuffled[:half]
	case targetOthers:
		return p.shuffled[half:]
	case targetLeader:
		return []*Process{p.leader()}
	case targetFollowers:
		return without(p.coordinators, p.leader())
	}
	var found []*Process
	for _, process := range p.Processes {
		if string(process.Name) == name {
			found = append(found, process)
		}
	}
	return found
}

func without(processes []*Process, excluded *Process) []*Process {
	var others []*Process
	for _, process := range processes {
		if process != excluded {
			others = append(others, process)
		}
	}
	return others
}

// nodes returns the processes, endpoints and discovery that the names of a script stand for.
func (p *player) nodes(names []string) []faultproxy.Node {
	var found []faultproxy.Node
	for _, process := range p.processes(names) {
		found = append(found, process.Name)
	}
	for _, name := range p.endpointNames {
		if slices.Contains(names, name) || slices.Contains(names, targetEndpoints) {
			found = append(found, faultproxy.Node(name))
		}
	}
	if slices.Contains(names, string(discoveryNode)) {
		found = append(found, discoveryNode)
	}
	return found
}
