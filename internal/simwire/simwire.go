// Package simwire puts instances of the decision module on the bench's wire: it decodes the lines of
// a batch straight into calls and writes what the module asks for as the lines of the reply.
package simwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"

	"pepperlead/internal/campaign"
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

func (a *Adapter) split(rest []byte) {
	a.fields = a.fields[:0]
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{' '})
		if name, value, ok := bytes.Cut(part, []byte{'='}); ok {
			a.fields = append(a.fields, field{name, value})
		}
	}
}

func (a *Adapter) get(name string) ([]byte, bool) {
	for _, f := range a.fields {
		if string(f.name) == name {
			return f.value, true
		}
	}
	return nil, false
}

func (a *Adapter) need(name string) ([]byte, error) {
	v, ok := a.get(name)
	if !ok || len(v) == 0 {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return v, nil
}

func (a *Adapter) id() (ticketID, error) {
	v, err := a.need("tid")
	if err == nil && len(v) != len(ticketID{}) {
		err = fmt.Errorf("tid %q is not %d characters", v, len(ticketID{}))
	}
	if err != nil {
		return ticketID{}, err
	}
	return ticketID(v), nil
}

func (a *Adapter) number(name string) (uint64, error) {
	v, err := a.need(name)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s=%s is not a whole number", name, v)
	}
	return n, nil
}

func (a *Adapter) flag(name string) (bool, error) {
	v, err := a.need(name)
	if err != nil {
		return false, err
	}
	return campaign.Boolean(name, string(v))
}

func (a *Adapter) time(name string) (policy.Time, error) {
	v, err := a.need(name)
	if err != nil {
		return 0, err
	}
	return campaign.Span(name, string(v))
}

// ---- events ----

func (a *Adapter) roster() error {
	n, err := a.number("table")
	if err != nil {
		return err
	}
	count, err := a.number("nodes_list")
	if err != nil {
		return err
	}
	if n >= uint64(len(a.lists)) || count > 1<<20 {
		return fmt.Errorf("table %d with %d entries", n, count)
	}
	a.filling, a.missing = int(n), int(count)
	a.lists[n] = a.lists[n][:0]
	return nil
}

func (a *Adapter) entry() error {
	if a.missing == 0 {
		return fmt.Errorf("an endpoint line outside a roster")
	}
	m := policy.Member{Weight: 1}
	id, err := a.number("endpoint")
	if err != nil {
		return err
	}
	if id > math.MaxUint32 {
		return fmt.Errorf("endpoint=%d is out of range", id)
	}
	m.ID = policy.EndpointID(id)
	state, err := a.need("readiness")
	if err != nil {
		return err
	}
	switch string(state) {
	case "Ready":
		m.Standing = policy.Ready
	case "Terminating":
		m.Standing = policy.Draining
	case "Gone":
		m.Standing = policy.Gone
	default:
		return fmt.Errorf("readiness=%s is not known", state)
	}
	if v, ok := a.get("scale"); ok {
		if m.Weight, err = strconv.ParseFloat(string(v), 64); err != nil || !(m.Weight >= 0 && m.Weight < 1e12) {
			return fmt.Errorf("scale=%s is not a size", v)
		}
	}
	if _, ok := a.get("group"); ok {
		n, err := a.number("group")
		if err != nil || n > math.MaxInt32 {
			return fmt.Errorf("group cannot be read")
		}
		m.Cell = policy.Cell(n)
	}
	if _, ok := a.get("ready_at_s"); ok {
		if m.Started, err = a.time("ready_at_s"); err != nil {
			return err
		}
	}
	zone, _ := a.get("area")
	m.Zone = policy.Zone(zone)
	a.lists[a.filling] = append(a.lists[a.filling], m)
	a.missing--
	return nil
}

func (a *Adapter) fleet(i *instance) error {
	how, err := a.need("how")
	if err != nil {
		return err
	}
	kind := policy.ListChanges
	switch string(how) {
	case "FAILED":
		if i != nil {
			i.balancer.ListFailed(a.now)
		}
		return nil
	case "INCREMENTAL":
	case "FULL":
		kind = policy.ListFull
	case "SAVED":
		kind = policy.ListSaved
	default:
		return fmt.Errorf("how=%s is not known", how)
	}
	n, err := a.number("table")
	if err != nil {
		return err
	}
	if n >= uint64(len(a.lists)) {
		return fmt.Errorf("table=%d is out of range", n)
	}
	if i != nil {
		i.balancer.List(a.now, kind, a.lists[n])
	}
	return nil
}

func (a *Adapter) req(i *instance) error {
	id, err := a.id()
	if err != nil {
		return err
	}
	left, err := a.time("patience_left_s")
	if err != nil {
		return err
	}
	band, err := a.need("band")
	if err != nil || i == nil {
		return err
	}
	offering, ok := i.names[string(band)]
	if !ok {
		return fmt.Errorf("band=%s is not among the offerings", band)
	}
	franchise := policy.NoTenant
	if v, ok := a.get("party"); ok {
		if f, ok := i.houses[string(v)]; ok {
			franchise = policy.TenantID(f)
		}
	}
	opts := uint64(0)
	if _, ok := a.get("opts"); ok {
		if opts, err = a.number("opts"); err != nil {
			return err
		}
	}
	key, _ := a.get("item")
	h := i.balancer.Admit(a.now, policy.ClassID(offering), franchise, string(key), opts&2 != 0, left)
	for len(i.ids) <= h.Place() {
		i.ids = append(i.ids, ticketID{})
	}
	delete(i.handles, i.ids[h.Place()])
	i.ids[h.Place()] = id
	i.handles[id] = h
	i.balancer.Begin(a.now, h)
	return nil
}

var outcomes = map[string]policy.Outcome{"S": policy.Succeeded, "E": policy.Errored, "F": policy.Rejected,
	"T": policy.TimedOut, "C": policy.NotConnected, "R": policy.ConnectionLost, "X": policy.Cancelled, "N": policy.NotSent}

func (a *Adapter) completed(i *instance) error {
	id, err := a.id()
	if err != nil {
		return err
	}
	over, err := a.flag("ended")
	if err != nil {
		return err
	}
	code, err := a.need("code")
	if err != nil {
		return err
	}
	outcome, ok := outcomes[string(code)]
	if !ok {
		return fmt.Errorf("code=%s is not known", code)
	}
	server, err := a.number("endpoint")
	if err != nil {
		return err
	}
	push, err := a.number("send_no")
	if err != nil {
		return err
	}
	spent, err := a.time("spent_s")
	if err != nil || i == nil {
		return err
	}
	if h, ok := i.handles[id]; ok {
		i.balancer.AttemptEnded(a.now, h, policy.AttemptNo(push), policy.EndpointID(server), outcome, spent, over)
	}
	return nil
}

// ---- actions ----

func (i *instance) action(word string) {
	i.out.WriteString(word)
	i.out.WriteString(" sidecar_id=")
	i.out.Write(i.name)
}

func (i *instance) about(word string, h policy.Handle) {
	i.action(word)
	i.out.WriteString(" tid=")
	i.out.Write(i.ids[h.Place()][:])
}

func (i *instance) whole(name string, n uint64) {
	i.out.WriteByte(' ')
	i.out.WriteString(name)
	i.out.WriteByte('=')
	i.out.Write(strconv.AppendUint(i.out.AvailableBuffer(), n, 10))
}

// span writes nanoseconds as seconds.
func (i *instance) span(name string, t policy.Time) {
	i.whole(name, uint64(t/policy.Second))
	i.out.WriteByte('.')
	rest := t % policy.Second
	for unit := policy.Second / 10; unit > 0; unit /= 10 {
		i.out.WriteByte(byte('0' + rest/unit%10))
	}
}

func (i *instance) Attempt(h policy.Handle, s policy.EndpointID, wait policy.Time) {
	i.about("route", h)
	i.whole("endpoint", uint64(s))
	if wait > 0 {
		i.span("max_wait_s", wait)
	}
	i.out.WriteByte('\n')
}

func (i *instance) Cancel(h policy.Handle, n policy.AttemptNo) {
	i.about("undo_send", h)
	i.whole("send_no", uint64(n))
	i.out.WriteByte('\n')
}

// Succeed has nothing to write: the bench passes a server's answer on by itself.
func (i *instance) Succeed(policy.Handle, policy.AttemptNo) {}

// Release gives the connections to a server back.
func (i *instance) Release(s policy.EndpointID) {
	i.action("release")
	i.whole("endpoint", uint64(s))
	i.out.WriteByte('\n')
}

// Forget has nothing to do: servers are named by their ids alone.
func (i *instance) Forget(policy.EndpointID) {}

func (i *instance) Reject(h policy.Handle, retryIn policy.Time) {
	i.about("busy", h)
	if retryIn > 0 {
		i.span("backoff_s", retryIn)
	}
	i.out.WriteByte('\n')
}

func (i *instance) Fail(h policy.Handle) {
	i.about("drop_request", h)
	i.out.WriteByte('\n')
}

func (i *instance) Wake(in policy.Time) {
	i.action("wake_at")
	i.span("delay_s", in)
	i.out.WriteString(" cookie=w\n")
}

func (i *instance) FollowList(on bool) {
	i.action("subscribe")
	n := uint64(0)
	if on {
		n = 1
	}
	i.whole("want", n)
	i.out.WriteByte('\n')
}

func (i *instance) Log(line string) {
	i.action("emit")
	i.out.WriteString(" what=")
	i.out.WriteString(line)
	i.out.WriteByte('\n')
}
