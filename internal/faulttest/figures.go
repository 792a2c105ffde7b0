package faulttest

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// peerFigures are what instances have spent on knowing each other, summed over some of them.
type peerFigures struct {
	packets     float64 // sent
	bytes       float64 // sent
	cpu         float64 // seconds
	falseDeaths float64 // times that an instance took another for gone
}

func sumFigures(processes []*Process) peerFigures {
	var sum peerFigures
	for _, process := range processes {
		values := process.Metrics(metricPacketsSent, metricBytesSent, metricCPUSeconds, metricFalseDeaths)
		sum.packets += values[0]
		sum.bytes += values[1]
		sum.cpu += values[2]
		sum.falseDeaths += values[3]
	}
	return sum
}

// since returns what was spent since an earlier reading.
func (f peerFigures) since(before peerFigures) peerFigures {
	return peerFigures{
		packets:     f.packets - before.packets,
		bytes:       f.bytes - before.bytes,
		cpu:         f.cpu - before.cpu,
		falseDeaths: f.falseDeaths - before.falseDeaths,
	}
}

const clockInterval = 5 * time.Millisecond

// clockLateness starts reading the clock until the context ends. The function it returns says by how much the latest
// reading was late: where hundreds of processes share few cores, the scheduler's delay looks like a stall.
func clockLateness(ctx context.Context) func() time.Duration {
	var worst atomic.Int64
	go func() {
		for ctx.Err() == nil {
			start := time.Now()
			time.Sleep(clockInterval)
			worst.Store(max(worst.Load(), int64(time.Since(start)-clockInterval)))
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}

// cpuTimes are the times that all cores of the machine have spent, and the idle part of them.
type cpuTimes struct {
	all  float64
	idle float64
}

// Columns of the first line of /proc/stat, see proc(5). Column 0 is the word "cpu"; the times of guests, after steal,
// are contained in those of user.
const (
	statIdle   = 4
	statIOWait = 5
	statSteal  = 8
)

func readCPU() cpuTimes {
	var times cpuTimes
	text, _ := os.ReadFile("/proc/stat") // without the file no share is known, and since returns 0
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || i > statSteal {
			continue
		}
		times.all += value
		if i == statIdle || i == statIOWait {
			times.idle += value
		}
	}
	return times
}

// since returns the share of the cores that was in use since an earlier reading.
func (c cpuTimes) since(before cpuTimes) float64 {
	if c.all <= before.all {
		return 0
	}
	return 1 - (c.idle-before.idle)/(c.all-before.all)
}
