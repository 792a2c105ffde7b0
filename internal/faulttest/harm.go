package faulttest

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// throttle leaves the process a tenth of the time, as a quota of CPU does (cpu.max, period 100 ms), until the script is over.
func (p *Process) throttle(ctx context.Context, until <-chan struct{}) {
	const period = 100 * time.Millisecond
	for p.Runs() {
		p.proc.Process.Signal(unix.SIGSTOP)
		select {
		case <-ctx.Done():
		case <-until:
		case <-time.After(period * 9 / 10):
		}
		p.proc.Process.Signal(unix.SIGCONT)
		select {
		case <-ctx.Done():
			return
		case <-until:
			return
		case <-time.After(period / 10):
		}
	}
}

// full lets the process's files grow no more, as on a full disk.
func (p *Process) full() error {
	p.diskFull = true // it ends there: what raft has not written it must not act on
	return unix.Prlimit(p.proc.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}, nil)
}

// damage writes over the middle of what a keeper that does not run has kept.
func (p *Process) damage() error {
	path := filepath.Join(p.stage.dir, string(p.Name)+".kept", "log.db")
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	for at := int64(0); at < 1<<16; at += 4096 {
		if _, err := f.WriteAt([]byte("this is no page of it"), at); err != nil {
			return err
		}
	}
	return nil
}
