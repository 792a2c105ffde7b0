package coordinator

import (
	"slices"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

func (k *Coordinator) ring() {
	select {
	case k.rung <- struct{}{}:
	default:
	}
}

// lead begins and ends this keeper's terms.
func (k *Coordinator) lead() {
	for {
		select {
		case <-k.stop:
			return
		case leads := <-k.raft.LeaderCh():
			k.mu.Lock()
			k.granter, k.asked = nil, nil
			k.mu.Unlock()
			if !leads {
				k.log.Info("keep: leads no more")
				continue
			}
			// What earlier terms have agreed on must be known first.
			if err := k.raft.Barrier(applyIn).Error(); err != nil {
				continue
			}
			k.mu.Lock()
			k.granter = ruleset.NewLeaseIssuer(ruleset.Term(k.raft.CurrentTerm()), k.post.Lease, k.post.Drift, k.book.Active, k.book.Next, clock.LeaseTime())
			k.log.Infof("keep: leads in term %d, version %d in force, %d coming", k.raft.CurrentTerm(), k.book.Active, k.book.Next)
			k.mu.Unlock()
		}
	}
}

// answer answers questions, all that wait by one round that confirms the term.
func (k *Coordinator) answer() {
	for {
		select {
		case <-k.stop:
			return
		case <-k.rung:
		}
		k.mu.Lock()
		asked := k.asked
		k.asked = nil
		k.mu.Unlock()
		if len(asked) == 0 {
			continue
		}
		begun := clock.LeaseTime()
		k.rounds.Add(1)
		if k.raft.VerifyLeader().Error() != nil {
			k.failed.Add(1)
			continue
		}
		for _, q := range asked {
			k.reply(q, begun)
		}
	}
}

func (k *Coordinator) reply(q question, begun policy.Time) {
	c := k.company.Load()
	if c == nil {
		return
	}
	k.mu.Lock()
	if k.granter == nil || k.granter.Term() != ruleset.Term(k.raft.CurrentTerm()) {
		// It may have led, lost that and got it again without having heard yet: what lay between is not in this granter.
		k.mu.Unlock()
		return
	}
	k.granter.ConfirmTerm(begun)
	g, given := k.granter.Issue(q.ask, q.knows, q.came)
	var lacks []ruleset.Revision
	if !given && time.Since(k.told[q.from]) > tellEvery {
		for _, p := range k.book.InForce() {
			if !slices.Contains(q.knows, p.Number) {
				lacks = append(lacks, p)
			}
		}
		if len(k.told) > mostAsked {
			clear(k.told) // of addresses that come and go
		}
		k.told[q.from] = time.Now()
	}
	k.mu.Unlock()
	if given {
		k.grants.Add(1)
		c.Send(q.from, ruleset.EncodeLease(c.Address(), g)) // lost: it is asked again
		return
	}
	if len(lacks) == 0 {
		return
	}
	select {
	case k.room <- struct{}{}:
	default:
		return // it asks again
	}
	go func() {
		defer func() { <-k.room }()
		for _, p := range lacks {
			b := ruleset.EncodeRevision(c.Address(), p)
			k.sent.Add(1)
			k.sentBytes.Add(uint64(len(b)))
			if c.SendReliable(q.from, b) != nil {
				return
			}
		}
	}()
}

// drop ends a change once no grant of the old version alone can hold.
func (k *Coordinator) drop() {
	tick := time.NewTicker(dropEvery)
	defer tick.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-tick.C:
		}
		k.mu.Lock()
		ready, n := k.granter != nil && k.granter.ChangeReady(clock.LeaseTime()), k.book.Next
		k.mu.Unlock()
		if ready {
			k.write("drop", uint64(n)) // in vain: it is tried again
		}
	}
}
