package benchmark

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// cpuTick is the unit of the times in /proc/PID/stat; see proc(5).
const cpuTick = 10 * time.Millisecond

// CPU returns the user and system CPU time of a process, in multiples of cpuTick; see /proc/PID/stat in proc(5).
func CPU(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may contain anything. The fields after it are numbers, of which the 12th and 13th are the
	// user and the system time.
	const firstTime, lastTime = 11, 12
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	if len(fields) <= lastTime {
		return 0, fmt.Errorf("process %d: /proc/PID/stat has only %d fields", pid, len(fields))
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

// RSS returns the resident memory of a process in KiB; see /proc/PID/status in proc(5).
func RSS(pid int) (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if size, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(size), "kB")))
		}
	}
	return 0, fmt.Errorf("process %d: /proc/PID/status has no line VmRSS", pid)
}

// Kill ends a process and waits for it.
func Kill(process *exec.Cmd) {
	_ = process.Process.Kill() // fails only if it has ended
	_ = process.Wait()         // reports that it was killed
}
