package discovery

import (
	"fmt"
	"io"
	"os"
	"syscall"

	"pepperlead/internal/endpointfiles"
)

// ReadFile reads a regular file of the size of a list file at most. It doesn't block where the path is a pipe.
func ReadFile(name string) ([]byte, error) {
	file, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: found no plain file, allowed a list file", name)
	}
	content, err := io.ReadAll(io.LimitReader(file, endpointfiles.MaxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > endpointfiles.MaxFileSize {
		return nil, fmt.Errorf("%s: found over %d bytes, allowed as many", name, endpointfiles.MaxFileSize)
	}
	return content, nil
}
