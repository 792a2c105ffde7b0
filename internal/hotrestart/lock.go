package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	lockMode          = 0o600
	lockTimeout       = 200 * time.Millisecond
	lockRetryInterval = 5 * time.Millisecond
)

// lock keeps other processes from taking the lock of that name, and this process from taking any lock, until unlock is
// called. It fails after lockTimeout.
func (g *ProcessGroup) lock(name string) (unlock func(), err error) {
	g.replacing.Lock()
	file, err := g.lockFile(name)
	if err != nil {
		g.replacing.Unlock()
		return nil, err
	}
	return func() {
		_ = file.Close() // closing releases the lock even if it returns an error
		g.replacing.Unlock()
	}, nil
}

// lockFile opens and locks the lock file of that name.
func (g *ProcessGroup) lockFile(name string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(g.dir, name), os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(lockTimeout)
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return file, nil
		}
		if time.Now().After(deadline) {
			err = fmt.Errorf("another process holds the %s: %w", name, err)
			return nil, errors.Join(err, file.Close())
		}
		time.Sleep(lockRetryInterval)
	}
}
