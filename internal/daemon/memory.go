package daemon

import "runtime/debug"

// What a process takes of its memory limit beside its messages, in bytes.
const (
	// programMemory is taken by the pages of the program's file and by the stacks of its threads.
	programMemory = 15 << 20
	// stateMemory is taken by connections, requests and what is known about endpoints.
	stateMemory = 5 << 20
	// minHeap is the least heap with which the garbage collector does not run all the time.
	minHeap = 8 << 20
)

const (
	// heapPercent is the largest percentage of the memory limit that the heap may take.
	heapPercent = 60
	// messagePercent is the percentage of the heap without stateMemory that messages may take. The rest is garbage that
	// is not collected yet.
	messagePercent = 60
)

// heapMemory returns below which size the garbage collector keeps the heap, in bytes, if this many processes share the
// memory limit.
func heapMemory(memory, processes int) int {
	return max(minHeap, min(memory*heapPercent/100, memory-programMemory)/processes)
}

// messageMemory returns how many bytes of a memory limit messages may take.
func messageMemory(memory int) int {
	return (heapMemory(memory, 1) - stateMemory) * messagePercent / 100
}

// limitHeap sets the limit for the garbage collector.
func limitHeap(memory, processes int) { debug.SetMemoryLimit(int64(heapMemory(memory, processes))) }
