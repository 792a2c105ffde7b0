// Package connstate keeps what the HTTP front holds of its connections, requests and endpoints, and the buffers that
// their bytes stand in. It knows no protocol and takes no decisions. Buffers may be used by several goroutines, and so
// may the atomic fields of Conn; everything else belongs to the event loop.
package connstate

import "sync"

// Capacities of the pooled buffers.
const (
	// SmallBuffer suits most requests and responses.
	SmallBuffer = 4 << 10
	// LargeBuffer holds any complete message: 64 KiB of body, its head and its chunk sizes.
	LargeBuffer = 96 << 10
)

// pooledBuffers is how many free buffers of either capacity are kept.
const pooledBuffers = 64

// Buffer holds bytes read. It has one owner at a time, which passes it on or gives it back.
type Buffer struct{ B []byte }

// Buffers is a pool of buffers that counts the bytes it has lent.
type Buffers struct {
	Limit int // bytes that may be lent before Full reports true

	mu    sync.Mutex
	small []*Buffer
	large []*Buffer
	lent  int
}

// Get lends an empty buffer of at least the size.
func (p *Buffers) Get(size int) *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	free, capacity := p.class(size)
	p.lent += capacity
	if free == nil || len(*free) == 0 {
		return &Buffer{B: make([]byte, 0, capacity)}
	}
	last := len(*free) - 1
	b := (*free)[last]
	*free = (*free)[:last]
	return b
}

// class returns the free list and the capacity of buffers of that size. Sizes over LargeBuffer have no free list.
func (p *Buffers) class(size int) (free *[]*Buffer, capacity int) {
	switch {
	case size <= SmallBuffer:
		return &p.small, SmallBuffer
	case size <= LargeBuffer:
		return &p.large, LargeBuffer
	}
	return nil, size
}

// Put takes a buffer back; its bytes must not be used any more. A nil buffer is ignored.
func (p *Buffers) Put(b *Buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	free, capacity := p.class(cap(b.B))
	p.lent -= capacity
	b.B = b.B[:0]
	if free != nil && len(*free) < pooledBuffers {
		*free = append(*free, b)
	}
}

// SetLimit changes how many bytes may be lent.
func (p *Buffers) SetLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Limit = bytes
}

// Lent returns how many bytes are lent.
func (p *Buffers) Lent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}

// Full reports whether no new request should be taken into memory.
func (p *Buffers) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent > p.Limit
}

// Overcommitted reports whether no more should be read from clients whose earlier bytes are still unprocessed.
func (p *Buffers) Overcommitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent > p.Limit*3/2
}

// Join appends the bytes of a newly read buffer to those of an earlier one and takes back the buffer not needed.
// Without an earlier one nothing is copied.
func (p *Buffers) Join(earlier, b *Buffer) *Buffer {
	if earlier == nil {
		return b
	}
	if need := len(earlier.B) + len(b.B); need > cap(earlier.B) {
		if need > LargeBuffer {
			need *= 2
		}
		wider := p.Get(need)
		wider.B = append(wider.B, earlier.B...)
		p.Put(earlier)
		earlier = wider
	}
	earlier.B = append(earlier.B, b.B...)
	p.Put(b)
	return earlier
}
