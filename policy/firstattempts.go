package policy

const (
	// firstAttemptWeight is the weight of the latest first attempt in shorterShare.
	firstAttemptWeight = 0.05
	// maxShorterShare is the shorterShare below which all first attempts are taken to come with the same
	// time.
	maxShorterShare = 0.1
)

// firstAttemptTimes describes the time left until the deadline with which the requests of a class arrive, not
// counting clients' retries.
type firstAttemptTimes struct {
	longest      Time    // longest time left so far
	shorterShare float64 // moving average of the part that came with clearly less than that
}

// observe adds a client's first attempt. Differences of up to margin are ignored.
func (f *firstAttemptTimes) observe(timeLeft, margin Time) {
	f.longest = max(f.longest, timeLeft)
	shorter := 0.0
	if f.longest-timeLeft > margin {
		shorter = 1
	}
	f.shorterShare += firstAttemptWeight * (shorter - f.shorterShare)
}

// showsTimeSpent reports whether first attempts all come with the same time left and timeLeft differs from it
// by more than margin.
func (f *firstAttemptTimes) showsTimeSpent(timeLeft, margin Time) bool {
	return f.shorterShare < maxShorterShare && max(timeLeft-f.longest, f.longest-timeLeft) > margin
}

// backdateRetry moves the arrival of a client's retry back by the part of its class's deadline that is
// already used up, so that the target latency counts from the client's first attempt. It does so only where
// late answers have no value and where first attempts come with a time left that shows that the client's
// earlier attempts used up the difference. A retry that can no longer be answered within the target latency
// is answered at once.
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
