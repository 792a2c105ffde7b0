package faulttest

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	throttlePeriod  = 100 * time.Millisecond // the period of cpu.max
	throttleRunning = throttlePeriod / 10    // running time in each period

	fullDiskSize = 4096 // bytes, smaller than any file that a coordinator writes to

	blockSize   = 4096    // of a file, in bytes
	damagedSize = 1 << 16 // bytes at the beginning of the raft log
)

// throttle stops the process nine tenths of the time, like a CPU quota, until the channel is closed.
func (p *Process) throttle(ctx context.Context, end <-chan struct{}) {
	for p.Running() {
		p.signal(syscall.SIGSTOP)
		select {
		case <-ctx.Done():
		case <-end:
		case <-time.After(throttlePeriod - throttleRunning):
		}
		p.signal(syscall.SIGCONT)
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-time.After(throttleRunning):
		}
	}
}

// fillDisk limits the size of the files of the process, so that its writes fail as on a full disk. The process is
// expected to exit: it must not act on what raft could not write.
func (p *Process) fillDisk() error {
	p.diskFull = true
	limit := unix.Rlimit{Cur: fullDiskSize, Max: fullDiskSize}
	return unix.Prlimit(p.running.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// stateDirectory returns the name of the directory of a coordinator's log.
func (p *Process) stateDirectory() string { return string(p.Name) + ".kept" }

// damage overwrites the beginning of each block in the first damagedSize bytes of the raft log of a coordinator that
// does not run.
func (p *Process) damage() error {
	path := filepath.Join(p.directory, p.stateDirectory(), "log.db")
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	for offset := int64(0); offset < damagedSize && err == nil; offset += blockSize {
		_, err = file.WriteAt([]byte("this is no page of it"), offset)
	}
	return errors.Join(err, file.Close())
}
