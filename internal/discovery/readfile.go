package discovery

import (
	"fmt"
	"io"
	"os"
	"syscall"

	"pepperlead/internal/endpointfiles"
)

// ReadFile reads a regular file that is not larger than a list file may be. It doesn't block if the path is a pipe.
func ReadFile(name string) ([]byte, error) {
	file, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // an error has no consequence after reading
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", name)
	}
	content, err := io.ReadAll(io.LimitReader(file, endpointfiles.MaxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > endpointfiles.MaxFileSize {
		return nil, fmt.Errorf("%s: larger than the allowed %d bytes", name, endpointfiles.MaxFileSize)
	}
	return content, nil
}
