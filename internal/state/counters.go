package state

import (
	"fmt"
	"strings"

	"pepperlead/policy"
)

// Counters count what is taken in, sent and answered.
type Counters struct {
	ClientConns, ClientConnsCut   int
	ClientsSilent                 int // closed as nothing came
	Tickets, Bad, Overflow, Gone  int
	Honoured, TurnedBack, GivenUp int
	Declined                      int // requests that a server could not use
	Unsent                        int // final answers that found no client
	Pushes, Dials, Reused         int
	Outcomes                      [policy.Declined + 1]int
	Lists, ListEntries, ListFails int
	Renewals                      int // new configurations gone over to
	BytesIn, BytesOut             int64
}

// String has one line a counter, for whoever asks and for the log at the end.
func (c *Counters) String() string {
	var b strings.Builder
	line := func(name string, n any) { fmt.Fprintf(&b, "%s %d\n", name, n) }
	line("client_connections", c.ClientConns)
	line("client_connections_cut", c.ClientConnsCut)
	line("clients_silent", c.ClientsSilent)
	line("tickets", c.Tickets)
	line("tickets_bad", c.Bad)
	line("tickets_overflow", c.Overflow)
	line("clients_left", c.Gone)
	line("honoured", c.Honoured)
	line("turned_back", c.TurnedBack)
	line("given_up", c.GivenUp)
	line("declined", c.Declined)
	line("answers_unsent", c.Unsent)
	line("pushes", c.Pushes)
	line("dials", c.Dials)
	line("pushes_on_kept_connections", c.Reused)
	for i, name := range []string{"honoured", "errors", "turned_away", "timed_out", "not_connected", "broken",
		"called_off", "not_sent", "declined"} {
		line("pushes_"+name, c.Outcomes[i])
	}
	line("lists", c.Lists)
	line("list_entries", c.ListEntries)
	line("list_failures", c.ListFails)
	line("configurations_renewed", c.Renewals)
	line("bytes_in", c.BytesIn)
	line("bytes_out", c.BytesOut)
	return b.String()
}
