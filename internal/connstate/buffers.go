// Package state keeps what the instance holds in memory: buffers, connections, requests' front side, endpoints, timers
// and counters. It knows no protocol and takes no decisions. Only Buffers may be used by several goroutines.
package connstate

import "sync"

const (
	Small = 4 << 10
	Large = 96 << 10 // any whole message: 64 KiB of body, its head and its chunk sizes
	kept  = 64       // free buffers of either size that are kept
)

// Buffer holds bytes read. It has one owner at a time, who passes it on or gives it back.
type Buffer struct{ B []byte }

// Buffers lends buffers and takes them back.
type Buffers struct {
	Limit int // bytes that may be lent before Full says so
	mu    sync.Mutex
	small []*Buffer
	large []*Buffer
	lent  int
}

// Get lends an empty buffer of at least the size.
func (p *Buffers) Get(size int) *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	from, size := p.shelf(size)
	p.lent += size
	if from != nil && len(*from) > 0 {
		b := (*from)[len(*from)-1]
		*from = (*from)[:len(*from)-1]
		return b
	}
	return &Buffer{B: make([]byte, 0, size)}
}

func (p *Buffers) shelf(size int) (*[]*Buffer, int) {
	switch {
	case size <= Small:
		return &p.small, Small
	case size <= Large:
		return &p.large, Large
	}
	return nil, size
}

// Put takes a buffer back; what was read into it must not be used any more.
func (p *Buffers) Put(b *Buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	to, size := p.shelf(cap(b.B))
	p.lent -= size
	if b.B = b.B[:0]; to != nil && len(*to) < kept {
		*to = append(*to, b)
	}
}

// SetLimit changes how much may be lent.
func (p *Buffers) SetLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Limit = bytes
}

// Lent is how many bytes are out.
func (p *Buffers) Lent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}

// Full says that no new request should be taken into memory.
func (p *Buffers) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent > p.Limit
}

// Overcommitted says that no more should be read from whoever has sent something that is still to be looked at.
func (p *Buffers) Overcommitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent > p.Limit*3/2
}

// Join adds the bytes of a newly read buffer to those of an earlier one and gives back the one not needed. Without an
// earlier one nothing is copied.
func (p *Buffers) Join(earlier, b *Buffer) *Buffer {
	if earlier == nil {
		return b
	}
	if need := len(earlier.B) + len(b.B); need > cap(earlier.B) {
		if need > Large {
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
