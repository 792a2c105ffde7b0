package endpointfiles

import (
	"fmt"
	"maps"
	"slices"

	"pepperlead/policy"
)

// minDivisor avoids a division by zero if the total weight is 0.
const minDivisor = 1e-300

// findFault returns why files that have settled are rejected; empty if they are not.
func (v *Validator) findFault(now policy.Time, files []File) string {
	if len(files) == 0 {
		return "no list file found"
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

// findFileFault returns why a file can't be used, or that it is older than the one in force; empty if neither is the
// case.
func (v *Validator) findFileFault(file File) string {
	if file.Problem != "" {
		return file.Problem
	}
	if v.limits.RequireDigest && !file.Sealed {
		return file.Name + ": has no digest, but only sealed lists are accepted: seal it"
	}
	last := v.state.Issues[file.Name]
	if file.Issue < last {
		return fmt.Sprintf("%s: issue: found %d, allowed %d or higher: the list is older than the one in force",
			file.Name, file.Issue, last)
	}
	// After a restart the content of the last issue is not known, so it is not compared.
	changed := v.digests != nil && !v.inForce(file)
	if file.Issue == last && last > 0 && changed {
		return fmt.Sprintf("%s: issue: found %d again with different content, allowed %d or higher: seal it again",
			file.Name, file.Issue, last+1)
	}
	return ""
}

// findConflict returns which two endpoints have the same uid or the same hash, or are both ready at the same address;
// empty if there are none.
func findConflict(files []File) string {
	fileByUID := map[string]string{}
	uidByID := map[policy.EndpointID]string{}
	uidByAddress := map[string]string{}
	for _, file := range files {
		for _, entry := range file.Entries {
			if other, found := fileByUID[entry.UID]; found {
				return fmt.Sprintf("%s: server %q is also listed in %s: each id is allowed once",
					file.Name, entry.UID, other)
			}
			if other, found := uidByID[entry.ID]; found {
				return fmt.Sprintf("%s: servers %q and %q have the same hash: change the id of one of them",
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

// findReturn returns which endpoint was listed as draining and is ready again without a reason; empty if there is none.
// An old copy of the list would look like that, and a draining endpoint must not get requests. A later start of the
// endpoint is a reason, and so is a higher issue of the file.
func (v *Validator) findReturn(now policy.Time, files []File) string {
	for _, file := range files {
		if file.Issue > v.state.Issues[file.Name] {
			continue
		}
		for _, entry := range file.Entries {
			drain, drained := v.state.Drains[entry.UID]
			remembered := drained && now-drain.LastListed < v.limits.DrainMemory
			if remembered && entry.Status == policy.Ready && entry.Started <= drain.FirstListed {
				return fmt.Sprintf("%s: server %q was listed as draining and is ready again: allowed only with a "+
					"later start (started) or in a list with a higher issue", file.Name, entry.UID)
			}
		}
	}
	return ""
}

// removal describes which part of the ready endpoints in force a list would remove.
type removal struct {
	count   int     // number of endpoints that are ready now, and would be removed or no longer ready
	ready   int     // number of endpoints that are ready now
	removed float64 // total weight of the endpoints in count
	weight  float64 // total weight of the endpoints in ready
}

// findRemoval returns that a list removes more than it may, because that is more likely an error than intended; empty
// if it doesn't.
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
	return fmt.Sprintf("the list removes %d of %d ready servers, %.0f%% of the weight, allowed %.0f%%: "+
		"it must declare this (takes_away = %d)",
		removal.count, removal.ready, removedPercent, allowedPercent, removal.count)
}

// declaredRemovals returns how many endpoints the new files declare to remove. Files in force are not counted, because
// their removals have already taken effect.
func (v *Validator) declaredRemovals(files []File) int {
	declared := 0
	for _, file := range files {
		if !v.inForce(file) {
			declared += file.Removes
		}
	}
	return declared
}

// removalBy returns which part of the ready endpoints a list would remove.
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

// anyReady reports whether any endpoint in the files is ready.
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
