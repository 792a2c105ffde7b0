package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejoinInterval is the mean time between two attempts to join a member that isn't known to be alive.
	rejoinInterval = 3 * time.Second
	// forgetAfter is how long a former member is remembered. Until then, attempts to join it are repeated.
	forgetAfter = 10 * time.Minute
)

// rejoin joins the configured addresses and those of former members, one at a time, until the context ends. memberlist
// alone stops contacting dead members after half a minute, so the two sides of a longer network partition would never
// merge again.
func (c *Cluster) rejoin(ctx context.Context) {
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if address := c.nextToJoin(time.Now()); address != "" {
			_, _ = c.list.Join([]string{address}) // the delegate records who joined; failed attempts are repeated
		}
		pause = rejoinInterval/2 + rand.N(rejoinInterval)
	}
}

// nextToJoin returns the next address, in rotation, at which no member is known to be alive, or "" if there is none. It
// forgets former members after forgetAfter.
func (c *Cluster) nextToJoin(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := slices.Clone(c.config.Join)
	alive := map[string]bool{c.Address(): true}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[name]
		switch {
		case peer.Alive:
			alive[peer.Address] = true
		case now.Sub(peer.LastSeen) > forgetAfter:
			delete(c.peers, name)
		default:
			candidates = append(candidates, peer.Address)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return alive[address] })
	if len(candidates) == 0 {
		return ""
	}
	c.joinTurn++
	return candidates[c.joinTurn%len(candidates)]
}
