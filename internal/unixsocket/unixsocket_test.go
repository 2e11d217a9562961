package unixsocket

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// Sockets that several goroutines bind concurrently have mode 0600, and files that are
// created meanwhile and afterwards have their own.
func TestModes(t *testing.T) {
	dir := t.TempDir()
	mode := func(name string) os.FileMode {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		return info.Mode().Perm()
	}
	program := func(name string) {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o700); err != nil {
			t.Error(err)
		}
	}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				ln, err := Listen(filepath.Join(dir, fmt.Sprintf("s%d.%d", g, i)))
				if err != nil {
					t.Error(err)
					return
				}
				ln.SetUnlinkOnClose(false)
				if err := ln.Close(); err != nil {
					t.Error(err)
				}
				program(fmt.Sprintf("p%d.%d", g, i))
			}
		})
	}
	wg.Wait()
	program("after")
	for g := range 8 {
		for i := range 50 {
			if m := mode(fmt.Sprintf("s%d.%d", g, i)); m != 0o600 {
				t.Fatalf("a socket of mode %o, want 600", m)
			}
			if m := mode(fmt.Sprintf("p%d.%d", g, i)); m != 0o700 {
				t.Fatalf("a program created meanwhile has mode %o, want 700", m)
			}
		}
	}
	if m := mode("after"); m != 0o700 {
		t.Fatalf("a program created afterwards has mode %o, want 700", m)
	}
}
