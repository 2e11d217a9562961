// Package disk is how the program uses files: it replaces, opens, renames and reads
// them. Builds with the tag "faults" can make each operation fail (package
// faultinjection); all others call the operating system as it is.
package disk

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"otterspring/internal/faultinjection"
)

// The operations that a fault can name.
const (
	opOpen   = "open"
	opRead   = "read"
	opWrite  = "write"
	opSync   = "sync"
	opRename = "rename"
	opMkdir  = "mkdir"
)

// fileMode is that of the files that Replace writes: what they contain is for their
// owner alone.
const fileMode = 0o600

// errTorn is the error of a write that a fault has torn.
var errTorn = errors.New("torn write")

// Read returns the content of a file.
func Read(path string) ([]byte, error) {
	if err := faultinjection.DiskError(opRead, path); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Replace replaces a file atomically, with mode 0600: a reader finds the old text or the
// new one, also after a crash of the process. If durable, the text is on the disk when
// Replace returns, so that a crash of the machine loses nothing either. After an error
// the old file remains, and no other is left beside it. Two goroutines of a process must
// not replace one file at the same time.
func Replace(path string, text []byte, durable bool) error {
	temporary, err := createTemporary(path)
	if err != nil {
		return err
	}
	err = write(temporary, path, text)
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

// createTemporary creates the file that replaces path. Its name has the process ID: two
// processes of an instance may replace a file at the same time, and what a killed one
// left is overwritten.
func createTemporary(path string) (*os.File, error) {
	if err := faultinjection.DiskError(opOpen, path); err != nil {
		return nil, err
	}
	return os.OpenFile(fmt.Sprintf("%s.new-%d", path, os.Getpid()), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func write(file *os.File, path string, text []byte) error {
	if err := faultinjection.DiskError(opWrite, path); err != nil {
		return err
	}
	if faultinjection.TornWrite(path) {
		_, err := file.Write(text[:len(text)/2])
		return fmt.Errorf("%s: %w", path, errors.Join(errTorn, err))
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

// syncDirectory writes a directory's entries to the disk.
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

// Rename renames a file, and replaces the one that has the new name.
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

// MkdirAll creates a directory and those above it like os.MkdirAll.
func MkdirAll(path string, mode os.FileMode) error {
	if err := faultinjection.DiskError(opMkdir, path); err != nil {
		return err
	}
	return os.MkdirAll(path, mode)
}
