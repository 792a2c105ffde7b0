// Package epoll tells which sockets can be read or written, by the epoll facility of Linux. It neither reads, writes
// nor closes a descriptor: whoever opened a descriptor does that alone, so that its number cannot be used for a later
// socket by mistake.
package epoll

import (
	"errors"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Events is a set of conditions of a socket.
type Events uint32

// The conditions.
const (
	// Readable means that a read returns bytes, the end of the stream or an error.
	Readable Events = 1 << iota
	// Writable means that a write is accepted, at least in part.
	Writable
	// HungUp means that the peer has closed or reset the connection. Bytes that it sent before may still be unread.
	HungUp
)

// Token identifies a registration. A number of a descriptor alone would not: once the descriptor is closed, the next
// socket may have the same number.
type Token struct {
	Descriptor int32
	Generation int32 // chosen by the caller, different for each registration of a descriptor
}

// Event is a change of the conditions of a socket.
type Event struct {
	Token  Token
	Events Events
}

// maxEvents is the maximum number of events that are reported at once.
const maxEvents = 512

// Poller waits for events on registered descriptors. Add and Close may be called by any goroutine.
type Poller struct {
	descriptor int
	wake       int // an eventfd, written to by Close
	closing    atomic.Bool
}

// New opens a poller. Errors are those of epoll_create1(2) and eventfd(2).
func New() (*Poller, error) {
	descriptor, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, errors.Join(err, unix.Close(descriptor))
	}
	p := &Poller{descriptor: descriptor, wake: wake}
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(wake)}
	if err := unix.EpollCtl(descriptor, unix.EPOLL_CTL_ADD, wake, &event); err != nil {
		return nil, errors.Join(err, unix.Close(wake), unix.Close(descriptor))
	}
	return p, nil
}

// Add registers a non-blocking descriptor. Each condition is reported when it arises, the present ones at once; a
// condition that persists is not reported again. The registration ends when the descriptor is closed. Errors are those
// of epoll_ctl(2).
func (p *Poller) Add(token Token) error {
	const edgeTriggered = 1 << 31 // EPOLLET, which is a negative number in package unix
	return unix.EpollCtl(p.descriptor, unix.EPOLL_CTL_ADD, int(token.Descriptor), &unix.EpollEvent{
		Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | edgeTriggered,
		Fd:     token.Descriptor,
		Pad:    token.Generation,
	})
}

// Remove ends the registration of a descriptor that stays open in another process. Errors are those of epoll_ctl(2).
func (p *Poller) Remove(descriptor int) error {
	return unix.EpollCtl(p.descriptor, unix.EPOLL_CTL_DEL, descriptor, nil)
}

// Run calls handle with the events, in batches, until Close is called. The slice is valid until handle returns. Errors
// are those of epoll_wait(2).
func (p *Poller) Run(handle func([]Event)) error {
	defer func() {
		_ = unix.Close(p.descriptor) // both descriptors are only closed here
		_ = unix.Close(p.wake)
	}()
	received := make([]unix.EpollEvent, maxEvents)
	events := make([]Event, 0, maxEvents)
	for {
		n, err := unix.EpollWait(p.descriptor, received, -1)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || p.closing.Load() {
			return err
		}
		events = events[:0]
		for _, e := range received[:n] {
			if int(e.Fd) != p.wake {
				events = append(events, Event{Token{e.Fd, e.Pad}, conditions(e.Events)})
			}
		}
		handle(events)
	}
}

// conditions translates the event mask of epoll.
func conditions(mask uint32) (events Events) {
	if mask&(unix.EPOLLIN|unix.EPOLLPRI) != 0 {
		events |= Readable
	}
	if mask&unix.EPOLLOUT != 0 {
		events |= Writable
	}
	if mask&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		events |= HungUp | Readable
	}
	return events
}

// Close makes Run return.
func (p *Poller) Close() {
	p.closing.Store(true)
	one := [8]byte{1}
	for {
		_, err := unix.Write(p.wake, one[:])
		if !errors.Is(err, unix.EINTR) {
			return // the eventfd cannot overflow by one write
		}
	}
}
