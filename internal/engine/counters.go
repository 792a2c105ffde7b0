package engine

import (
	"fmt"
	"strings"

	"pepperlead/policy"
)

// Counters count what the engine and its fronts have done.
type Counters struct {
	ClientConns         int
	ClientConnsBroken   int
	ClientsSilent       int // connections closed because the client sent nothing
	Requests            int
	MalformedRequests   int
	Overflowed          int // requests rejected for lack of buffer memory
	ClientsDisconnected int
	Succeeded           int
	Rejected            int
	Failed              int
	Declined            int // requests that an endpoint declined
	Unsent              int // final answers not sent because the client had left
	LargeBodies         int // request bodies too long to be received as one message
	StreamedBodies      int // large bodies forwarded before they were complete
	Streams             int // responses forwarded before they were complete
	StreamsBroken       int // streamed responses that were never completed
	Attempts            int
	Dials               int
	Reused              int // attempts sent on an idle connection
	Outcomes            [policy.Declined + 1]int
	Lists               int // endpoint lists applied
	ListEntries         int // entries of these lists
	ListFailures        int
	ListsRefused        int // endpoint lists rejected by the validation of list files
	Reconfigurations    int
	BytesIn             int64
	BytesOut            int64
	Ended               [policy.NumEndReasons]int // requests that ended without an answer of an endpoint, by reason

	ListsHandedOver  int // endpoint lists of other processes of the instance that were put in force
	HandoversRefused int // endpoint lists and learned states of other processes that were damaged or of another version
	HandoversMissing int // what this process began to serve without: the list, the learned state of another process
}

// outcomeNames are the names of the attempts' outcomes in the names of the counters.
var outcomeNames = [policy.Declined + 1]string{
	"honoured", "errors", "turned_away", "timed_out", "not_connected", "broken", "called_off", "not_sent", "declined",
}

// Each calls line for every counter, in the order in which counters are shown.
func (c *Counters) Each(line func(name string, n int64)) {
	line("client_connections", int64(c.ClientConns))
	line("client_connections_cut", int64(c.ClientConnsBroken))
	line("clients_silent", int64(c.ClientsSilent))
	line("tickets", int64(c.Requests))
	line("tickets_bad", int64(c.MalformedRequests))
	line("tickets_overflow", int64(c.Overflowed))
	line("clients_left", int64(c.ClientsDisconnected))
	line("honoured", int64(c.Succeeded))
	line("turned_back", int64(c.Rejected))
	line("given_up", int64(c.Failed))
	line("declined", int64(c.Declined))
	line("answers_unsent", int64(c.Unsent))
	line("long_bodies", int64(c.LargeBodies))
	line("long_bodies_passed_on", int64(c.StreamedBodies))
	line("streams", int64(c.Streams))
	line("streams_broken", int64(c.StreamsBroken))
	line("pushes", int64(c.Attempts))
	line("dials", int64(c.Dials))
	line("pushes_on_kept_connections", int64(c.Reused))
	for outcome, name := range outcomeNames {
		line("pushes_"+name, int64(c.Outcomes[outcome]))
	}
	line("lists", int64(c.Lists))
	line("list_entries", int64(c.ListEntries))
	line("list_failures", int64(c.ListFailures))
	line("lists_refused", int64(c.ListsRefused))
	line("configurations_renewed", int64(c.Reconfigurations))
	line("bytes_in", c.BytesIn)
	line("bytes_out", c.BytesOut)
	for reason := policy.EndedByOverload; reason < policy.NumEndReasons; reason++ {
		line("ended_"+reason.String(), int64(c.Ended[reason]))
	}
	line("lists_handed_over", int64(c.ListsHandedOver))
	line("handovers_refused", int64(c.HandoversRefused))
	line("handovers_missing", int64(c.HandoversMissing))
}

// String returns the counters, one per line.
func (c *Counters) String() string {
	var b strings.Builder
	c.Each(func(name string, n int64) { fmt.Fprintf(&b, "%s %d\n", name, n) })
	return b.String()
}
