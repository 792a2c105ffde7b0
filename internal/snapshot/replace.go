package snapshot

import (
	"os"
	"path/filepath"
)

const (
	// temporarySuffix is appended to the name of a file while its replacement is written.
	temporarySuffix = ".new"
	// defaultMode is the mode of a file that Replace creates.
	defaultMode = 0o644
)

// Replace atomically replaces the content of the file at a path, or creates the file. It follows a symbolic link and
// keeps the mode of an existing file.
func Replace(path string, content []byte) error {
	if target, err := filepath.EvalSymlinks(path); err == nil {
		path = target
	}
	mode := os.FileMode(defaultMode)
	if info, err := os.Stat(path); err == nil {
		mode = info.Mode().Perm()
	}
	return replaceFile(osFileSystem{}, path, mode, content)
}

// replaceFile writes a temporary file and renames it to the path, so that at any moment the path holds either the old
// or the new content.
func replaceFile(files fileSystem, path string, mode os.FileMode, content []byte) error {
	temporary := path + temporarySuffix
	file, err := files.Create(temporary, mode)
	if err != nil {
		return err
	}
	err = writeSynced(file, content)
	if err == nil {
		err = files.Rename(temporary, path)
	}
	if err != nil {
		_ = files.Remove(temporary) // the next replacement overwrites a file that can't be removed
		return err
	}
	return files.SyncDirectory(filepath.Dir(path))
}

// writeSynced writes, syncs and closes a file. Without the sync, a file that is renamed before its content is on disk
// may be empty after a power failure.
func writeSynced(file writableFile, content []byte) error {
	_, err := file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close() // the first error is returned
		return err
	}
	return file.Close()
}
