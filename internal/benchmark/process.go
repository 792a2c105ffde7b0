package benchmark

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// cpuTick is the unit of process times; proc(5), stat.
const cpuTick = 10 * time.Millisecond

// CPU returns the time that a process has used, its own and the kernel's for it, in steps of a tick; proc(5), stat.
func CPU(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in brackets may hold anything; what follows it is numbers, the 12th and 13th being the two times.
	const firstTime, lastTime = 11, 12
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	if len(fields) <= lastTime {
		return 0, fmt.Errorf("process %d: stat has %d fields", pid, len(fields))
	}
	var sum time.Duration
	for _, field := range fields[firstTime : lastTime+1] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ticks) * cpuTick
	}
	return sum, nil
}

// RSS returns the memory that a process has in use, in KiB; proc(5), status.
func RSS(pid int) (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
		}
	}
	return 0, fmt.Errorf("process %d: no VmRSS", pid)
}

// Kill ends a process and waits for it.
func Kill(process *exec.Cmd) {
	_ = process.Process.Kill() // fails only if it has ended
	_ = process.Wait()         // reports that it was killed
}
