// Package simwire puts instances of the decision module on the bench's wire: it decodes the lines of
// a batch straight into calls and writes what the module asks for as the lines of the reply.
package simprotocol

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"pepperlead/policy"
)

// ticketID is a ticket's id as the wire spells it.
type ticketID [36]byte

// instance is one sidecar: the module's surroundings, as seen by it.
type instance struct {
	name     []byte
	out      *bytes.Buffer
	balancer *policy.Balancer
	campaign *policy.Settings
	names    map[string]int32 // offerings
	houses   map[string]int32 // franchises
	handles  map[ticketID]policy.Handle
	ids      []ticketID // by slab place
}

// Adapter hosts the instances of one process.
type Adapter struct {
	in        *bufio.Reader
	to        io.Writer
	out       bytes.Buffer
	now       policy.Time
	instances map[string]*instance
	lists     [16][]policy.Member
	filling   int // list whose entries follow
	missing   int // entries still to come
	line      []byte
	fields    []field
}

type field struct{ name, value []byte }

// Run serves batches until the input ends; an error says which line could not be served and why.
func Run(in io.Reader, out io.Writer) error {
	a := &Adapter{in: bufio.NewReaderSize(in, 1<<16), to: out, instances: map[string]*instance{}}
	open := false
	for {
		line, err := a.read()
		if err == io.EOF && len(line) == 0 {
			if open {
				return fmt.Errorf("input ended within a batch")
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if err := a.serve(line, &open); err != nil {
			return fmt.Errorf("line %.200q: %w", line, err)
		}
	}
}

func (a *Adapter) read() ([]byte, error) {
	a.line = a.line[:0]
	for {
		part, err := a.in.ReadSlice('\n')
		a.line = append(a.line, part...)
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(a.line, "\r\n"), err
		}
	}
}

func (a *Adapter) serve(line []byte, open *bool) error {
	word, rest, _ := bytes.Cut(line, []byte{' '})
	a.split(rest)
	if a.missing > 0 && string(word) != "endpoint" {
		return fmt.Errorf("%d endpoint lines of the roster are missing", a.missing)
	}
	if string(word) == "round" {
		now, err := a.time("wall_s")
		if err != nil {
			return err
		}
		a.now, *open = now, true
		return nil
	}
	if !*open {
		return fmt.Errorf("outside a batch")
	}
	switch string(word) {
	case "go":
		*open = false
		a.out.WriteString("ack\n")
		_, err := a.to.Write(a.out.Bytes())
		a.out.Reset()
		return err
	case "roster":
		return a.roster()
	case "endpoint":
		return a.entry()
	case "new_instance":
		return a.start(rest)
	case "fleet", "req", "completed", "client_gone", "checked", "from_peer", "first_byte", "killed", "wake":
		name, err := a.need("sidecar_id")
		if err != nil {
			return err
		}
		// News of an instance that has stopped is passed over, but what it says must still be readable.
		return a.event(string(word), a.instances[string(name)])
	}
	return nil
}

func (a *Adapter) event(word string, i *instance) error {
	switch word {
	case "fleet":
		return a.fleet(i)
	case "req":
		return a.req(i)
	case "completed":
		return a.completed(i)
	case "client_gone":
		id, err := a.id()
		if err != nil || i == nil {
			return err
		}
		if h, ok := i.handles[id]; ok {
			i.balancer.ClientLeft(a.now, h)
		}
	case "first_byte":
		id, err := a.id()
		if err != nil || i == nil {
			return err
		}
		if h, ok := i.handles[id]; ok {
			i.balancer.Until(h, 0)
		}
	case "wake":
		if _, err := a.need("cookie"); err != nil || i == nil {
			return err
		}
		i.balancer.Woken(a.now)
	case "killed":
		if i != nil {
			delete(a.instances, string(i.name))
		}
	}
	return nil
}

// ---- fields ----
