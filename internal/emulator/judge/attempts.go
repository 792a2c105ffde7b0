package judge

import (
	"slices"

	"pepperlead/policy"
)

// attempt is one attempt of a request.
type attempt struct {
	endpoint   EndpointID
	zone       policy.Zone
	cell       policy.Cell
	at         policy.Time
	inFlight   bool
	mayHaveRun bool // the endpoint may have run the request
}

// notification is the latest state of an endpoint of which an instance was notified.
type notification struct {
	drainingSince policy.Time // time of the notification that it drains or is removed; 0: it is ready
	startedAt     policy.Time // latest start of the endpoint of which the instance was notified
}

// arrivedWork is work that has reached a cold endpoint, in ns of a core at speed 1.
type arrivedWork struct {
	at   policy.Time
	work float64
}

// AttemptStarted records an attempt when its first byte is sent, and returns its number within the request. It checks
// the rules on attempts.
func (j *Judge) AttemptStarted(at policy.Time, id RequestID, to EndpointID, zone policy.Zone, cell policy.Cell,
	crossesZone bool) int {
	r := &j.requests[id]
	number := len(r.attempts)
	j.attempts++
	if at < j.config.Length {
		j.spread.countAttempt(at, to, r.key, r.number)
	}
	if crossesZone {
		j.crossZone++
	}
	if r.answered || r.abandoned {
		j.violate(1, at, r.number, "pushed after its final answer")
	}
	if number >= j.config.MaxAttempts {
		j.violate(2, at, r.number, "push %d of %d allowed", number+1, j.config.MaxAttempts)
	}
	if r.inFlight > 0 {
		j.violate(2, at, r.number, "two pushes out at once")
	}
	next := attempt{endpoint: to, zone: zone, cell: cell, at: at, inFlight: true}
	j.checkRepeat(r, next)
	notified, known := j.notifications[r.instance][to]
	if known && notified.drainingSince > 0 && at > notified.drainingSince+j.config.Grace {
		j.violate(3, at, r.number, "pushed to server %d, %v after its sidecar was told that it leaves", to,
			seconds(at-notified.drainingSince))
	}
	r.attempts = append(r.attempts, next)
	r.inFlight++
	return number
}

// checkRepeat checks by rule 2 whether an attempt may follow earlier ones that may have run.
func (j *Judge) checkRepeat(r *request, next attempt) {
	class := &j.config.Classes[r.class]
	keyed := class.Idempotency == policy.Keyed
	for _, earlier := range r.attempts {
		if !earlier.mayHaveRun && !earlier.inFlight {
			continue
		}
		otherGroup := class.Group == policy.GroupZone && earlier.zone != next.zone ||
			class.Group == policy.GroupCell && earlier.cell != next.cell
		switch {
		case class.Idempotency == policy.NonIdempotent:
			j.violate(2, next.at, r.number, "at-most-once, pushed to server %d though it may have run at server %d",
				next.endpoint, earlier.endpoint)
		case keyed && next.at > earlier.at+class.Window:
			j.violate(2, next.at, r.number, "pushed again %v after the first push that may have run, window %v",
				seconds(next.at-earlier.at), seconds(class.Window))
		case keyed && otherGroup:
			j.violate(2, next.at, r.number,
				"pushed to server %d, outside of the group of server %d where it may have run",
				next.endpoint, earlier.endpoint)
		default:
			continue
		}
		return
	}
}

// AttemptWritten records that the instance has sent the last byte of an attempt, which may run from now on.
func (j *Judge) AttemptWritten(id RequestID, number int) {
	j.requests[id].attempts[number].mayHaveRun = true
}

// AttemptEnded records that an attempt has ended for its instance. neverRan means that the outcome proves that the
// endpoint has not run the request.
func (j *Judge) AttemptEnded(id RequestID, number int, neverRan bool) {
	r := &j.requests[id]
	ended := &r.attempts[number]
	if !ended.inFlight {
		return
	}
	ended.inFlight = false
	ended.mayHaveRun = ended.mayHaveRun && !neverRan
	r.inFlight--
	j.releaseRequest(id)
}

// EndpointNotified records the status of an endpoint in a list that has reached an instance. An endpoint that is no
// longer in the list has the status Removed.
func (j *Judge) EndpointNotified(at policy.Time, instance InstanceID, endpoint EndpointID, status policy.EndpointStatus,
	startedAt policy.Time) {
	notified := j.notifications[instance][endpoint]
	if status == policy.Ready {
		notified.drainingSince = 0
	} else if notified.drainingSince == 0 {
		notified.drainingSince = max(at, 1)
	}
	notified.startedAt = max(notified.startedAt, startedAt)
	j.notifications[instance][endpoint] = notified
}

// InstanceDied records that an instance has died and has thereby lost its endpoint list.
func (j *Judge) InstanceDied(instance InstanceID) { clear(j.notifications[instance]) }

// ColdWorkArrived records work that reaches an endpoint while it is cold, and checks rule 4. work is in ns of a core at
// speed 1; capacity is the work that the endpoint can do per ns. Work counts only if the instance that sent it was
// notified of the endpoint's start: other instances cannot know that the endpoint is cold.
func (j *Judge) ColdWorkArrived(at policy.Time, instance InstanceID, to EndpointID, startedAt policy.Time,
	work, capacity float64) {
	if j.notifications[instance][to].startedAt < startedAt || j.config.OverloadMultiple == 0 {
		return
	}
	recent := append(j.coldWork[to], arrivedWork{at, work})
	first := 0
	for recent[first].at <= at-j.config.OverloadWindow {
		first++
	}
	recent = slices.Delete(recent, 0, first)
	j.coldWork[to] = recent
	sum := 0.0
	for _, arrived := range recent {
		sum += arrived.work
	}
	allowed := j.config.OverloadMultiple * capacity * float64(j.config.OverloadWindow)
	if sum > allowed && j.overloaded[to] != startedAt {
		j.overloaded[to] = startedAt
		j.violate(4, at, 0, "server %d, cold, was sent %.1f times what it can do within %v, allowed %.1f", to,
			sum/(capacity*float64(j.config.OverloadWindow)), seconds(j.config.OverloadWindow),
			j.config.OverloadMultiple)
	}
}
