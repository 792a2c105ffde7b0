package daemon

import "testing"

// Guards against a process that passes its memory limit while its messages are within theirs: the heap and the program fit into the limit,
// and messages leave two fifths of the heap for state and garbage.
func TestMemoryLimitsLeaveRoomForTheProgram(t *testing.T) {
	const mb = 1 << 20
	for _, k := range []struct{ limit, maxMessages, minMessages int }{
		{24, 3, 1}, {32, 8, 5}, {48, 16, 12}, {64, 22, 18}, {96, 33, 28}, {192, 68, 60}, {65536, 24000, 20000},
	} {
		memory := k.limit * mb
		if heap := heapMemory(memory, 1); heap > memory-programMemory {
			t.Errorf("%d MB: the heap may take %d MB", k.limit, heap/mb)
		}
		if heap := heapMemory(memory, 2); heap > max(minHeap, memory/2) {
			t.Errorf("%d MB, shared: the heap of each process may take %d MB", k.limit, heap/mb)
		}
		if messages := messageMemory(memory); messages < k.minMessages*mb || messages > k.maxMessages*mb ||
			5*messages > 3*heapMemory(memory, 1) {
			t.Errorf("%d MB: messages may take %d MB of %d MB", k.limit, messages/mb, heapMemory(memory, 1)/mb)
		}
	}
}
