package machine

// jobHeap is a binary heap of jobs, ordered by due and, for equal values, by arrival.
type jobHeap struct {
	machine *Machine
	ids     []JobID
}

func (h *jobHeap) less(i, j int) bool {
	a, b := &h.machine.jobs[h.ids[i]], &h.machine.jobs[h.ids[j]]
	return a.due < b.due || a.due == b.due && a.order < b.order
}

func (h *jobHeap) swap(i, j int) {
	h.ids[i], h.ids[j] = h.ids[j], h.ids[i]
	h.machine.jobs[h.ids[i]].heapIndex = i
	h.machine.jobs[h.ids[j]].heapIndex = j
}

func (h *jobHeap) add(id JobID) {
	h.ids = append(h.ids, id)
	h.machine.jobs[id].heapIndex = len(h.ids) - 1
	h.up(len(h.ids) - 1)
}

// up moves the job at index i towards the top and reports whether it moved.
func (h *jobHeap) up(i int) (moved bool) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
		moved = true
	}
	return moved
}

// remove removes the job at index i.
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
