package livetest

import (
	"os"
	"slices"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

const (
	listTimeFormat = "2006-01-02T15:04:05.000000000Z"
	// maxListRemovals is the number of endpoints that a list may remove: more than a run can have.
	maxListRemovals = 10000
)

// writeList writes discovery's current endpoint list to the file of an instance, and reports to the judge that the
// instance has been notified of it.
func (r *liveRun) writeList(instance *daemonProcess) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, ready := r.listText()
	if ready == 0 {
		return nil // a list without a ready endpoint is never accepted
	}
	r.listIssue++
	sealed, _, err := endpointfiles.Seal("list", text, endpointfiles.Issue(r.listIssue), maxListRemovals)
	if err != nil {
		return err
	}
	temporary := instance.listPath + ".tmp"
	if err := os.WriteFile(temporary, sealed, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, instance.listPath); err != nil {
		return err
	}
	for _, endpoint := range r.endpoints {
		r.judge.EndpointNotified(
			r.now(), instance.id, endpoint.id, endpoint.listedStatus, endpoint.listedStarted)
	}
	return nil
}

// listText returns the endpoint list and how many of its endpoints are ready. The caller holds mu.
func (r *liveRun) listText() (text []byte, ready int) {
	var b tomlBuilder
	for _, endpoint := range r.endpoints {
		if endpoint.listedStatus == policy.Removed {
			continue
		}
		b.arrayTable("server")
		b.set("id", endpoint.uid)
		b.set("address", endpoint.Addr())
		b.set("zone", endpoint.zone)
		b.set("pod", endpoint.cell)
		b.set("weight", endpoint.weight)
		if endpoint.listedStatus == policy.Draining {
			b.set("state", "draining")
		} else {
			ready++
		}
		if endpoint.listedStarted > 0 {
			b.line("started = %s", time.Unix(0, int64(endpoint.listedStarted)).UTC().Format(listTimeFormat))
		}
	}
	return []byte(b.text.String()), ready
}

// announce changes the listed status of an endpoint that reports its status itself.
func (r *liveRun) announce(endpoint *fakeEndpoint, status policy.EndpointStatus) {
	r.updateList(endpoint, status, r.Scenario.Discovery.AnnounceDelay)
}

// detect changes the listed status of an endpoint whose status discovery has to detect.
func (r *liveRun) detect(endpoint *fakeEndpoint, status policy.EndpointStatus) {
	r.updateList(endpoint, status, r.Scenario.Discovery.DetectDelay)
}

// updateList changes the listed status of an endpoint after a delay drawn from delayRange, and then writes the list of
// each instance.
func (r *liveRun) updateList(endpoint *fakeEndpoint, status policy.EndpointStatus, delayRange [2]policy.Time) {
	r.mu.Lock()
	delay := delayRange[0] + policy.Time(r.listRandom.Float64()*float64(delayRange[1]-delayRange[0]))
	started := endpoint.Started()
	r.mu.Unlock()
	afterFunc(delay, func() {
		if r.setListed(endpoint, status, started) {
			r.writeLists()
		}
	})
}

// setListed changes the listed status of an endpoint, unless the endpoint has restarted or come back meanwhile. It
// reports whether it has changed the status.
func (r *liveRun) setListed(endpoint *fakeEndpoint, status policy.EndpointStatus, started policy.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if endpoint.Started() != started || status == policy.Removed && !endpoint.down.Load() {
		return false
	}
	endpoint.listedStatus = status
	endpoint.listedStarted = started
	return true
}

// writeLists writes the list of each instance. Where a fault delays the lists of an instance, it writes that one later.
func (r *liveRun) writeLists() {
	r.mu.Lock()
	instances := slices.Clone(r.instances)
	r.mu.Unlock()
	for _, instance := range instances {
		r.mu.Lock()
		delay := max(0, instance.listDelayedUntil-r.clock.Now())
		r.mu.Unlock()
		afterFunc(delay, func() {
			_ = r.writeList(instance) // fails only once the directory is removed, after the run
		})
	}
}
