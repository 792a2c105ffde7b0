package state

import (
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Ticket is the HTTP front's side of a ticket: where it came from, what it said, and the connection of the push that is out.
type Ticket struct {
	*engine.Ticket
	mark    uint64  // hash of the client's id for it, while others may not use that
	Client  *Conn   // nil once answered, or the client has left
	Request *Buffer // holds the five below
	Method  []byte
	Target  []byte
	Head    []byte
	Body    []byte
	Last    bool // the client wants its connection closed after the answer

	Push       *Conn
	Rest       engine.Timer // on while its push waits for a connection to have rested
	To         *engine.Server
	Waited     bool    // it has, for this push
	Answer     *Buffer // holds the two below
	Status     int     // of the server's answer
	AnswerHead []byte
	AnswerBody []byte
	Uploads    bool        // more of its body is to come
	Size       int         // of the whole body then; -1: not told
	Sent       bool        // a part of it has gone to a server and is not here any more
	More       *Buffer     // of the body, behind Body
	Left       policy.Time // the client waits for so long from the last byte on
	Streams    bool        // its answer goes to the client as it comes; no other can follow
	Chunked    bool        // to the client
	Unframed   bool        // to the client: only the end of its connection ends the answer
	Old        bool        // the client speaks HTTP/1.0
	Bodiless   bool        // its answer has no body, whatever its head says
	Stays      bool        // the server's connection can carry more after the answer
}

// Tickets knows tickets by the ids that clients gave them.
type Tickets struct{ byMark map[uint64]*Ticket }

// Mark notes the id under which the client speaks of the ticket. Should two ids have one hash, the second goes without.
func (k *Tickets) Mark(t *Ticket, mark uint64) {
	if k.byMark == nil {
		k.byMark = map[uint64]*Ticket{}
	}
	if k.byMark[mark] == nil {
		k.byMark[mark], t.mark = t, mark
	}
}

// Marked is the ticket that has the hash, nil if there is none.
func (k *Tickets) Marked(mark uint64) *Ticket { return k.byMark[mark] }

// Unmark sets the id free, as the client has its answer or is gone.
func (k *Tickets) Unmark(t *Ticket) {
	if k.byMark[t.mark] == t {
		delete(k.byMark, t.mark)
	}
}

// Of gives the front's side of a ticket, made the first time that its place is used.
func Of(t *engine.Ticket) *Ticket {
	if t.Part == nil {
		t.Part = &Ticket{Ticket: t}
	}
	return t.Part.(*Ticket)
}

// Give empties it and gives its buffers back.
func (t *Ticket) Give(p *Buffers) {
	p.Put(t.Request)
	p.Put(t.Answer)
	p.Put(t.More)
	*t = Ticket{Ticket: t.Ticket, Rest: engine.Timer{Do: t.Rest.Do}}
}
