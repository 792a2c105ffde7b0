package proto

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/state"
	"pepperlead/policy"
)

const (
	hold       = 20 * policy.Second // for a watch to wait for news
	answerIn   = 2 * policy.Second  // beyond that, for an answer to come
	tryAgain   = 100 * policy.Millisecond
	tryAtMost  = 2 * policy.Second
	nothingNew = 50 * policy.Millisecond // to the next call; a watch ends after 200 ms without one
)

// follower keeps up with the list of servers: the whole of it, then one watch after another.
type follower struct {
	s       *Sidecar
	conn    *state.Conn
	on      bool
	asked   bool
	version int64 // -1: the whole list is wanted
	heard   bool  // some list is there
	failed  int   // calls in a row
	pause   policy.Time
	due     state.Timer
	members []policy.Member
	spots   []spot
}

// spot is where a server named by its uid is.
type spot struct{ uid, addr string }

func (f *follower) init(s *Sidecar) {
	f.s, f.version, f.pause = s, -1, tryAgain
	f.due.Do = func(now policy.Time) {
		switch {
		case !f.on:
		case f.conn == nil:
			f.connect(now)
		case f.asked:
			f.fail(now, "no answer in time")
		default:
			f.ask(now)
		}
	}
}

// follow begins to follow.
func (f *follower) follow(now policy.Time) {
	if f.on = true; f.conn == nil {
		f.connect(now)
	} else if !f.asked {
		f.ask(now)
	}
}

func (f *follower) stop() { f.on = false }

// move goes over to discovery at another address, whose versions need not be those of the old: the whole list is asked for.
func (f *follower) move(now policy.Time) {
	f.version, f.asked, f.failed, f.pause = -1, false, 0, tryAgain
	f.s.timers.Stop(&f.due)
	if c := f.conn; c != nil {
		f.conn = nil
		f.s.close(c)
	}
	if f.on {
		f.connect(now)
	}
}

func (f *follower) connect(now policy.Time) {
	f.conn = &state.Conn{Side: state.ToList}
	f.conn.Timer.Do = func(policy.Time) {}
	f.s.conns.Add(f.conn)
	f.s.sockets.dial(f.conn, f.s.post.Discovery, answerIn)
}

func (f *follower) ask(now policy.Time) {
	if !f.on || f.conn == nil || !f.conn.Up {
		return
	}
	wait := answerIn
	if f.version >= 0 {
		wait += hold
	}
	f.asked = true
	f.s.timers.Set(&f.due, now+wait)
	f.s.scratch = AppendListCall(f.s.scratch[:0], f.s.post.Discovery, f.version, hold)
	f.s.write(f.conn, f.s.scratch)
}

// answered is told that bytes have come; once the answer is whole the next call goes out at once.
func (f *follower) answered(now policy.Time, c *state.Conn) {
	if c != f.conn || !f.asked {
		f.s.close(c)
		return
	}
	n, status, _, body, stays, ok := CutAnswer(c.In.B, false, mostList)
	switch {
	case !ok || n > 0 && status != 200:
		f.fail(now, "the answer cannot be used")
	case n > 0:
		f.asked = false
		f.s.timers.Stop(&f.due)
		before := f.version
		if err := f.apply(now, body, false); err != nil {
			f.version = -1 // what else it said is not known, so all is asked for
			f.fail(now, err.Error())
			return
		}
		if f.failed > 0 {
			f.s.log.WithField("failed", f.failed).Info("list: calls are answered again")
		}
		f.pause, f.failed = tryAgain, 0
		f.s.buffers.Put(c.In)
		c.In = nil
		switch {
		case !stays:
			f.s.close(c)
			f.conn = nil
			f.connect(now)
		case f.version == before:
			// Were nothing new answered at once, again and again, the calls would fill the core.
			f.s.timers.Set(&f.due, now+nothingNew)
		default:
			f.ask(now)
		}
	}
}

// fail ends the call. Where the list comes by itself it is called again; else the module says when.
func (f *follower) fail(now policy.Time, why string) {
	f.s.Counters.ListFails++
	if f.failed++; f.failed == 1 {
		f.s.log.WithField("why", why).Warn("list: calls fail")
	}
	f.asked = false
	f.s.timers.Stop(&f.due)
	if c := f.conn; c != nil {
		f.conn = nil
		f.s.close(c)
	}
	if f.s.post.Campaign.MustAsk {
		f.s.module.ListFailed(now)
		return
	}
	f.s.timers.Set(&f.due, now+f.pause)
	f.pause = min(2*f.pause, tryAtMost)
}

// broke is told that the connection is gone.
func (f *follower) broke(now policy.Time, c *state.Conn) {
	if c != f.conn {
		return
	}
	if f.conn, f.asked = nil, false; f.on {
		f.fail(now, "the connection ended")
	}
}

// apply hands a list to the module, if all of it can be read: else the last one stands.
func (f *follower) apply(now policy.Time, body []byte, saved bool) error {
	f.members, f.spots = f.members[:0], f.spots[:0]
	version, full, err := ReadList(body, func(uid, addr, zone []byte, cell policy.Cell, standing policy.Standing,
		weight float64, started policy.Time) error {
		f.members = append(f.members, policy.Member{ID: policy.ServerID(xxhash.Sum64(uid)), Weight: weight, Cell: cell,
			Zone: policy.Zone(zone), Standing: standing, Started: started})
		f.spots = append(f.spots, spot{string(uid), string(addr)})
		return nil
	})
	if err != nil {
		return err
	}
	f.heard = true
	f.s.Counters.Lists++
	f.s.Counters.ListEntries += len(f.members)
	kept := f.members[:0]
	for i, m := range f.members {
		if f.know(m, f.spots[i]) {
			kept = append(kept, m)
		}
	}
	kind := policy.ListChanges
	switch {
	case saved:
		kind = policy.ListSaved
	case full:
		kind = policy.ListFull
	}
	if !saved {
		f.version = version
	}
	if full {
		f.missing(kept)
	}
	if saved || full || len(kept) > 0 {
		f.s.module.List(now, kind, kept)
	}
	return nil
}

// know keeps where a server is. Two servers never share an id: by 64 bits of a hash they hardly could, and the
// second is then left out.
func (f *follower) know(m policy.Member, at spot) bool {
	server := f.s.conns.Servers[m.ID]
	if server == nil && m.Standing == policy.Gone {
		return false
	}
	if server == nil {
		server = &state.Server{ID: m.ID, UID: at.uid, Addr: at.addr, Started: m.Started}
		f.s.conns.Servers[m.ID] = server
	}
	if server.UID != at.uid {
		f.s.log.WithField("uid", at.uid).Error("list: left out, has the id of " + server.UID)
		return false
	}
	server.Zone = m.Zone
	if m.Standing != policy.Ready || m.Started > server.Started || at.addr != server.Addr {
		// Nothing more goes to one that leaves; one that has started anew knows nothing of old connections.
		f.s.retire(server)
	}
	server.Leaving = m.Standing != policy.Ready
	if server.Started = m.Started; at.addr != "" {
		server.Addr = at.addr
	}
	return true
}

// missing finds the servers that a whole list no longer names.
func (f *follower) missing(named []policy.Member) {
	for id, server := range f.s.conns.Servers {
		if !slices.ContainsFunc(named, func(m policy.Member) bool { return m.ID == id }) {
			f.s.retire(server)
		}
	}
}

// retire keeps no connection to a server for later.
func (s *Sidecar) retire(server *state.Server) {
	server.Leaving = true
	for len(server.Idle) > 0 {
		c := server.Idle[len(server.Idle)-1]
		server.Idle = server.Idle[:len(server.Idle)-1]
		s.close(c)
	}
}
