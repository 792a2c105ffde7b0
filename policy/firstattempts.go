package policy

const (
	// firstAttemptWeight is the weight of a class's latest first attempt in shorterShare.
	firstAttemptWeight = 0.05
	// maxShorterShare is the shorterShare below which all first attempts are taken to arrive with the same
	// time left.
	maxShorterShare = 0.1
)

// firstAttemptTimes describes, for one class, how much time is left until the deadline when a client's first
// attempt arrives. First attempts are the requests that are not clients' retries.
type firstAttemptTimes struct {
	longest      Time    // longest time left of any first attempt so far
	shorterShare float64 // moving average of the part of first attempts with clearly less time left
}

// observe adds a client's first attempt. The attempt counts as shorter if timeLeft is below the longest by
// more than margin.
func (f *firstAttemptTimes) observe(timeLeft, margin Time) {
	f.longest = max(f.longest, timeLeft)
	shorter := 0.0
	if f.longest-timeLeft > margin {
		shorter = 1
	}
	f.shorterShare += firstAttemptWeight * (shorter - f.shorterShare)
}

// showsTimeSpent reports whether the timeLeft of a client's retry shows how much time the client has spent on
// its earlier attempts: first attempts must all arrive with the same time left, and timeLeft must differ from
// that by more than margin.
func (f *firstAttemptTimes) showsTimeSpent(timeLeft, margin Time) bool {
	return f.shorterShare < maxShorterShare && max(timeLeft-f.longest, f.longest-timeLeft) > margin
}

// backdateRetry moves the arrival of a client's retry back by the part of its class's deadline that is
// already used up, so that the target latency counts from the client's first attempt. It does so only where
// late answers have no value and where the time left shows how much is used up (see showsTimeSpent). A retry
// that can no longer be answered within the target latency gets a deadline of now, so that Begin rejects it
// at once.
func (b *Balancer) backdateRetry(now Time, r *request, timeLeft Time) {
	class := b.class(r)
	firstAttempts := &b.classes[r.class].firstAttempts
	if class.LateValue != 0 || !firstAttempts.showsTimeSpent(timeLeft, b.settings.answerMargin()) {
		return
	}
	r.arrivedAt -= max(0, class.Deadline-timeLeft)
	if now > r.arrivedAt+class.Target {
		r.deadline = now
	}
}
