package machine

// jobHeap holds jobs, the one that is due first on top, ties in order of arrival.
type jobHeap struct {
	machine *Machine
	ids     []JobID
}

func (h *jobHeap) less(a, b int) bool {
	x, y := &h.machine.jobs[h.ids[a]], &h.machine.jobs[h.ids[b]]
	return x.due < y.due || x.due == y.due && x.order < y.order
}

func (h *jobHeap) swap(a, b int) {
	h.ids[a], h.ids[b] = h.ids[b], h.ids[a]
	h.machine.jobs[h.ids[a]].heapIndex = a
	h.machine.jobs[h.ids[b]].heapIndex = b
}

func (h *jobHeap) add(id JobID) {
	h.ids = append(h.ids, id)
	h.machine.jobs[id].heapIndex = len(h.ids) - 1
	h.up(len(h.ids) - 1)
}

// up moves a job towards the top and reports whether it moved.
func (h *jobHeap) up(i int) (moved bool) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
		moved = true
	}
	return moved
}

func (h *jobHeap) remove(i int) {
	last := len(h.ids) - 1
	if i != last {
		h.swap(i, last)
	}
	h.ids = h.ids[:last]
	if i == last || h.up(i) {
		return
	}
	for {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
