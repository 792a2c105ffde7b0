package connstate

// Queue holds bytes in the order in which they were appended, in buffers of a pool. The zero value is empty.
type Queue struct {
	buffers []*Buffer
	offset  int // bytes of the first buffer that were consumed
	size    int // bytes that were not consumed yet
}

// Len returns the number of bytes in the queue.
func (q *Queue) Len() int { return q.size }

// Append copies bytes to the end of the queue.
func (q *Queue) Append(pool *Buffers, b []byte) {
	q.size += len(b)
	for len(b) > 0 {
		if last := len(q.buffers) - 1; last >= 0 {
			tail := q.buffers[last]
			n := min(len(b), cap(tail.B)-len(tail.B))
			tail.B = append(tail.B, b[:n]...)
			b = b[n:]
		}
		if len(b) > 0 {
			q.buffers = append(q.buffers, pool.Get(min(len(b), LargeBuffer)))
		}
	}
}

// First returns the oldest bytes as far as they lie in one buffer, none if the queue is empty. They are valid until the
// next call of another method.
func (q *Queue) First() []byte {
	if q.size == 0 {
		return nil
	}
	return q.buffers[0].B[q.offset:]
}

// Consume removes the n oldest bytes; First must have returned at least as many.
func (q *Queue) Consume(pool *Buffers, n int) {
	q.size -= n
	q.offset += n
	if q.offset < len(q.buffers[0].B) {
		return
	}
	pool.Put(q.buffers[0])
	q.buffers[0] = nil
	q.buffers = q.buffers[1:]
	q.offset = 0
}

// Clear removes all bytes.
func (q *Queue) Clear(pool *Buffers) {
	for _, b := range q.buffers {
		pool.Put(b)
	}
	*q = Queue{}
}
