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
	storeFile       = "log.db"
	storeMode       = 0o600
	directoryMode   = 0o700
	lockTimeout     = 2 * time.Second // how long to wait until a previous process releases the file
	storedSnapshots = 2               // number of snapshots kept
)

// errDamaged is returned for a store whose contents can't be read.
var errDamaged = errors.New("store is damaged")

// store holds a coordinator's log, votes and snapshots on disk.
type store struct {
	*boltdb.BoltStore
	snapshots   raft.SnapshotStore
	fresh       bool   // the store held no state when it was opened
	damagedCopy string // the directory that a damaged previous store was renamed to; empty: there was none
}

// openStore opens the store in a directory. A damaged store is renamed and replaced by a fresh one, which receives its
// contents from the other coordinators. openStore fails if the directory can't be written or another process uses it.
func openStore(directory string, log *logrus.Logger, raftLogger hclog.Logger) (*store, error) {
	opened, err := openOnce(directory, raftLogger)
	if err == nil || !errors.Is(err, errDamaged) {
		return opened, err
	}
	damagedCopy := fmt.Sprintf("%s.damaged-%d", filepath.Clean(directory), time.Now().UnixNano())
	if renameErr := os.Rename(directory, damagedCopy); renameErr != nil {
		return nil, errors.Join(err, renameErr)
	}
	log.WithError(err).WithField("renamed_to", damagedCopy).
		Error("store is damaged and replaced, its contents are fetched from the other coordinators")
	opened, err = openOnce(directory, raftLogger)
	if err != nil {
		return nil, err
	}
	opened.damagedCopy = damagedCopy
	return opened, nil
}

// openOnce opens a store, or creates it if there is none. It returns errDamaged if the store can't be read.
func openOnce(directory string, raftLogger hclog.Logger) (opened *store, err error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, err
	}
	path := filepath.Join(directory, storeFile)
	defer func() {
		// bbolt doesn't validate its pages: a torn page causes a panic, or a fault in the mapped file.
		if cause := recover(); cause != nil {
			opened = nil
			err = fmt.Errorf("%s: %w: %v", path, errDamaged, cause)
		}
	}()
	if err := checkFile(path); err != nil {
		return nil, err
	}
	options := boltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockTimeout}}
	bolt, err := boltdb.New(options)
	if err != nil {
		return nil, err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(directory, storedSnapshots, raftLogger)
	if err != nil {
		return nil, errors.Join(err, bolt.Close())
	}
	hasState, err := raft.HasExistingState(bolt, bolt, snapshots)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w: %w", path, errDamaged, err), bolt.Close())
	}
	return &store{BoltStore: bolt, snapshots: snapshots, fresh: !hasState}, nil
}

// checkFile checks every page of the file once: a damaged page found later would crash the process.
func checkFile(path string) error {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	db, err := bbolt.Open(path, storeMode, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("%s: in use by another process", path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %w", path, errDamaged, err)
	}
	defer func() { _ = db.Close() }() // the file was only read
	return db.View(func(tx *bbolt.Tx) error {
		var last error
		for err := range tx.Check() {
			last = fmt.Errorf("%s: %w: %w", path, errDamaged, err)
		}
		return last
	})
}

// newRaftLogger returns a logger that writes raft's messages at debug level. The coordinator itself logs the events
// that matter to operators, which are changes of leadership.
func newRaftLogger(log *logrus.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Output:      debugWriter{log},
		Level:       hclog.Info,
		DisableTime: true,
	})
}

// debugWriter logs each line written to it at debug level.
type debugWriter struct{ log *logrus.Logger }

// Write logs the line without its line break.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debug(string(line[:max(0, len(line)-1)]))
	return len(line), nil
}
