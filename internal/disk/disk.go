// Package disk is the one way in which the program uses files: whole
// replacements, appends, locks and reads. Builds with the tag "faults" can make
// each fail (package faultinjection); all others call the system as it is.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"otterspring/internal/faultinjection"
)

// Read reads a file whole.
func Read(path string) ([]byte, error) {
	if err := faultinjection.DiskError("read", path); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Replace writes a file whole or not at all, with mode 0600: who reads it finds
// the old text or the new one, also after a crash of the process. Two goroutines of a
// process must not replace one file at a time. Durable puts
// it on the disk before it returns, so that a crash of the machine loses nothing
// either. After an error the old file stands, and nothing is left beside it.
func Replace(path string, text []byte, durable bool) error {
	tmp, err := create(path)
	if err != nil {
		return err
	}
	err = write(tmp, path, text)
	if err == nil && durable {
		if err = faultinjection.DiskError("sync", path); err == nil {
			err = tmp.Sync()
		}
	}
	err = errors.Join(err, tmp.Close())
	if err == nil {
		err = Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return err
	}
	if durable {
		return syncDir(filepath.Dir(path))
	}
	return nil
}

func create(path string) (*os.File, error) {
	if err := faultinjection.DiskError("open", path); err != nil {
		return nil, err
	}
	// By the process's number: two processes of an instance may write beside each
	// other, and what one that was killed left is written over, not added to.
	return os.OpenFile(fmt.Sprintf("%s.new-%d", path, os.Getpid()), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

func write(f *os.File, path string, text []byte) error {
	if err := faultinjection.DiskError("write", path); err != nil {
		return err
	}
	if faultinjection.TornWrite(path) {
		f.Write(text[:len(text)/2])
		return errors.New(path + ": torn")
	}
	_, err := f.Write(text)
	return err
}

// syncDir puts a folder's entries on the disk.
func syncDir(dir string) error {
	if err := faultinjection.DiskError("sync", dir); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Rename gives a file another name, in place of what has it.
func Rename(from, to string) error {
	if err := faultinjection.DiskError("rename", to); err != nil {
		return err
	}
	return os.Rename(from, to)
}

// Open opens a file as os.OpenFile does.
func Open(path string, flag int, mode os.FileMode) (*os.File, error) {
	if err := faultinjection.DiskError("open", path); err != nil {
		return nil, err
	}
	return os.OpenFile(path, flag, mode)
}

// MkdirAll makes a folder and those above it.
func MkdirAll(path string, mode os.FileMode) error {
	if err := faultinjection.DiskError("mkdir", path); err != nil {
		return err
	}
	return os.MkdirAll(path, mode)
}
