package endpointfiles

import (
	"fmt"
	"maps"
	"slices"

	"pepperlead/policy"
)

// minDivisor keeps the share of a weight of 0 finite.
const minDivisor = 1e-300

// findFault returns why a settled reading is rejected; empty if it isn't.
func (v *Validator) findFault(now policy.Time, files []File) string {
	if len(files) == 0 {
		return "no list file is there"
	}
	for _, file := range files {
		if reason := v.findFileFault(file); reason != "" {
			return reason
		}
	}
	for _, name := range v.limits.RequiredFiles {
		if !slices.ContainsFunc(files, func(file File) bool { return file.Name == name }) {
			return name + ": missing"
		}
	}
	if reason := findConflict(files); reason != "" {
		return reason
	}
	if reason := v.findReturn(now, files); reason != "" {
		return reason
	}
	return v.findRemoval(files)
}

// findFileFault returns why a file can't be used or is older than the one in force; empty if neither holds.
func (v *Validator) findFileFault(file File) string {
	if file.Problem != "" {
		return file.Problem
	}
	if v.limits.RequireDigest && !file.Sealed {
		return file.Name + ": carries no digest, and only sealed lists are taken: seal it"
	}
	last := v.state.Issues[file.Name]
	if file.Issue < last {
		return fmt.Sprintf("%s: issue: found %d, allowed from %d on: an older list than the one in force",
			file.Name, file.Issue, last)
	}
	// After a restart the content of the last issue is not known.
	changed := v.digests != nil && !v.inForce(file)
	if file.Issue == last && last > 0 && changed {
		return fmt.Sprintf("%s: issue: found %d again with other content, allowed from %d on: seal it anew",
			file.Name, file.Issue, last+1)
	}
	return ""
}

// findConflict returns which two endpoints have the same uid or hash, or are both ready at one address; empty if none.
func findConflict(files []File) string {
	fileByUID := map[string]string{}
	uidByID := map[policy.EndpointID]string{}
	uidByAddress := map[string]string{}
	for _, file := range files {
		for _, entry := range file.Entries {
			if other, found := fileByUID[entry.UID]; found {
				return fmt.Sprintf("%s: server %q stands in %s too: each id is allowed once",
					file.Name, entry.UID, other)
			}
			if other, found := uidByID[entry.ID]; found {
				return fmt.Sprintf("%s: servers %q and %q have one hash: give one another id",
					file.Name, entry.UID, other)
			}
			fileByUID[entry.UID] = file.Name
			uidByID[entry.ID] = entry.UID
			if entry.Status != policy.Ready {
				continue
			}
			if other, found := uidByAddress[entry.Addr]; found {
				return fmt.Sprintf("%s: servers %q and %q are both ready at %s",
					file.Name, other, entry.UID, entry.Addr)
			}
			uidByAddress[entry.Addr] = entry.UID
		}
	}
	return ""
}

// findReturn returns which endpoint was listed as draining and is ready again without a reason; empty if none. An old
// copy of the list would look like that, and a draining endpoint must get no requests. A later start is a reason, and
// so is a higher issue.
func (v *Validator) findReturn(now policy.Time, files []File) string {
	for _, file := range files {
		if file.Issue > v.state.Issues[file.Name] {
			continue
		}
		for _, entry := range file.Entries {
			drain, drained := v.state.Drains[entry.UID]
			remembered := drained && now-drain.LastListed < v.limits.DrainMemory
			if remembered && entry.Status == policy.Ready && entry.Started <= drain.FirstListed {
				return fmt.Sprintf("%s: server %q was told draining and is ready again: allowed with a later start "+
					"(started) or in a list of a higher issue", file.Name, entry.UID)
			}
		}
	}
	return ""
}

// removal is what a list would remove of the ready endpoints in force.
type removal struct {
	count   int     // endpoints that are removed or no longer ready
	ready   int     // endpoints that are ready now
	removed float64 // weight of those that are removed or no longer ready
	weight  float64 // weight of those that are ready now
}

// findRemoval returns by how much a list removes more than it may: that is more likely an error than intended. Empty if
// it doesn't.
func (v *Validator) findRemoval(files []File) string {
	noneReady := !anyReady(files)
	if noneReady && v.digests == nil && len(v.current) == 0 {
		return "the list names no ready server"
	}
	removal := v.removalBy(files)
	tooMuch := removal.removed > v.limits.MaxRemovedShare*removal.weight || noneReady
	if removal.count <= v.declaredRemovals(files) || !tooMuch {
		return ""
	}
	removedPercent := 100 * removal.removed / max(removal.weight, minDivisor)
	allowedPercent := 100 * v.limits.MaxRemovedShare
	return fmt.Sprintf("the list takes away %d of %d ready servers, %.0f%% of the weight, allowed %.0f%%: "+
		"it must say so (takes_away = %d)",
		removal.count, removal.ready, removedPercent, allowedPercent, removal.count)
}

// declaredRemovals returns how many endpoints the new files declare to remove. Those of a file in force are done.
func (v *Validator) declaredRemovals(files []File) int {
	declared := 0
	for _, file := range files {
		if !v.inForce(file) {
			declared += file.Removes
		}
	}
	return declared
}

// removalBy returns what a list would remove.
func (v *Validator) removalBy(files []File) removal {
	staysReady := map[string]bool{}
	for _, file := range files {
		for _, entry := range file.Entries {
			staysReady[entry.UID] = entry.Status == policy.Ready
		}
	}
	var total removal
	for _, uid := range slices.Sorted(maps.Keys(v.current)) {
		entry := v.current[uid]
		if entry.Status != policy.Ready {
			continue
		}
		total.ready++
		total.weight += entry.Weight
		if !staysReady[uid] {
			total.count++
			total.removed += entry.Weight
		}
	}
	return total
}

// anyReady reports whether an endpoint of the list is ready.
func anyReady(files []File) bool {
	for _, file := range files {
		for _, entry := range file.Entries {
			if entry.Status == policy.Ready {
				return true
			}
		}
	}
	return false
}
