// Package connstate holds the HTTP front's state of connections, requests and endpoints, and the buffers of their data.
// It knows no protocol and takes no decisions. Buffers and the atomic fields of Conn may be used by several goroutines;
// everything else is used by the event loop only.
package connstate

import "sync"

// Capacities of the pooled buffers.
const (
	// SmallBuffer is enough for most requests and responses, in bytes.
	SmallBuffer = 4 << 10
	// LargeBuffer holds any complete message, in bytes: 64 KiB of body, the head and the chunk sizes.
	LargeBuffer = 96 << 10
)

// pooledBuffers is the maximum number of free buffers that are kept of either capacity.
const pooledBuffers = 64

// Buffer holds bytes that were read. It has one owner at a time, which passes it on or returns it to the pool.
type Buffer struct{ B []byte }

// Buffers is a pool of buffers that counts the bytes in use.
type Buffers struct {
	Limit int // bytes in use above which Full reports true

	mu    sync.Mutex
	small []*Buffer
	large []*Buffer
	inUse int // total capacity of the buffers in use, in bytes
}

// Get returns an empty buffer with at least the given capacity.
func (p *Buffers) Get(size int) *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	free, capacity := p.sizeClass(size)
	p.inUse += capacity
	if free == nil || len(*free) == 0 {
		return &Buffer{B: make([]byte, 0, capacity)}
	}
	last := len(*free) - 1
	b := (*free)[last]
	*free = (*free)[:last]
	return b
}

// sizeClass returns the free list and the capacity of buffers for the given size. Sizes over LargeBuffer have no free
// list.
func (p *Buffers) sizeClass(size int) (free *[]*Buffer, capacity int) {
	switch {
	case size <= SmallBuffer:
		return &p.small, SmallBuffer
	case size <= LargeBuffer:
		return &p.large, LargeBuffer
	}
	return nil, size
}

// Put returns a buffer to the pool; its bytes must not be used any more. A nil buffer is ignored.
func (p *Buffers) Put(b *Buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	free, capacity := p.sizeClass(cap(b.B))
	p.inUse -= capacity
	b.B = b.B[:0]
	if free != nil && len(*free) < pooledBuffers {
		*free = append(*free, b)
	}
}

// SetLimit changes the limit of the bytes in use.
func (p *Buffers) SetLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Limit = bytes
}

// InUse returns the number of bytes in use.
func (p *Buffers) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}

// Full reports whether the bytes in use exceed the limit, so that no new request should be admitted.
func (p *Buffers) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse > p.Limit
}

// Overcommitted reports whether the bytes in use exceed the limit by half, so that no more should be read from clients
// whose earlier bytes are still unprocessed.
func (p *Buffers) Overcommitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse > p.Limit*3/2
}

// Join appends the bytes of a newly read buffer to those of an earlier one, and returns the buffer that is no longer
// needed to the pool. Without an earlier buffer nothing is copied.
func (p *Buffers) Join(earlier, b *Buffer) *Buffer {
	if earlier == nil {
		return b
	}
	if need := len(earlier.B) + len(b.B); need > cap(earlier.B) {
		if need > LargeBuffer {
			need *= 2
		}
		larger := p.Get(need)
		larger.B = append(larger.B, earlier.B...)
		p.Put(earlier)
		earlier = larger
	}
	earlier.B = append(earlier.B, b.B...)
	p.Put(b)
	return earlier
}
