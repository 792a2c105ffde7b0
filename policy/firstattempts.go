package policy

const (
	// firstAttemptWeight is the weight of the latest first attempt in shorterShare.
	firstAttemptWeight = 0.05
	// maxShorterShare is the part of the first attempts with less time under which they count as alike.
	maxShorterShare = 0.1
)

// firstAttemptTimes is the time that clients' first attempts come with.
type firstAttemptTimes struct {
	longest      Time
	shorterShare float64 // part of the latest that came with less
}

// observe counts a client's first attempt.
func (f *firstAttemptTimes) observe(timeLeft, margin Time) {
	f.longest = max(f.longest, timeLeft)
	shorter := 0.0
	if f.longest-timeLeft > margin {
		shorter = 1
	}
	f.shorterShare += firstAttemptWeight * (shorter - f.shorterShare)
}

// agreeOnOtherThan reports whether first attempts come with one time, and this is another.
func (f *firstAttemptTimes) agreeOnOtherThan(timeLeft, margin Time) bool {
	return f.shorterShare < maxShorterShare && max(timeLeft-f.longest, f.longest-timeLeft) > margin
}

// backdateRetry makes a client's repeat as old as what is missing of its class's deadline, where late answers
// have no value and first attempts show that it comes with what they left. One that can't be in time is
// answered at once.
func (b *Balancer) backdateRetry(now Time, r *request, timeLeft Time) {
	class := b.class(r)
	firstAttempts := &b.classes[r.class].firstAttempts
	if class.LateValue != 0 || !firstAttempts.agreeOnOtherThan(timeLeft, b.settings.answerMargin()) {
		return
	}
	r.arrivedAt -= max(0, class.Deadline-timeLeft)
	if now > r.arrivedAt+class.Target {
		r.deadline = now
	}
}
