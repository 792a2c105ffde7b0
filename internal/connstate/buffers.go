// Package connstate holds the HTTP front's state of connections, requests and endpoints, and the buffers of their data.
// It knows no protocol and makes no decisions. Buffers and the atomic fields of Conn may be used by several goroutines;
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

// sizeClasses are the capacities of pooled buffers, in bytes. They are close enough to each other that a buffer has at
// most twice the bytes that its content needs.
var sizeClasses = [...]int{SmallBuffer, 8 << 10, 16 << 10, 32 << 10, 64 << 10, LargeBuffer}

// maxFreeShare is the largest part of Buffers.Limit that free buffers may take, as a divisor.
const maxFreeShare = 8

// Buffer holds bytes that were read. It has one owner at a time, which passes it on or returns it to the pool.
type Buffer struct{ B []byte }

// Buffers is a pool of buffers that counts the bytes in use.
type Buffers struct {
	Limit int // bytes in use above which Full reports true

	mu        sync.Mutex
	free      [len(sizeClasses)][]*Buffer
	inUse     int // total capacity of the buffers in use, in bytes
	freeBytes int // total capacity of the free buffers, in bytes
}

// Get returns an empty buffer with at least the given capacity.
func (p *Buffers) Get(size int) *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	class, capacity := sizeClass(size)
	p.inUse += capacity
	if class < 0 || len(p.free[class]) == 0 {
		return &Buffer{B: make([]byte, 0, capacity)}
	}
	last := len(p.free[class]) - 1
	b := p.free[class][last]
	p.free[class][last] = nil
	p.free[class] = p.free[class][:last]
	p.freeBytes -= capacity
	return b
}

// sizeClass returns the index and the capacity of the size class for buffers of the given size. Sizes over LargeBuffer
// have none, which the index -1 says.
func sizeClass(size int) (class, capacity int) {
	for class, capacity := range sizeClasses {
		if size <= capacity {
			return class, capacity
		}
	}
	return -1, size
}

// Put returns a buffer to the pool; its bytes must not be used any more. A nil buffer is ignored.
func (p *Buffers) Put(b *Buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	class, capacity := sizeClass(cap(b.B))
	p.inUse -= capacity
	b.B = b.B[:0]
	if class >= 0 && p.freeBytes+capacity <= max(p.Limit/maxFreeShare, LargeBuffer) {
		p.free[class] = append(p.free[class], b)
		p.freeBytes += capacity
	}
}

// SetLimit changes the limit of the bytes in use, and drops the free buffers.
func (p *Buffers) SetLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Limit = bytes
	p.free = [len(sizeClasses)][]*Buffer{}
	p.freeBytes = 0
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

// Join appends the bytes of the newly read buffer b to those of an earlier buffer, and returns a buffer that holds
// both. It puts buffers that it no longer needs back into the pool. If earlier is nil, it returns b and copies nothing.
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
