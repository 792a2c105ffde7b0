package snapshot

import (
	"io"
	"os"
)

// fileSystem has the operations by which a file is replaced. Tests interrupt the process between them.
type fileSystem interface {
	// Create opens an empty file for writing.
	Create(path string, mode os.FileMode) (writableFile, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory writes the entries of a directory to disk.
	SyncDirectory(path string) error
}

// writableFile is a file that is being written.
type writableFile interface {
	io.WriteCloser
	// Sync writes the file to disk.
	Sync() error
}

// osFileSystem is the fileSystem of the operating system.
type osFileSystem struct{}

// Create opens an empty file for writing.
func (osFileSystem) Create(path string, mode os.FileMode) (writableFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
}

// Rename renames a file, and replaces a file that has the new name.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDirectory writes the entries of a directory to disk.
func (osFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // the directory was only read
	return directory.Sync()
}

// unsyncedFileSystem is a fileSystem that leaves it to the operating system when it writes files to disk.
type unsyncedFileSystem struct{ fileSystem }

// Create opens an empty file for writing, which is not synced.
func (u unsyncedFileSystem) Create(path string, mode os.FileMode) (writableFile, error) {
	file, err := u.fileSystem.Create(path, mode)
	return unsyncedFile{file}, err
}

// SyncDirectory does nothing.
func (unsyncedFileSystem) SyncDirectory(string) error { return nil }

// unsyncedFile is a file of an unsyncedFileSystem.
type unsyncedFile struct{ writableFile }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }
