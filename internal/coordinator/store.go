package coordinator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	storeFile = "log.db"
	lockIn    = 2 * time.Second // for the process before this one to let go of the file
	snapshots = 2
)

// errDamaged says that what is kept cannot be read.
var errDamaged = errors.New("cannot be read")

// kept is what a keeper has on disk.
type kept struct {
	*boltdb.BoltStore
	snaps raft.SnapshotStore
	fresh bool // there was nothing
}

// open opens what is kept in the folder. What is damaged is set beside, with a line in the log, and the keeper learns anew from the others;
// beside is the name it then has. Errors: the folder cannot be written, or another process has it.
func open(folder string, log *logrus.Logger, quiet hclog.Logger) (k kept, beside string, err error) {
	for try := 0; ; try++ {
		if err = os.MkdirAll(folder, 0o700); err != nil {
			return k, beside, err
		}
		if k, err = openOnce(folder, quiet); err == nil || !errors.Is(err, errDamaged) || try > 0 {
			return k, beside, err
		}
		beside = fmt.Sprintf("%s.damaged-%d", filepath.Clean(folder), time.Now().UnixNano())
		if moved := os.Rename(folder, beside); moved != nil {
			return k, "", errors.Join(err, moved)
		}
		log.WithError(err).Errorf("keep: what was kept is damaged, and is now %s: learned anew from the others", beside)
	}
}

func openOnce(folder string, quiet hclog.Logger) (k kept, err error) {
	path := filepath.Join(folder, storeFile)
	defer func() {
		// bbolt takes its pages for sound: a torn one shows as a panic, or as a fault in the mapped file.
		if e := recover(); e != nil {
			err = fmt.Errorf("%s: %w: %v", path, errDamaged, e)
		}
	}()
	if err = check(path); err != nil {
		return k, err
	}
	if k.BoltStore, err = boltdb.New(boltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockIn}}); err != nil {
		return k, err
	}
	if k.snaps, err = raft.NewFileSnapshotStoreWithLogger(folder, snapshots, quiet); err != nil {
		return k, errors.Join(err, k.Close())
	}
	has, err := raft.HasExistingState(k, k, k.snaps)
	if err != nil {
		return k, errors.Join(fmt.Errorf("%s: %w: %w", path, errDamaged, err), k.Close())
	}
	k.fresh = !has
	return k, nil
}

// check reads every page of the file once, in a process's beginning: later it would be a crash.
func check(path string) error {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockIn})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("%s: another process has it", path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %w", path, errDamaged, err)
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		var worst error
		for err := range tx.Check() {
			worst = fmt.Errorf("%s: %w: %w", path, errDamaged, err)
		}
		return worst
	})
}

// quietly has raft's own lines told at debug: what matters of them is told as a change of who leads.
func quietly(log *logrus.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Output: lines{log}, Level: hclog.Info, DisableTime: true})
}

type lines struct{ to *logrus.Logger }

func (l lines) Write(b []byte) (int, error) {
	l.to.Debug(string(b[:max(0, len(b)-1)]))
	return len(b), nil
}
