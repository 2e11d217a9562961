// Package disk provides the program's file operations, among them atomic replacement. In
// builds with the tag "faults", package faultinjection can make each operation fail. In other
// builds the operations call the operating system directly.
package disk

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"otterspring/internal/faultinjection"
)

// Names of the operations in fault injection.
const (
	opOpen   = "open"
	opRead   = "read"
	opWrite  = "write"
	opSync   = "sync"
	opRename = "rename"
	opMkdir  = "mkdir"
)

// fileMode makes the files that Replace writes accessible to their owner only.
const fileMode = 0o600

// errTornWrite is the error of a write that fault injection ended early.
var errTornWrite = errors.New("torn write")

// Read reads a file like os.ReadFile.
func Read(path string) ([]byte, error) {
	if err := faultinjection.DiskError(opRead, path); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Replace replaces a file atomically, with mode 0600: readers find either the old or the new
// content, also after a crash of the process. If durable is set, file and directory are
// synced before Replace returns, so that the new content survives a crash of the machine.
// If writing, syncing or renaming the file fails, the old file remains and the temporary file
// is removed. Goroutines of one process must not replace the same file concurrently.
func Replace(path string, text []byte, durable bool) error {
	temporary, err := createTemporary(path)
	if err != nil {
		return err
	}
	err = writeFile(temporary, path, text)
	if err == nil && durable {
		err = syncFile(temporary, path)
	}
	err = errors.Join(err, temporary.Close())
	if err == nil {
		err = Rename(temporary.Name(), path)
	}
	if err != nil {
		if removeErr := os.Remove(temporary.Name()); removeErr != nil {
			slog.Warn("temporary file was not removed", "path", temporary.Name(), "error", removeErr)
		}
		return err
	}
	if durable {
		return syncDirectory(filepath.Dir(path))
	}
	return nil
}

// createTemporary creates the temporary file that is renamed to path. Its name has the
// process ID, because two processes of an instance may replace the same file concurrently. A
// temporary file that a killed process left behind is overwritten.
func createTemporary(path string) (*os.File, error) {
	if err := faultinjection.DiskError(opOpen, path); err != nil {
		return nil, err
	}
	return os.OpenFile(fmt.Sprintf("%s.new-%d", path, os.Getpid()), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func writeFile(file *os.File, path string, text []byte) error {
	if err := faultinjection.DiskError(opWrite, path); err != nil {
		return err
	}
	if faultinjection.TornWrite(path) {
		_, err := file.Write(text[:len(text)/2])
		return fmt.Errorf("%s: %w", path, errors.Join(errTornWrite, err))
	}
	_, err := file.Write(text)
	return err
}

func syncFile(file *os.File, path string) error {
	if err := faultinjection.DiskError(opSync, path); err != nil {
		return err
	}
	return file.Sync()
}

// syncDirectory syncs a directory, which makes a rename in it durable.
func syncDirectory(path string) error {
	if err := faultinjection.DiskError(opSync, path); err != nil {
		return err
	}
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Rename renames a file like os.Rename and replaces an existing file of the new name.
func Rename(from, to string) error {
	if err := faultinjection.DiskError(opRename, to); err != nil {
		return err
	}
	return os.Rename(from, to)
}

// Open opens a file like os.OpenFile.
func Open(path string, flag int, mode os.FileMode) (*os.File, error) {
	if err := faultinjection.DiskError(opOpen, path); err != nil {
		return nil, err
	}
	return os.OpenFile(path, flag, mode)
}

// MkdirAll creates a directory and its parents like os.MkdirAll.
func MkdirAll(path string, mode os.FileMode) error {
	if err := faultinjection.DiskError(opMkdir, path); err != nil {
		return err
	}
	return os.MkdirAll(path, mode)
}
